"""The key table runs each key at most once and never refuses one that ran."""

from datetime import UTC, datetime

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamlift.exceptions import RefusedError
from balsamlift.requests import Execution, Home, KeyTable, parse_key
from balsamlift.requests._table import KeyRetiredError
from balsamlift.streams import WHOLE, Outcome

HOME = Home("host-1", "ab12")
CAPACITY = 2  # small, so that the table is often full


class ManualClock:
    """A clock that the test advances."""

    def __init__(self):
        self.now_s = 0.0

    def now(self):
        return datetime.fromtimestamp(self.now_s, UTC)

    def monotonic(self):
        return self.now_s

    async def sleep(self, delay_s):
        self.now_s += delay_s


class TableMachine(RuleBasedStateMachine):
    """Submit new and duplicate keys while time passes and the table fills."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.table = KeyTable(HOME, self.clock, 1_000, CAPACITY)
        self.runs = {}
        self.refused = set()
        self.issued = []

    def submit(self, text):
        key = parse_key(text)
        if self.table.find(key) is not None:
            return
        try:
            self.table.check_accepts(key)
        except KeyRetiredError:
            return
        except RefusedError:
            assert text not in self.runs, "refused a key that had run"
            self.refused.add(text)
            return
        self.table.add(key, Execution(text, "w"))
        self.runs[text] = self.runs.get(text, 0) + 1

    @rule()
    def new_key(self):
        text = f"{self.table.prefix}.{len(self.issued):032x}"
        self.issued.append(text)
        self.submit(text)

    @rule(position=st.integers(0, 1_000))
    def late_duplicate(self, position):
        if self.issued:
            self.submit(self.issued[position % len(self.issued)])

    @rule(position=st.integers(0, 1_000))
    def finish_one(self, position):
        held = list(self.table.executions())
        if held:
            execution = held[position % len(held)]
            execution.finish(Outcome(outcome=WHOLE), self.clock.now_s)

    @rule(step_ms=st.sampled_from([100, 500, 2_000]))
    def time_passes(self, step_ms):
        self.clock.now_s += step_ms / 1_000

    @invariant()
    def at_most_once(self):
        assert all(n == 1 for n in self.runs.values())
        assert not self.refused & set(self.runs)
        assert len(self.table) <= CAPACITY
        assert len(self.table) == len(list(self.table.executions()))


TestTable = TableMachine.TestCase
TestTable.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)


def test_a_key_refused_by_a_full_table_is_never_accepted():
    clock = ManualClock()
    table = KeyTable(HOME, clock, 1_000, 1)
    first = parse_key(f"{table.prefix}.{1:032x}")
    table.check_accepts(first)
    execution = Execution(first.text, "w")
    table.add(first, execution)
    execution.finish(Outcome(outcome=WHOLE), clock.now_s)
    clock.now_s = 1.0  # two epochs later
    second = parse_key(f"{table.prefix}.{2:032x}")
    with pytest.raises(RefusedError):
        table.check_accepts(second)
    clock.now_s = 1.5  # the first key is dropped, so the table has space
    fresh = parse_key(f"{table.prefix}.{3:032x}")
    table.check_accepts(fresh)
    with pytest.raises(RefusedError):
        table.check_accepts(second)


@pytest.mark.parametrize(
    "text", ["", "a", "host~x.0", "h~ab~0." + "0" * 31, "-" + "0" * 32]
)
def test_a_malformed_key_raises(text):
    from balsamlift.requests import BadKeyError

    with pytest.raises(BadKeyError):
        parse_key(text)
