"""Run a complete demo: stand-ins, hosts, presets, requests, timeline.

Run by scripts/demo. Everything listens on 127.0.0.0/8, and every process
that is started here is stopped by its id at the end.
"""

from __future__ import annotations

import asyncio
import hashlib
import subprocess
import sys
import time
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import json5

from balsamlift._http import HttpClient
from balsamlift.client import Client, Request
from balsamlift.streams import Outcome
from balsamlift.testing import Process

EXAMPLES = Path(__file__).parent
DEPLOYMENTS = ("warisan-pulih", "mitad-del-mundo")
IN_FORCE_TIMEOUT_S = 30.0
CALL_TIMEOUT_MS = 5_000


def main() -> int:
    """Run the demo of one deployment; return 0 if all answers are complete."""
    deployment = sys.argv[1] if len(sys.argv) > 1 else DEPLOYMENTS[1]
    folder = EXAMPLES / deployment
    with ExitStack() as stack:
        print(f"# {deployment}: starting stand-ins and hosts")
        platform = _start_stand_ins(folder, stack)
        hosts = _start_hosts(folder, stack)
        asyncio.run(_list_hosts(platform, hosts))
        _publish(folder, platform)
        outcomes = asyncio.run(_run_requests(hosts, folder))
        _print_timeline(hosts[0], outcomes[-1][0])
    all_whole = all(outcome.outcome == "whole" for _, outcome in outcomes)
    print(
        "# every answer is complete"
        if all_whole
        else "# NOT every answer is complete"
    )
    return 0 if all_whole else 1


def _start_stand_ins(folder: Path, stack: ExitStack) -> str:
    files = sorted((folder / "stand-ins").glob("*.json5"))
    files.sort(key=lambda f: f.stem != "platform")
    started = [stack.enter_context(_stand_in(file)) for file in files]
    return str(started[0].wait_ready()["address"])


def _stand_in(file: Path) -> Process:
    kind = file.stem.split("-")[0]
    process = Process(["balsamlift.testing", kind, str(file)], name=file.stem)
    process.wait_ready()
    return process


def _start_hosts(folder: Path, stack: ExitStack) -> list[dict[str, Any]]:
    files = sorted((folder / "hosts").glob("*.json5"))
    processes = [
        stack.enter_context(Process(["balsamlift", "serve", str(file)]))
        for file in files
    ]
    hosts = []
    for file, process in zip(files, processes, strict=True):
        settings = json5.loads(file.read_text())
        domain = settings["failure_domain"]
        hosts.append({**process.wait_ready(), "failure_domain": domain})
    return hosts


async def _list_hosts(platform: str, hosts: list[dict[str, Any]]) -> None:
    """List the hosts on the stand-in, as the platform does by itself."""
    http = HttpClient()
    for host in hosts:
        entry = {
            "name": host["host"],
            "role": "entry",
            "pool": "",
            "address": host["callers_address"],
            "operators_address": host["operators_address"],
            "peers_address": host["peers_address"],
            "failure_domain": host["failure_domain"],
            "state": "live",
        }
        url = f"http://{platform}/v1/hosts/{host['host']}"
        await http.call("PUT", url, entry, timeout_ms=CALL_TIMEOUT_MS)
    http.close()


def _publish(folder: Path, platform: str) -> None:
    for name in ("ordinary", "peak", "maintenance"):
        file = folder / "presets" / f"{name}.json5"
        _run_command("preset", "publish", str(file), "--log", platform)
    _run_command("preset", "switch", "ordinary", "--log", platform)


def _run_command(*arguments: str) -> None:
    print("$ balsamlift", *(Path(a).name for a in arguments))
    subprocess.run(
        [sys.executable, "-m", "balsamlift", *arguments], check=True
    )


async def _run_requests(
    hosts: list[dict[str, Any]], folder: Path
) -> list[tuple[str, Outcome]]:
    addresses = [host["callers_address"] for host in hosts]
    client = Client(addresses, workspace=_workspace(folder))
    await _wait_for_preset(client)
    outcomes = []
    for request in _requests(folder):
        tokens: list[str] = []
        started_s = time.monotonic()
        keys: list[str] = []
        outcome = await client.run(
            request, tokens.extend, on_key=keys.append, attempts=3
        )
        elapsed_ms = (time.monotonic() - started_s) * 1_000
        print(f"\n# {request.kind}: {outcome.outcome} in {elapsed_ms:.0f} ms")
        print(f"  {outcome.tokens} tokens, digest {outcome.digest[:16]}")
        print(f"  begins: {' '.join(tokens[:8])!r}, result: {outcome.result}")
        joined_tokens = "".join(token + "\0" for token in tokens)
        if tokens:
            assert (
                hashlib.sha256(joined_tokens.encode()).hexdigest()
                == outcome.digest
            )
        outcomes.append((keys[-1], outcome))
    client.close()
    return outcomes


async def _wait_for_preset(client: Client) -> None:
    deadline_s = time.monotonic() + IN_FORCE_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            await client.hosts()
            return
        except Exception:
            await asyncio.sleep(0.1)
    raise TimeoutError("no host has a preset in force")


def _workspace(folder: Path) -> str:
    preset = json5.loads((folder / "presets" / "ordinary.json5").read_text())
    names = [n for n in preset["workspaces"] if n != "*"]
    return str(names[0])


def _requests(folder: Path) -> list[Request]:
    """Return a plain call, a call that must not be repeated, and a report."""
    preset = json5.loads((folder / "presets" / "ordinary.json5").read_text())
    non_repeatable = "refund" if "refund" in preset["kinds"] else "tag"
    lookup = "stock" if "stock" in preset["kinds"] else "lookup"
    return [
        Request(kind=lookup, payload={"item": "A-17"}),
        Request(
            kind=non_repeatable, prompt="[length=12]", payload={"claim": 42}
        ),
        Request(kind="report", prompt="Notes of the bench. [length=120]"),
    ]


def _print_timeline(host: dict[str, Any], key: str) -> None:
    print("\n# the timeline of the report, across all processes")
    _run_command(
        "timeline", "--at", host["operators_address"], "--request", key
    )


if __name__ == "__main__":
    sys.exit(main())
