"""Client-side progress of one request and the outcomes hosts report."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import Any

import attrs
import msgspec

from balsamlift._json import decode_json
from balsamlift.requests import STREAM, HostAddress, new_homed_key
from balsamlift.streams import (
    FAILED,
    REFUSED,
    UNKNOWN,
    WHOLE,
    Accepted,
    Answer,
    FrameError,
    Outcome,
    Start,
    StreamStatusError,
    Tokens,
)

SERVER_ERROR = 500
GONE = 410
NOT_FOUND = 404

OnTokens = Callable[[list[str]], None]
OnKey = Callable[[str], None]


@attrs.frozen(kw_only=True)
class Request:
    """Describe one request, without its key."""

    kind: str
    prompt: str = ""
    prompt_tokens: int | None = None
    prefix: str = ""
    max_tokens: int | None = None
    seed: int | None = None
    idempotent: bool | None = None
    deadline_ms: int | None = None
    delivery: str = STREAM
    payload: Any = None


@attrs.define(eq=False)
class Progress:
    """Hold what has been received of one answer, from any host."""

    request: Request
    key: str
    home: HostAddress
    on_tokens: OnTokens | None = None
    on_key: OnKey | None = None
    answer: Answer = attrs.field(factory=Answer)
    accepted: Accepted | None = None
    start: Start | None = None
    sent: bool = False  # whether any byte may have been sent under this key
    sent_before: bool = False  # the same, before the current attempt

    def replace_key(self, home: HostAddress) -> None:
        """Replace the unsent key by a new one whose home is `home`."""
        self.home = home
        self.key = new_homed_key(home.key_prefix)
        if self.on_key is not None:
            self.on_key(self.key)

    def accept_start(self, start: Start) -> None:
        """Accept tokens of this generation from now on.

        Raises `FrameError` for a second generation, unless the host says
        that it repeats every token already received.
        """
        received = self.answer.next_index
        is_same = start.generation == self.answer.generation
        if received and not is_same and start.verified_tokens < received:
            raise FrameError("another generation in the middle of an answer")
        self.answer.begin(start.generation)
        self.start = start

    def append_tokens(self, frame: Tokens) -> None:
        """Append tokens and pass the new ones to `on_tokens`."""
        added = self.answer.append(frame)
        if added and self.on_tokens is not None:
            self.on_tokens(frame.tokens[-added:])


@attrs.frozen(kw_only=True)
class _Error:
    error: str


def verify_outcome(progress: Progress, outcome: Outcome) -> Outcome:
    """Return the outcome after checking it against the tokens received.

    Raises `FrameError` if tokens are missing.
    """
    if outcome.outcome != WHOLE:
        return outcome
    if outcome.tokens > progress.answer.next_index:
        raise FrameError("the end counts more tokens than were received")
    if outcome.digest != _compute_digest(progress, outcome):
        # The tokens are with the caller already, so a retry cannot help.
        return Outcome(
            outcome=FAILED,
            reason="digest_wrong",
            tokens=progress.answer.next_index,
            digest=progress.answer.digest,
        )
    return outcome


def _compute_digest(progress: Progress, outcome: Outcome) -> str:
    if progress.start is not None:
        return progress.answer.digest
    encoded = msgspec.json.encode(outcome.result)
    return hashlib.sha256(encoded).hexdigest()


def outcome_of_status(
    progress: Progress, error: StreamStatusError
) -> Outcome | None:
    """Return the outcome that an HTTP status implies, or None."""
    try:
        return decode_json(error.body, Outcome)
    except msgspec.DecodeError:
        pass
    if error.status >= SERVER_ERROR:
        return None
    if error.status == NOT_FOUND and progress.accepted is not None:
        return None
    reason = _error_code(error)
    if error.status == GONE:
        return Outcome(outcome=FAILED, reason=reason)
    # An earlier attempt may have started the request, so a refusal of this
    # one does not prove that it did not run.
    kind = UNKNOWN if progress.sent_before else REFUSED
    return Outcome(
        outcome=kind, reason=reason, tokens=progress.answer.next_index
    )


def _error_code(error: StreamStatusError) -> str:
    try:
        return decode_json(error.body, _Error).error
    except msgspec.DecodeError:
        return f"status_{error.status}"


def no_answer_outcome(progress: Progress) -> Outcome:
    """Return the outcome for a request that no host answered in time."""
    return Outcome(
        outcome=UNKNOWN,
        reason="no_answer",
        tokens=progress.answer.next_index,
    )
