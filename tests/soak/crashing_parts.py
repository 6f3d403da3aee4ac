"""Requests of which one part crashes the engines that begin to answer it."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from balsamlift.clock import Clock, SystemClock

CONTACT_S = 3.0  # as in the settings of the hosts
START_S = 1.0  # until a host that was killed has started again
CRASHES = 5  # after which the bounds count
MAX_LATE_ARRIVALS = 3
MIN_SOUND_REQUESTS = 20
MIN_SOUND_RATIO = 1 / 2
CRASHING_SHARE = 0.15  # of the streams, while a part crashes engines
UNFRAMED_SHARE = 0.3  # of the answers to streams
FIRST_PART = "aa01"
SHARED_PARTS = ("bb01", "bb02", "bb03")


@attrs.frozen
class _Stream:
    """A stream that a caller asked a host for."""

    host: str
    sent_s: float
    part: str  # that crashes engines; "": a sound one


@attrs.define
class _Part:
    """What became of the requests with a part that crashes engines."""

    is_sent: bool = True
    crashes_s: list[float] = attrs.field(factory=list)
    arrivals: list[_Stream] = attrs.field(factory=list)


class CrashingParts:
    """Draw the parts of prompts, and check who was sent to engines."""

    def __init__(
        self,
        seed: int,
        report_violation: Callable[[str, str, str], None],
        clock: Clock | None = None,
    ) -> None:
        """Report by guarantee, subject and description."""
        self._report_violation = report_violation
        self._clock = clock or SystemClock()
        self._random = random.Random(f"{seed}/crashing parts")
        self._parts: dict[str, _Part] = {}
        self._streams: dict[str, _Stream] = {}
        self._sound: list[tuple[_Stream, bool]] = []
        self._disturbed_s: dict[str, list[float]] = {}

    def begin(self, name: str) -> None:
        """Let some of the streams have a part that crashes engines."""
        self._parts[name] = _Part()

    def end(self, name: str) -> None:
        """Let no more streams have that part."""
        self._parts[name].is_sent = False

    def draw(self, request_id: str) -> str:
        """Return the header value of a new stream."""
        own = request_id.encode().hex()
        parts = [FIRST_PART, self._random.choice(SHARED_PARTS), own]
        sent = [name for name, part in self._parts.items() if part.is_sent]
        if sent and self._random.random() < CRASHING_SHARE:
            parts.insert(self._random.randrange(3), self._random.choice(sent))
        return ",".join(f"{part}:100" for part in parts)

    def find(self, header: str) -> str:
        """Return the part of a prompt that crashes engines, or ""."""
        listed = [entry.partition(":")[0] for entry in header.split(",")]
        return next((name for name in listed if name in self._parts), "")

    def is_unframed(self, request_id: str) -> bool:
        """Return whether an answer has neither a length nor chunks."""
        draw = random.Random(f"{request_id}/unframed").random()
        return bool(self._parts) and draw < UNFRAMED_SHARE

    def record_request(self, request_id: str, host: str, header: str) -> None:
        """Record that a caller is about to send a stream."""
        self._streams[request_id] = _Stream(
            host, self._clock.monotonic(), self.find(header)
        )

    def record_outcome(self, request_id: str, *, is_begun: bool) -> None:
        """Record how the first attempt of a stream ended."""
        stream = self._streams[request_id]
        if not stream.part:
            self._sound.append((stream, is_begun))

    def record_arrival(self, request_id: str) -> None:
        """Record that a stream has arrived at an engine."""
        stream = self._streams.get(request_id)
        if stream is not None and stream.part:
            self._parts[stream.part].arrivals.append(stream)

    def record_crash(self, name: str) -> None:
        """Record that an engine ends because of that part."""
        self._parts[name].crashes_s.append(self._clock.monotonic())

    def exempt_host(self, host: str) -> None:
        """Exempt a host around its stop, suspension or start."""
        now_s = self._clock.monotonic()
        self._disturbed_s.setdefault(host, []).append(now_s)

    def check(self) -> None:
        """Report parts that reached too many engines, or cost sound ones."""
        for name, part in self._parts.items():
            if len(part.crashes_s) >= CRASHES:
                self._check_arrivals(name, part)
            if part.crashes_s:
                self._check_sound(name, part)

    def _check_arrivals(self, name: str, part: _Part) -> None:
        from_s = part.crashes_s[CRASHES - 1] + CONTACT_S
        late = [
            stream
            for stream in part.arrivals
            if stream.sent_s > from_s and self._is_in_touch(stream)
        ]
        if len(late) > MAX_LATE_ARRIVALS:
            self._report_violation(
                "crashes",
                name,
                f"was sent to engines {len(late)} times more, "
                f"{len(part.crashes_s)} ended in all",
            )

    def _check_sound(self, name: str, part: _Part) -> None:
        bound_s = part.crashes_s[:CRASHES][-1]
        before = self._sound_between(0.0, part.crashes_s[0])
        after = self._sound_between(bound_s + 2 * CONTACT_S, float("inf"))
        if min(len(before), len(after)) < MIN_SOUND_REQUESTS:
            return
        if _share(after) < MIN_SOUND_RATIO * _share(before):
            self._report_violation(
                "sound",
                name,
                f"{sum(after)} of {len(after)} sound streams began, "
                f"{sum(before)} of {len(before)} before",
            )

    def _sound_between(self, from_s: float, until_s: float) -> list[bool]:
        return [
            is_begun
            for stream, is_begun in self._sound
            if from_s <= stream.sent_s < until_s and self._is_in_touch(stream)
        ]

    def _is_in_touch(self, stream: _Stream) -> bool:
        return not any(
            disturbed_s - CONTACT_S
            <= stream.sent_s
            <= disturbed_s + START_S + CONTACT_S
            for disturbed_s in self._disturbed_s.get(stream.host, ())
        )


def _share(served: list[bool]) -> float:
    return sum(served) / len(served)
