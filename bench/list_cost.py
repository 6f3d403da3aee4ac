"""Measure the cost to a host of one change in the platform's list.

Run: python bench/list_cost.py. Prints JSON: for each number of upstreams, the
processor time to process a list in which one entry has changed: decoding the
list, and merging it into the known upstreams.
"""

from __future__ import annotations

import json
import os
import random
import time
from collections.abc import Callable
from functools import partial

from balsamlift.peers import ListEntry, Upstream
from balsamlift.peers._incarnations import take_latest
from balsamlift.peers._upstream import build_upstream
from balsamlift.platform._decode import decode_upstream
from balsamlift.platform._watch import _DecodeCache

SIZES = (26, 450, 4_500)
CHANGES = 20


def main() -> None:
    """Print the cost of a change at each size, in milliseconds."""
    results = [_measure(size) for size in SIZES]
    print(json.dumps({"load_average": os.getloadavg()[0], "sizes": results}))


def _measure(size: int) -> dict[str, float]:
    rng = random.Random(size)
    values = {f"i-{n:06}": _entry(n, 0) for n in range(size)}
    decoded = _DecodeCache(decode_upstream)
    entries = decoded.update(values)
    known_upstreams = _build_upstreams(entries)
    decode_ms = join_ms = 0.0
    for change in range(CHANGES):
        number = rng.randrange(size)
        values[f"i-{number:06}"] = _entry(number, change + 1)
        decode_ms += _timed_ms(lambda: decoded.update(values))
        entries = decoded.update(values)
        join_ms += _timed_ms(partial(_merge, entries, known_upstreams))
    return {
        "upstreams": size,
        "decode_ms": round(decode_ms / CHANGES, 2),
        "join_ms": round(join_ms / CHANGES, 2),
    }


def _merge(entries: list[ListEntry], known_upstreams: list[Upstream]) -> None:
    take_latest(_build_upstreams(entries), known_upstreams)


def _build_upstreams(entries: list[ListEntry]) -> list[Upstream]:
    built = [build_upstream(entry, {}) for entry in entries]
    return [upstream for upstream in built if upstream is not None]


def _entry(number: int, sequence: int) -> bytes:
    fields = {
        "Service": "model",
        "Address": f"10.1.{number // 250}.{number % 250}:8080",
        "Zone": "north",
        "Version": "v1",
        "Slots": 24,
        "LifecycleState": "ready",
        "Sequence": sequence,
        "ColdRemainingMs": 0,
        "born": 1_700_000_000_000 + number,
    }
    return json.dumps(fields).encode()


def _timed_ms(call: Callable[[], object]) -> float:
    began_s = time.process_time()
    call()
    return (time.process_time() - began_s) * 1_000


if __name__ == "__main__":
    main()
