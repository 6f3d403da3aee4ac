"""Evacuated failure domains from snapshots that arrive in any order."""

import itertools

import pytest
from loguru import logger

from balsamlift.peers import Evacuations, EvacuationSnapshot

SNAPSHOTS = [
    EvacuationSnapshot(1, []),
    EvacuationSnapshot(4, ["north"]),
    EvacuationSnapshot(5, ["north", "south"]),
    EvacuationSnapshot(9, ["south"]),
]


@pytest.mark.parametrize("order", list(itertools.permutations(range(4))))
def test_the_newest_snapshot_wins_in_any_order(order) -> None:
    evacuations = Evacuations()
    for n in order:
        evacuations.offer(SNAPSHOTS[n], "peer")
    assert evacuations.domains == {"south"}
    assert evacuations.covers("south")
    assert not evacuations.covers("north")


def test_each_change_is_notified_and_logged_once() -> None:
    lines: list[dict[str, object]] = []
    sink = logger.add(lambda message: lines.append(message.record["extra"]))
    evacuations = Evacuations()
    changes: list[frozenset[str]] = []
    evacuations.on_change(lambda: changes.append(evacuations.domains))
    try:
        for snapshot in (
            SNAPSHOTS[1],
            SNAPSHOTS[1],
            SNAPSHOTS[0],
            EvacuationSnapshot(6, []),
        ):
            evacuations.offer(snapshot, "peer", age_ms=40)
        evacuations.offer(EvacuationSnapshot(7, []), "store")
    finally:
        logger.remove(sink)
    assert changes == [{"north"}, frozenset()]
    assert [line["evacuated"] for line in lines] == [["north"], []]
    assert lines[0]["age_ms"] == 40
    assert lines[0]["offset"] == 4
    assert lines[0]["source"] == "peer"


def test_there_is_no_snapshot_to_send_before_the_first() -> None:
    evacuations = Evacuations()
    assert evacuations.snapshot is None
    evacuations.offer(SNAPSHOTS[0], "store")
    assert evacuations.snapshot == SNAPSHOTS[0]


def test_a_later_era_supersedes_larger_offsets() -> None:
    """Guard against offsets that a restored store assigns a second time."""
    evacuations = Evacuations()
    evacuations.offer(EvacuationSnapshot(9, ["north"], era=1), "store")
    assert evacuations.offer(EvacuationSnapshot(4, ["south"], era=2), "store")
    assert not evacuations.offer(
        EvacuationSnapshot(12, ["north"], era=1), "peer"
    )
    assert evacuations.domains == {"south"}
