"""How long calls take, learned per route and service.

Hosts that send their counts to each other share the longest recent call as the
number of a bucket, so that they send it only when it changes. Beyond the
fan-out, where all counts are sent each time, a host has its own alone.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Mapping
from typing import Protocol

import attrs

from balsamlift._numbers import parse_count
from balsamlift.clock import Clock
from balsamlift.relay._attempt import Attempt
from balsamlift.relay._request import Call, Outcome

# A call counts for one to two of these periods.
PERIOD_S = 120.0
MAX_KEYS = 512  # the least recently used is forgotten
# Buckets grow by this factor, from the first upper bound on.
BUCKET_GROWTH = 1.1
FIRST_BOUND_S = 0.01
MAX_BUCKET = 135  # over an hour
_PREFIX = "duration"


class SharedValues(Protocol):
    """Values of this host that others get as sums."""

    @property
    def receives_pushed_counts(self) -> bool:
        """Return whether hosts send each other what changes."""

    def share_value(self, key: str, value: int) -> None:
        """Set a value of this host; 0 removes it."""

    def other_counts(self, prefix: str) -> Mapping[str, int]:
        """Return the sums of the other hosts' values by key."""


@attrs.define
class _Longest:
    """The bucket of the longest call in this period, and in the last one."""

    period: int
    bucket: int
    previous: int = -1

    def advance(self, period: int) -> None:
        if period == self.period:
            return
        self.previous = self.bucket if period == self.period + 1 else -1
        self.bucket = -1
        self.period = period

    @property
    def highest(self) -> int:
        return max(self.bucket, self.previous)


class CallDurations:
    """Keep the longest recent duration of the calls of each key."""

    def __init__(self, values: SharedValues, clock: Clock) -> None:
        """Share what is observed through `values`."""
        self._values = values
        self._clock = clock
        self._longest: OrderedDict[str, _Longest] = OrderedDict()
        self._shared: dict[str, int] = {}  # bucket, by key

    def observe(
        self, key: str, took_s: float, *, is_whole: bool = True
    ) -> None:
        """Record how long a call took at its upstreams.

        One that is not whole took that long at least.
        """
        bucket = _find_bucket(took_s)
        longest = self._longest.get(key) or _Longest(self._period(), -1)
        longest.advance(self._period())
        if not is_whole and not 0 <= longest.highest < bucket:
            return
        longest.bucket = max(longest.bucket, bucket)
        self._longest[key] = longest
        self._longest.move_to_end(key)
        self._share(key, longest.highest)
        if len(self._longest) > MAX_KEYS:
            self._forget(next(iter(self._longest)))

    def longest_s(self, key: str) -> float | None:
        """Return an upper bound of the recent calls, None without any."""
        own = self._longest.get(key)
        buckets = self._other_buckets(key)
        if own is not None:
            own.advance(self._period())
            buckets.append(own.highest)
        highest = max(buckets, default=-1)
        return _upper_bound_s(highest) if highest >= 0 else None

    def discard_expired(self) -> None:
        """Forget calls that are too old; called every second."""
        period = self._period()
        for key, longest in list(self._longest.items()):
            longest.advance(period)
            if longest.highest < 0:
                self._forget(key)
            else:
                self._share(key, longest.highest)

    def _other_buckets(self, key: str) -> list[int]:
        prefix = _value_prefix(key)
        counts = self._values.other_counts(prefix)
        texts = [name[len(prefix) :] for name, n in counts.items() if n > 0]
        # Others belong to keys that begin like this one.
        numbers = (parse_count(text) for text in texts)
        return [min(n, MAX_BUCKET) for n in numbers if n is not None]

    def _share(self, key: str, bucket: int) -> None:
        if not self._values.receives_pushed_counts:
            self._withdraw(key)
        elif bucket != self._shared.get(key):
            self._withdraw(key)
            self._values.share_value(_value_key(key, bucket), 1)
            self._shared[key] = bucket

    def _withdraw(self, key: str) -> None:
        bucket = self._shared.pop(key, None)
        if bucket is not None:
            self._values.share_value(_value_key(key, bucket), 0)

    def _forget(self, key: str) -> None:
        del self._longest[key]
        self._withdraw(key)

    def _period(self) -> int:
        return int(self._clock.monotonic() // PERIOD_S)


def observe_call(
    durations: CallDurations,
    call: Call,
    attempt: Attempt,
    outcome: Outcome,
    now_s: float,
) -> None:
    """Record how long a call has run at its upstreams, if it has."""
    if not attempt.may_have_run or attempt.began_s is None:
        return
    origin = call.request.origin
    is_part = origin is not None and origin.resume is not None
    durations.observe(
        call.duration_key,
        now_s - attempt.began_s,
        is_whole=outcome.is_success and not is_part,
    )


def _value_prefix(key: str) -> str:
    return f"{_PREFIX}/{key}/"


def _value_key(key: str, bucket: int) -> str:
    return f"{_value_prefix(key)}{bucket}"


def _find_bucket(took_s: float) -> int:
    if took_s <= FIRST_BOUND_S:
        return 0
    steps = math.log(took_s / FIRST_BOUND_S, BUCKET_GROWTH)
    return min(math.ceil(steps), MAX_BUCKET)


def _upper_bound_s(bucket: int) -> float:
    return float(FIRST_BOUND_S * BUCKET_GROWTH**bucket)
