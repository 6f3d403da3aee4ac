"""The command `request`: send one request and print its answer."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs

from balsamlift._commands._arguments import Arguments
from balsamlift._commands._exit import ExitCode
from balsamlift._commands._output import print_json, print_note
from balsamlift.client import Client, OnTokens, Request
from balsamlift.exceptions import InterruptedUnknownError, UsageError
from balsamlift.streams import FAILED, REFUSED, UNKNOWN, WHOLE, Outcome

USAGE = """Send one request and print its answer as it comes.

Usage:
  balsamlift request --at=IP:PORT... --workspace=NAME --kind=KIND [options]
                     [PROMPT]
  balsamlift request (-h | --help)

Arguments:
  PROMPT                The prompt; "-" reads it from standard input.

Options:
  --at=IP:PORT          The callers' address of a host; may be repeated. The
                        host then names those to use.
  --workspace=NAME      The workspace on whose behalf.
  --kind=KIND           A kind of the preset in force.
  --payload=JSON        What a plain service is sent.
  --token-file=FILE     A file with the workspace's bearer token.
  --failure-domain=D    Prefer hosts there.
  --prefix=NAME         The shared prefix that the prompt begins with.
  --max-tokens=N        The longest answer wanted.
  --deadline-ms=N       When the answer is of no use any more.
  --seed=N              For engines that are deterministic.
  --attempts=N          Tries in all when it is refused [default: 1].
  --json                Print one JSON object at the end:
                        {"text": ..., "outcome": {...}}.
  -h --help             Show this text.

Example:
  balsamlift request --at=127.0.11.1:7100 --workspace=intake-desk --kind=tag \\
      "Scroll 12, water stain at the lower edge."

Exit codes: 0 the answer is whole; 1 refused, that is it did not run, or
failed on the way; 2 wrong usage; 3 not known: it may have run.
"""

_EXIT_CODES = {
    WHOLE: ExitCode.DONE,
    REFUSED: ExitCode.FAILED,
    FAILED: ExitCode.FAILED,
    UNKNOWN: ExitCode.UNKNOWN,
}
_STANDARD_INPUT = "-"


@attrs.frozen
class JsonAnswer:
    """Hold the answer as it is printed with `--json`."""

    text: str
    outcome: Outcome


def run(argv: Sequence[str]) -> ExitCode:
    """Run `balsamlift request` and return its exit code."""
    arguments = Arguments(USAGE, argv)
    as_json = arguments.flag("--json")
    tokens: list[str] = []

    def handle_tokens(added: list[str]) -> None:
        tokens.extend(added)
        if not as_json:
            print(
                _replace_control_characters("".join(added)), end="", flush=True
            )

    outcome = _send(arguments, handle_tokens)
    if as_json:
        print_json(JsonAnswer("".join(tokens), outcome))
    else:
        _print_outcome(outcome, bool(tokens))
    return _EXIT_CODES[outcome.outcome]


def _send(arguments: Arguments, handle_tokens: OnTokens) -> Outcome:
    running_request = _run_request(
        arguments.addresses("--at"),
        arguments,
        _build_request(arguments),
        handle_tokens,
    )
    try:
        return asyncio.run(running_request)
    except KeyboardInterrupt as error:
        raise InterruptedUnknownError from error


async def _run_request(
    addresses: list[str],
    arguments: Arguments,
    request: Request,
    handle_tokens: OnTokens,
) -> Outcome:
    # Created inside the running event loop, as the client binds itself to it.
    token_file = arguments.text("--token-file")
    client = Client(
        addresses,
        workspace=arguments.text("--workspace"),
        token=_read(token_file).strip() if token_file else "",
        failure_domain=arguments.text("--failure-domain"),
    )
    attempts = arguments.number("--attempts") or 1
    try:
        return await client.run(request, handle_tokens, attempts=attempts)
    finally:
        client.close()


def _build_request(arguments: Arguments) -> Request:
    prompt = arguments.text("PROMPT")
    if prompt == _STANDARD_INPUT:
        prompt = sys.stdin.read()
    return Request(
        kind=arguments.text("--kind"),
        prompt=prompt,
        prefix=arguments.text("--prefix"),
        max_tokens=arguments.number("--max-tokens"),
        seed=arguments.number("--seed"),
        deadline_ms=arguments.number("--deadline-ms"),
        payload=_parse_payload(arguments.text("--payload")),
    )


def _parse_payload(text: str) -> Any:
    if not text:
        return None
    try:
        return json.loads(text)
    except ValueError as error:
        raise UsageError(f"--payload takes JSON: {error}") from error


def _read(file: str) -> str:
    try:
        return Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"--token-file: {error}") from error


def _replace_control_characters(text: str) -> str:
    """Replace control characters other than tabs and line ends.

    They must not reach a terminal.
    """
    return "".join(c if c.isprintable() or c in "\n\t" else "?" for c in text)


def _print_outcome(outcome: Outcome, has_tokens: bool) -> None:
    if has_tokens:
        print()
    if outcome.result is not None:
        print_json(outcome.result)
    words = [outcome.outcome, outcome.reason, f"{outcome.tokens} tokens"]
    if outcome.retry_after_ms is not None:
        words.append(f"come back in {outcome.retry_after_ms} ms")
    print_note(", ".join(word for word in words if word))
