"""The newest record of each key, and what a host that lags is told."""

import random

import pytest

from balsamlift.peers import Newest, Record
from balsamlift.peers._records import MOST_REMOVED, RecordTable


def table_of(*records: Record) -> RecordTable:
    table = RecordTable()
    table.take(Newest(list(records), len(records)))
    return table


def test_later_records_replace_earlier_ones() -> None:
    table = table_of(Record("a", b"1", 0), Record("a", b"2", 1))
    assert table.values() == {"a": b"2"}
    assert not table.take(Newest([Record("a", b"1", 0)], 2))
    assert table.values() == {"a": b"2"}
    assert table.take(Newest([Record("a", None, 2)], 3))
    assert table.values() == {}
    assert not table.take(Newest([Record("a", b"2", 1)], 3))
    assert table.values() == {}


def test_what_is_missing_from_the_whole_is_gone() -> None:
    table = table_of(Record("a", b"1", 0), Record("b", b"1", 1))
    table.take_whole(Newest([Record("b", b"1", 1)], 9))
    assert table.values() == {"b": b"1"}
    assert table.end == 9
    assert table.since(2) == [Record("a", None, 8)]


def test_the_whole_goes_before_what_was_known() -> None:
    """A store that was set up anew counts from the beginning."""
    table = table_of(*(Record("a", b"old", n) for n in range(9)))
    table.take_whole(Newest([Record("a", b"new", 1)], 2))
    assert table.values() == {"a": b"new"}
    assert table.end == 2
    assert table.take(Newest([Record("a", b"newer", 2)], 3))
    assert table.values() == {"a": b"newer"}


def test_removals_beyond_the_bound_are_forgotten() -> None:
    table = RecordTable()
    last = MOST_REMOVED + 5
    records = [Record(f"k{n}", None, n) for n in range(last)]
    table.take(Newest(records, last))
    assert table.since(4) is None
    remembered = table.since(5)
    assert remembered is not None
    assert len(remembered) == MOST_REMOVED


@pytest.mark.parametrize("seed", range(8))
def test_a_host_that_is_told_ends_with_the_same_values(seed: int) -> None:
    """Whatever it missed, and whether it is told changes or everything."""
    rng = random.Random(seed)
    reader, told = RecordTable(), RecordTable()
    for offset in range(1_500):
        value = rng.choice([None, b"%d" % offset])
        key = f"k{rng.randrange(700)}"
        reader.take(Newest([Record(key, value, offset)], offset + 1))
        if rng.random() < 0.01:
            records = None if told.end is None else reader.since(told.end)
            if records is None:
                told.take_whole(Newest(reader.all(), offset + 1))
            else:
                told.take(Newest(records, offset + 1))
            assert told.values() == reader.values()
