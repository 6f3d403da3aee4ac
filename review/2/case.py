"""A stream without a length is cut by a move and passed on as complete."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from support import (
    BROKEN,
    HELD,
    NOT_RUN,
    Channel,
    Deployment,
    Recorder,
    Replica,
    Request,
    ask,
    event,
    is_troubled,
    manifest,
    route,
    run_case,
)

ENGINES = 5
EVENTS = 120
EVENT_GAP_S = 0.05
PATH = "/draft/"
ATTEMPT = "attempt-1"
ENGINE = {
    "KvCapacityTokens": 34_484,
    "KvTokenBytes": 327_680,
    "LinkMbps": 47_000,
    "Moves": True,
    "Backups": False,
}


class Engine:
    """Run generations, and move them on order as PROTOCOL.md says."""

    def __init__(self, name: str, recorder: Recorder) -> None:
        """Serve generations under the id `name`."""
        self.replica = Replica(name, "llm", self._handle)
        self._record = recorder.line
        self._stops: dict[str, asyncio.Event] = {}
        self._next: dict[str, int] = {}  # event of each run

    async def _handle(self, channel: Channel, request: Request) -> None:
        if request.target == "/report":
            await channel.json(self._report())
        elif request.target == "/kv-move":
            await self._move(channel, json.loads(request.body))
        else:
            await self._run(channel, request)

    def _report(self) -> dict[str, object]:
        return {
            "Stage": "unified",
            "LifecycleState": self.replica.state,
            "Runs": [
                [run, 400 + number, number, 0]
                for run, number in self._next.items()
            ],
        }

    async def _move(self, channel: Channel, order: dict[str, str]) -> None:
        run, is_last = order["InstanceId"], bool(order.get("Last"))
        self._record(
            f"{self.replica.name} gets a call to move {run}, Last {is_last}"
        )
        if run not in self._next:
            await channel.json({}, 404)
            return
        await asyncio.sleep(0.03)  # the copy
        created = self._next[run]
        if is_last:
            self._stops[run].set()
            await asyncio.sleep(0.02)
        await channel.json({"Handle": f"h-{run}", "Created": created})

    async def _run(self, channel: Channel, request: Request) -> None:
        run = request.attempt
        first = int(request.headers.get("last-event-id", "-1")) + 1
        source = request.headers.get("kv-from", "")
        self._record(
            f"{self.replica.name} runs {run} from event {first}"
            + (f" out of {source}" if source else "")
        )
        stop = self._stops[run] = asyncio.Event()
        # A response without a length, which ends with its channel.
        await channel.head(request, 200, "Content-Type: text/event-stream")
        for number in range(first, EVENTS):
            self._next[run] = number
            if stop.is_set():
                break
            await channel.send(event(number))
            await asyncio.sleep(EVENT_GAP_S)
        del self._next[run]
        how = "stopped on order" if stop.is_set() else "made its last event"
        self._record(f"{self.replica.name}: {run} {how}")
        channel.writer.close()


async def case(recorder: Recorder) -> int:
    """Let the engine that runs a stream leave."""
    deployment = Deployment(
        manifest(
            [route(PATH, "streaming", "llm", TargetGapMs=180)],
            [{"Name": "llm", "MaxConnections": 300, "Engine": ENGINE}],
        )
    )
    engines = [Engine(f"i-{n}", recorder) for n in range(ENGINES)]
    deployment.replicas = [engine.replica for engine in engines]
    try:
        await deployment.start()
        machine = deployment.machines[0]
        asking = asyncio.create_task(
            ask(
                machine.front,
                "POST",
                PATH + "1",
                ATTEMPT,
                {
                    "X-Model": "m",
                    "X-Token-Usage": f"400,{EVENTS * 4}",
                    "X-Prefix-Hash": "5c1e07a2:400",
                    "X-Deadline-Ms": "39000",
                },
                b"prompt",
            )
        )
        await asyncio.sleep(1.0)
        if is_troubled():
            (runner,) = (e for e in engines if ATTEMPT in e._next)
            runner.replica.state = "draining"
            deployment.publish(runner.replica)
            recorder.line(f"{runner.replica.name} reports draining")
        answer = await asking
        ids = answer.event_ids()
        recorder.line(
            f"the client got {answer}; events {ids[:1]} to {ids[-1:]}"
        )
        if "-v" in sys.argv:
            print(deployment.logs())
    finally:
        await deployment.stop()
    if answer.status != 200:
        return NOT_RUN
    if answer.is_complete and ids != list(range(EVENTS)):
        return BROKEN
    return HELD


if __name__ == "__main__":
    run_case(__file__, case)
