"""Measure the memory that one key in a key table takes.

Run: python bench/key_cost.py. Prints JSON: bytes per key after its answer
has been dropped, as traced by tracemalloc.
"""

from __future__ import annotations

import json
import tracemalloc

from balsamlift.clock import SystemClock
from balsamlift.requests import (
    Execution,
    Home,
    KeyTable,
    RequestBody,
    new_homed_key,
    parse_key,
)
from balsamlift.streams import WHOLE, Outcome, Tokens

KEYS = 20_000
TOKENS = 100


def main() -> None:
    """Fill a key table with finished requests and print bytes per key."""
    table = KeyTable(Home("entry-1", "c0ffee"), SystemClock(), 600_000, KEYS)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for _ in range(KEYS):
        _add_finished_request(table)
    after, _ = tracemalloc.get_traced_memory()
    print(json.dumps({"keys": KEYS, "bytes_per_key": (after - before) / KEYS}))


def _add_finished_request(table: KeyTable) -> None:
    key = parse_key(new_homed_key(table.prefix))
    body = RequestBody(
        key=key.text, workspace="bench", kind="report", prompt="p" * 2_000
    )
    execution = Execution(key.text, "bench", body)
    execution.answer.begin("generation")
    tokens = [f"w{n}" for n in range(TOKENS)]
    frame = Tokens(generation="generation", index=0, tokens=tokens)
    execution.answer.append(frame)
    execution.notify()
    outcome = Outcome(
        outcome=WHOLE, tokens=TOKENS, digest=execution.answer.digest
    )
    execution.finish(outcome, 0.0)
    execution.drop_answer()
    table.add(key, execution)  # type: ignore[arg-type]


if __name__ == "__main__":
    main()
