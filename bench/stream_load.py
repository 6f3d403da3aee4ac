"""Generate load by reading streams as callers do, in a separate process.

Usage:
  stream_load.py JOB
  stream_load.py (-h | --help)

JOB is a `Job` as JSON. Prints a `Report` as JSON. Started by relay.py.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time

import attrs
import msgspec
from docopt import docopt

from balsamlift._http import HttpClient
from balsamlift.requests import Addresses, new_homed_key
from balsamlift.streams import (
    WHOLE,
    GenerationEnd,
    Outcome,
    Start,
    Stream,
    StreamClient,
    StreamError,
    Tokens,
)

DIRECT = "direct"
THROUGH = "through"
CONNECT_MS = 5_000
SILENCE_MS = 15_000
RETRY_DELAY_S = 0.2
CANCEL_TIMEOUT_S = 5.0


@attrs.frozen(kw_only=True)
class Job:
    """Describe which streams to keep open, and for how long."""

    way: str  # DIRECT or THROUGH
    host: str  # its callers' address
    engine: str
    streams: int
    tokens: int  # of each answer
    step_ms: float  # between two tokens of one answer
    warm_s: float  # not measured
    measure_s: float
    paired: bool = False  # read each generation directly as well


@attrs.define(kw_only=True)
class Report:
    """Hold delays in milliseconds, and counts."""

    first_token_ms: list[float] = attrs.field(factory=list)
    gap_ms: list[float] = attrs.field(factory=list)  # per frame
    behind_ms: list[float] = attrs.field(factory=list)  # paired, per token
    whole: int = 0
    not_whole: int = 0
    tokens: int = 0
    frames: int = 0


class LoadGenerator:
    """Keep a number of streams open by repeating requests."""

    def __init__(self, job: Job) -> None:
        """Start with an empty report."""
        self._job = job
        self._streams = StreamClient()
        self._http = HttpClient()
        self._report = Report()
        self._measuring = False
        self._prefix = ""
        self._number = 0

    async def run(self) -> Report:
        """Read streams for the duration of the job and return the report."""
        if self._job.way == THROUGH:
            await self._find_prefix()
        readers = [
            asyncio.create_task(self._repeat_requests(number))
            for number in range(self._job.streams)
        ]
        await asyncio.sleep(self._job.warm_s)
        self._measuring = True
        await asyncio.sleep(self._job.measure_s)
        self._measuring = False
        for reader in readers:
            reader.cancel()
        _, late = await asyncio.wait(readers, timeout=CANCEL_TIMEOUT_S)
        for reader in late:
            reader.print_stack(limit=5)
        return self._report

    async def _find_prefix(self) -> None:
        url = f"http://{self._job.host}/v1/addresses?workspace=bench"
        answer = await self._http.call("GET", url, timeout_ms=CONNECT_MS)
        self._prefix = answer.decode(Addresses).addresses[0].key_prefix

    async def _repeat_requests(self, number: int) -> None:
        # Starts are spread over one answer's duration to even out the load.
        answer_s = self._job.tokens * self._job.step_ms / 1_000
        await asyncio.sleep(answer_s * number / self._job.streams)
        while True:
            try:
                whole = await self._run_request()
            except StreamError:
                whole = False
            if self._measuring:
                self._report.whole += whole
                self._report.not_whole += not whole
            if not whole:
                await asyncio.sleep(RETRY_DELAY_S)

    async def _run_request(self) -> bool:
        started_s = time.perf_counter()
        stream = self._open()
        last_s = 0.0
        arrived: dict[int, float] = {}
        direct_reader: asyncio.Task[None] | None = None
        whole = False
        async for event in stream.events():
            now_s = time.perf_counter()
            if event.name == "token":
                frame = event.decode(Tokens)
                self._record_frame(frame, now_s, started_s, last_s)
                last_s = now_s
                if self._job.paired:
                    arrived[frame.index + len(frame.tokens)] = now_s
            elif event.name == "start" and self._job.paired:
                generation = event.decode(Start).generation
                direct_reader = asyncio.create_task(
                    self._read_directly(generation, arrived)
                )
            elif event.name == "end":
                whole = self._is_whole(event.decode(msgspec.Raw))
        if direct_reader is not None:
            await direct_reader
        return whole

    def _open(self) -> Stream:
        self._number += 1
        body = {
            "key": f"direct-{id(self)}-{self._number}",
            "workspace": "bench",
            "kind": "report",
            "prompt": f"[length={self._job.tokens}]",
            "prompt_tokens": 16,
            "max_tokens": self._job.tokens,
        }
        url = f"http://{self._job.engine}/v1/generations"
        if self._job.way == THROUGH:
            body["key"] = new_homed_key(self._prefix)
            url = f"http://{self._job.host}/v1/requests"
        return self._streams.open(
            "POST", url, body, connect_ms=CONNECT_MS, silence_ms=SILENCE_MS
        )

    def _is_whole(self, data: msgspec.Raw) -> bool:
        if self._job.way == THROUGH:
            outcome = msgspec.json.decode(data, type=Outcome)
            return outcome.outcome == WHOLE
        end = msgspec.json.decode(data, type=GenerationEnd)
        return end.tokens == self._job.tokens

    def _record_frame(
        self, frame: Tokens, now_s: float, started_s: float, last_s: float
    ) -> None:
        if not self._measuring:
            return
        report = self._report
        report.frames += 1
        report.tokens += len(frame.tokens)
        if frame.index == 0:
            report.first_token_ms.append((now_s - started_s) * 1_000)
        else:
            report.gap_ms.append((now_s - last_s) * 1_000)

    async def _read_directly(
        self, generation: str, arrived: dict[int, float]
    ) -> None:
        """Read the generation directly and record the delay per token."""
        url = f"http://{self._job.engine}/v1/generations/{generation}?from=0"
        stream = self._streams.open(
            "GET", url, connect_ms=CONNECT_MS, silence_ms=SILENCE_MS
        )
        direct: dict[int, float] = {}
        async for event in stream.events():
            if event.name == "token":
                frame = event.decode(Tokens)
                direct[frame.index + len(frame.tokens)] = time.perf_counter()
        if self._measuring:
            behind = [
                (arrived[after] - at_s) * 1_000
                for after, at_s in direct.items()
                if after in arrived
            ]
            # The first frame may have been sent before the direct reader
            # connected.
            self._report.behind_ms += behind[1:]


def main() -> None:
    """Run the job of the command line."""
    arguments = docopt(__doc__ or "")
    job = msgspec.json.decode(arguments["JOB"], type=Job)
    asyncio.run(_run(job))


async def _run(job: Job) -> None:
    report = await LoadGenerator(job).run()
    sys.stdout.write(msgspec.json.encode(report).decode())
    sys.stdout.flush()
    # Exit without closing the open streams; the report is complete.
    os._exit(0)


if __name__ == "__main__":
    main()
