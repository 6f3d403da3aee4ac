"""A timeline of events, ordered by a hybrid logical clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import attrs

from balsamlift.clock import Clock
from balsamlift.exceptions import StampError
from balsamlift.kernel import Kernel
from balsamlift.operators import JsonHandler, OperatorsServer

MAX_DRIFT_MS = 60_000
MAX_COUNTER = 2**31
MAX_STAMP_LENGTH = 32

Detail = str | int | float | bool | None
StampKey = tuple[int, int]


@attrs.frozen
class Event:
    """Hold one event that occurred on one host."""

    stamp: str
    host: str
    kind: str
    request: str = ""
    detail: dict[str, Detail] = attrs.field(factory=dict)


def parse_stamp(stamp: str) -> StampKey:
    """Return the milliseconds and the counter of a stamp.

    Raises `StampError` if it is malformed.
    """
    milliseconds, dot, counter = stamp.partition(".")
    digits = milliseconds + counter
    well_formed = dot and milliseconds and counter and digits.isdecimal()
    if len(stamp) > MAX_STAMP_LENGTH or not well_formed:
        raise StampError(stamp)
    return int(milliseconds), int(counter)


def merge(parts: Iterable[Iterable[Event]]) -> list[Event]:
    """Return the events of all hosts in causal order."""
    events = [event for part in parts for event in part]
    return sorted(
        events, key=lambda event: (*parse_stamp(event.stamp), event.host)
    )


class Timeline:
    """Stamp events and keep the latest ones of this host."""

    name = "timeline"

    def __init__(self, host: str, clock: Clock, capacity: int) -> None:
        """Keep at most `capacity` events, dropping the oldest."""
        self._host = host
        self._clock = clock
        self._events: deque[Event] = deque(maxlen=capacity)
        self._milliseconds = 0
        self._counter = 0

    async def start(self, kernel: Kernel) -> None:
        """Add the route that serves the events to operators."""
        operators = kernel.find("operators", OperatorsServer)
        arguments = {"timeline": self}
        operators.add_routes([(r"/v1/timeline", TimelineHandler, arguments)])

    async def stop(self) -> None:
        """Do nothing: there is no work to end."""

    def stamp(self) -> str:
        """Return a stamp later than all stamps issued or observed."""
        now_ms = self._now_ms()
        if now_ms > self._milliseconds:
            self._milliseconds = now_ms
            self._counter = 0
        else:
            self._counter += 1
        return f"{self._milliseconds}.{self._counter}"

    def observe(self, stamp: str) -> None:
        """Advance the clock, so that later stamps are greater than `stamp`.

        Ignores malformed stamps and those more than `MAX_DRIFT_MS` ahead:
        one host with a wrong clock must not shift all the others.
        """
        try:
            milliseconds, counter = parse_stamp(stamp)
        except StampError:
            return
        is_too_far_ahead = milliseconds > self._now_ms() + MAX_DRIFT_MS
        if is_too_far_ahead or counter > MAX_COUNTER:
            return
        if (milliseconds, counter) > (self._milliseconds, self._counter):
            self._milliseconds = milliseconds
            self._counter = counter

    def record(
        self, kind: str, *, request: str = "", **detail: Detail
    ) -> None:
        """Record one event with a new stamp."""
        event = Event(self.stamp(), self._host, kind, request, detail)
        self._events.append(event)

    def events(
        self, request: str = "", kind: str = "", since: str = ""
    ) -> list[Event]:
        """Return the recorded events that match, oldest first.

        An empty filter matches all events; `since` is an exclusive stamp.
        Raises `StampError`.
        """
        after = parse_stamp(since) if since else (-1, 0)
        return [
            event
            for event in self._events
            if (not request or event.request == request)
            and (not kind or event.kind == kind)
            and (not since or parse_stamp(event.stamp) > after)
        ]

    def _now_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1_000)


class TimelineHandler(JsonHandler):
    """Answer `GET /v1/timeline` with a list of events."""

    def initialize(self, timeline: Timeline) -> None:
        """Store the timeline to read."""
        self._timeline = timeline

    def get(self) -> None:
        """Send the events that match the arguments request, kind and since."""
        try:
            events = self._timeline.events(
                self.get_query_argument("request", ""),
                self.get_query_argument("kind", ""),
                self.get_query_argument("since", ""),
            )
        except StampError as error:
            self.reply({"error": "bad_stamp", "message": error.message}, 400)
            return
        self.reply(events)
