"""One upstream as a process, which a run stops and continues by signals.

Usage: python -m soak.upstream_process NAME SERVICE IP SLOTS WORK_S SEED

Writes a JSON line when it listens, as it reads a request, and as it drops or
answers it. Times are of the monotonic clock, which all processes share.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time

from balsamlift.platform._names import HEADERS
from balsamlift.testing.relay import (
    ReplicaConnection,
    ReplicaRequest,
    ReplicaStandIn,
)
from soak.guarantees import last_event, stream_event

EVENT_GAP_S = 0.02
QUEUE_PER_SLOT = 4  # requests that wait for their turn; others are refused
STREAMS = "model"


class UpstreamProcess:
    """Works on some requests at a time; the others wait for their turn."""

    def __init__(self, arguments: list[str]) -> None:
        """Read the arguments of the command."""
        name, service, ip, slots, work_s, seed = arguments
        self._work_s = float(work_s)
        self._random = random.Random(f"{seed}/{name}")
        self._most = int(slots) * (1 + QUEUE_PER_SLOT)
        self._held = 0
        self._slots = asyncio.Semaphore(int(slots))
        self._work = self._stream if service == STREAMS else self._answer
        self.replica = ReplicaStandIn(name, service, HEADERS, ip=ip)
        self.replica.behave = self._serve

    async def run(self) -> None:
        """Serve until the process is killed."""
        await self.replica.start()
        _write(ready=self.replica.address)
        await asyncio.Event().wait()

    async def _serve(
        self, connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        """Work on a request, or refuse it where too many wait."""
        if self._held >= self._most:
            await connection.refuse(request)
            return
        self._held += 1
        try:
            await self._run(connection, request)
        finally:
            self._held -= 1

    async def _run(
        self, connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        request_id = request.headers[HEADERS.request_id]
        resumes = HEADERS.resume_source in request.headers
        _write(
            read=request_id,
            resumes=resumes,
            workspace=request.headers.get(HEADERS.workspace, ""),
        )
        work = asyncio.create_task(self._work(connection, request))
        closed = asyncio.create_task(connection.reader.read(1))
        await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        is_dropped = not work.done()
        work.cancel()
        closed.cancel()
        await asyncio.wait({work, closed})
        _write(dropped=request_id) if is_dropped else _write(ended=request_id)

    async def _answer(
        self, connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        request_id = request.headers[HEADERS.request_id]
        async with self._slots:
            await asyncio.sleep(self._random.uniform(0.1, 1) * self._work_s)
        await connection.answer(request, request_id.encode())

    async def _stream(
        self, connection: ReplicaConnection, request: ReplicaRequest
    ) -> None:
        request_id = request.headers[HEADERS.request_id]
        first = int(request.headers.get(HEADERS.last_event_id, "-1")) + 1
        async with self._slots:
            await asyncio.sleep(self._random.uniform(0.1, 1) * self._work_s)
            await connection.begin_stream(request)
            for number in range(first, last_event(request_id) + 1):
                await connection.chunk(stream_event(request_id, number))
                await asyncio.sleep(EVENT_GAP_S)
            await connection.end_stream()


def _write(**fields: object) -> None:
    fields["at_s"] = time.monotonic()
    print(json.dumps(fields), flush=True)


if __name__ == "__main__":
    asyncio.run(UpstreamProcess(sys.argv[1:]).run())
