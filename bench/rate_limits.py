"""Compare ways to divide the rate limit of an upstream among hosts.

Run: python bench/rate_limits.py [--seeds=N]. Prints JSON: for each way, number
of hosts, limit and load, the most requests in any 4 s as a fraction of what
the platform tolerates, and the fraction of the limit that was used; each as
the mean over the seeds, the first also as the maximum. In virtual time, with
requests that arrive at random at random hosts, or all at a tenth of them.
"""

from __future__ import annotations

import heapq
import json
import random
import statistics
import sys
from collections.abc import Callable, Iterator
from typing import Protocol

import attrs

from balsamlift.peers._permit_bucket import PermitBucket

HOSTS = (7, 87, 195)
LIMITS_PER_S = (0.4, 1.9, 2.4, 12.0)
REQUESTS_PER_S = 25.0
IDLE_S, BUSY_S = 60.0, 60.0  # few requests, then many
IDLE_REQUESTS_PER_S = 0.05
WINDOW_S = 4.0
RENEWAL_S = 0.5  # between two exchanges of demand
EXCHANGE_S = 0.006  # to ask another host and be answered
TOLERATED_FACTOR, TOLERATED_EXTRA = 1.5, 5


class Division(Protocol):
    """Decides at which host a request may be sent."""

    def allows(self, host: int, now_s: float) -> bool:
        """Return whether a request at a host may be sent now; count it."""


@attrs.define
class _Bucket:
    """A bucket of at most one token, for the share of one host."""

    tokens: float = 0.0
    updated_s: float = 0.0

    def take(self, now_s: float, rate_per_s: float) -> bool:
        elapsed_s = now_s - self.updated_s
        self.tokens = min(self.tokens + elapsed_s * rate_per_s, 1.0)
        self.updated_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class EqualShares:
    """Every host gets the same share, and begins at a random phase."""

    def __init__(self, hosts: int, limit_per_s: float, seed: int) -> None:
        """Divide by the number of hosts."""
        rng = random.Random(f"{seed}/phase")
        self._rate_per_s = limit_per_s / hosts
        self._buckets = [_Bucket(rng.random()) for _ in range(hosts)]

    def allows(self, host: int, now_s: float) -> bool:
        """Take a token of the host's own bucket."""
        return self._buckets[host].take(now_s, self._rate_per_s)


class FewHosts:
    """The first hosts by rank share the limit, so that bursts are bounded."""

    def __init__(self, hosts: int, limit_per_s: float, seed: int) -> None:
        """Let as many hosts send as may burst at the same time."""
        del seed
        most = int(limit_per_s * WINDOW_S * 0.5) + TOLERATED_EXTRA
        self._sending = min(most, hosts)
        self._rate_per_s = limit_per_s / self._sending
        self._buckets = [_Bucket() for _ in range(self._sending)]

    def allows(self, host: int, now_s: float) -> bool:
        """Take a token of the host's own bucket, if it has one."""
        if host >= self._sending:
            return False
        return self._buckets[host].take(now_s, self._rate_per_s)


class DemandShares:
    """Shares follow the requests that hosts had before the last exchange."""

    def __init__(self, hosts: int, limit_per_s: float, seed: int) -> None:
        """Begin with no demand known."""
        rng = random.Random(f"{seed}/phase")
        self._limit_per_s = limit_per_s
        self._buckets = [_Bucket(rng.random()) for _ in range(hosts)]
        self._wanted = [0.0] * hosts
        self._known = [1.0] * hosts
        self._renewed_s = 0.0

    def allows(self, host: int, now_s: float) -> bool:
        """Take a token of the host's own bucket."""
        if now_s - self._renewed_s >= RENEWAL_S:
            self._renewed_s = now_s
            self._known = [
                known * 0.5 + wanted
                for known, wanted in zip(
                    self._known, self._wanted, strict=True
                )
            ]
            self._wanted = [0.0] * len(self._wanted)
        self._wanted[host] += 1
        share = self._known[host] / max(sum(self._known), 1e-9)
        return self._buckets[host].take(now_s, self._limit_per_s * share)


class Permits:
    """One host grants permits from one bucket, after an exchange."""

    def __init__(self, hosts: int, limit_per_s: float, seed: int) -> None:
        """Start the bucket of the granting host."""
        del hosts, seed
        self._bucket = PermitBucket(0.0)
        self._bucket.set_rate(limit_per_s, 0.0)

    def allows(self, host: int, now_s: float) -> bool:
        """Ask the granting host."""
        del host
        return self._bucket.take(now_s + EXCHANGE_S, 0.0) is not None


WAYS: dict[str, Callable[[int, float, int], Division]] = {
    "equal shares": EqualShares,
    "few hosts": FewHosts,
    "shares by demand": DemandShares,
    "permits": Permits,
}


def requests(
    hosts: int, seed: int, *, is_uneven: bool
) -> Iterator[tuple[float, int]]:
    """Yield the time and the host of each request."""
    rng = random.Random(f"{seed}/requests")
    busy = range(max(hosts // 10, 1)) if is_uneven else range(hosts)
    # The busy hosts are not the first ones by rank.
    offset = hosts // 2
    now_s = 0.0
    while now_s < IDLE_S + BUSY_S:
        is_idle = now_s < IDLE_S
        rate_per_s = IDLE_REQUESTS_PER_S if is_idle else REQUESTS_PER_S
        next_s = now_s + rng.expovariate(rate_per_s)
        if is_idle and next_s >= IDLE_S:
            now_s = IDLE_S  # the busy time begins now, not with this request
            continue
        now_s = next_s
        yield now_s, (rng.choice(busy) + offset) % hosts


def most_in_a_window(times_s: list[float]) -> int:
    """Return the most requests within `WINDOW_S`."""
    most = 0
    window: list[float] = []
    for at_s in times_s:
        heapq.heappush(window, at_s)
        while window[0] <= at_s - WINDOW_S:
            heapq.heappop(window)
        most = max(most, len(window))
    return most


def run(
    way: str, hosts: int, limit_per_s: float, seed: int, *, is_uneven: bool
) -> tuple[float, float]:
    """Return the fraction of what is tolerated, and of the limit used."""
    division = WAYS[way](hosts, limit_per_s, seed)
    sent_s = [
        at_s
        for at_s, host in requests(hosts, seed, is_uneven=is_uneven)
        if division.allows(host, at_s)
    ]
    tolerated = TOLERATED_FACTOR * limit_per_s * WINDOW_S + TOLERATED_EXTRA
    busy = sum(at_s >= IDLE_S for at_s in sent_s)
    used = busy / (limit_per_s * BUSY_S)
    return most_in_a_window(sent_s) / tolerated, used


def main() -> None:
    """Print the results of all ways as JSON."""
    seeds = 5
    for argument in sys.argv[1:]:
        seeds = int(argument.removeprefix("--seeds="))
    results = []
    for way in WAYS:
        for hosts in HOSTS:
            for limit_per_s in LIMITS_PER_S:
                for is_uneven in (False, True):
                    runs = [
                        run(way, hosts, limit_per_s, seed, is_uneven=is_uneven)
                        for seed in range(seeds)
                    ]
                    results.append(
                        {
                            "way": way,
                            "hosts": hosts,
                            "limit_per_s": limit_per_s,
                            "load": "uneven" if is_uneven else "even",
                            "most_of_tolerated": round(
                                max(most for most, _ in runs), 2
                            ),
                            "mean_of_tolerated": round(
                                statistics.mean(most for most, _ in runs), 2
                            ),
                            "used": round(
                                statistics.mean(used for _, used in runs), 2
                            ),
                        }
                    )
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
