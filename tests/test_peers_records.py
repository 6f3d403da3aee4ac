"""Tables of records, and the changes sent to hosts that lag."""

import random

import pytest

from balsamlift.peers import Record, RecordBatch
from balsamlift.peers._records import MAX_REMOVALS, RecordTable


def table_of(*records: Record) -> RecordTable:
    table = RecordTable()
    table.apply(RecordBatch(list(records), len(records)))
    return table


def test_later_records_replace_earlier_ones() -> None:
    table = table_of(Record("a", b"1", 0), Record("a", b"2", 1))
    assert table.values() == {"a": b"2"}
    assert not table.apply(RecordBatch([Record("a", b"1", 0)], 2))
    assert table.values() == {"a": b"2"}
    assert table.apply(RecordBatch([Record("a", None, 2)], 3))
    assert table.values() == {}
    assert not table.apply(RecordBatch([Record("a", b"2", 1)], 3))
    assert table.values() == {}


def test_replacing_all_records_removes_missing_keys() -> None:
    table = table_of(Record("a", b"1", 0), Record("b", b"1", 1))
    table.replace_all(RecordBatch([Record("b", b"1", 1)], 9))
    assert table.values() == {"b": b"1"}
    assert table.end == 9
    assert table.changes_since(2) == [Record("a", None, 8)]


def test_replacing_all_records_accepts_smaller_offsets() -> None:
    """Guard against keeping old records after the store is set up anew."""
    table = table_of(*(Record("a", b"old", n) for n in range(9)))
    table.replace_all(RecordBatch([Record("a", b"new", 1)], 2))
    assert table.values() == {"a": b"new"}
    assert table.end == 2
    assert table.apply(RecordBatch([Record("a", b"newer", 2)], 3))
    assert table.values() == {"a": b"newer"}


def test_removals_beyond_the_limit_are_discarded() -> None:
    table = RecordTable()
    last = MAX_REMOVALS + 5
    records = [Record(f"k{n}", None, n) for n in range(last)]
    table.apply(RecordBatch(records, last))
    assert table.changes_since(4) is None
    kept = table.changes_since(5)
    assert kept is not None
    assert len(kept) == MAX_REMOVALS


@pytest.mark.parametrize("seed", range(8))
def test_a_host_that_receives_changes_has_the_same_values(seed: int) -> None:
    """Whatever it missed, and whether it receives changes or all records."""
    rng = random.Random(seed)
    reader, receiver = RecordTable(), RecordTable()
    for offset in range(1_500):
        value = rng.choice([None, b"%d" % offset])
        key = f"k{rng.randrange(700)}"
        reader.apply(RecordBatch([Record(key, value, offset)], offset + 1))
        if rng.random() < 0.01:
            records = (
                None
                if receiver.end is None
                else reader.changes_since(receiver.end)
            )
            if records is None:
                receiver.replace_all(RecordBatch(reader.all(), offset + 1))
            else:
                receiver.apply(RecordBatch(records, offset + 1))
            assert receiver.values() == reader.values()
