"""Use the clock, streams and requests as a library, without a daemon."""

from __future__ import annotations

from balsamlift import SystemClock
from balsamlift.requests import Execution, Home, KeyTable, new_homed_key
from balsamlift.requests import parse_key as parse
from balsamlift.streams import WHOLE, Answer, Outcome, Tokens


def keep_an_answer() -> Answer:
    """Collect tokens once and in order from overlapping frames."""
    answer = Answer()
    answer.begin("generation-1")
    for index, tokens in [(0, ["a", "b"]), (1, ["b", "c"]), (0, ["a"])]:
        frame = Tokens(generation="generation-1", index=index, tokens=tokens)
        answer.append(frame)
    return answer


def remember_a_key() -> bool:
    """Store the outcome of a key and return whether the key is found."""
    home = Home("entry-1", "c0ffee")
    table = KeyTable(home, SystemClock(), lifetime_ms=60_000, capacity=100)
    key = parse(new_homed_key(table.prefix))
    table.check_accepts(key)
    execution = Execution(key.text, "bench")
    table.add(key, execution)
    execution.finish(Outcome(outcome=WHOLE), now_s=0.0)
    return table.find(key) is execution


if __name__ == "__main__":
    kept = keep_an_answer()
    print(list(kept.tokens_from(0)), kept.digest)
    print("remembered:", remember_a_key())
