"""Reports about parts of prompts: which replaces which, and their bounds."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from _virtual_time import LoopClock, run_virtual

from balsamlift.peers import PartReport, PartReports, PartState
from balsamlift.peers._messages import PeerMessage, encode_message
from balsamlift.peers._part_reports import MAX_REPORTS

PART = "0123456789abcdef"
UPSTREAM = "i-0123456789"


def run(test: Callable[[PartReports], Awaitable[None]]) -> None:
    async def main() -> None:
        await test(PartReports(LoopClock()))

    run_virtual(main)


def states(reports: PartReports) -> list[PartState]:
    return sorted(entry.state for entry in reports.entries())


@pytest.mark.parametrize(
    ("first", "second", "kept"),
    [
        (
            PartState.CRASHED_AFTER_OUTPUT,
            PartState.CRASHED_AFTER_HEAD,
            [PartState.CRASHED_AFTER_HEAD],
        ),
        (
            PartState.SURVIVED,
            PartState.CRASHED_AFTER_HEAD,
            [PartState.SURVIVED],
        ),
        (PartState.BLOCKED, PartState.UNBLOCKED, [PartState.UNBLOCKED]),
        (PartState.UNBLOCKED, PartState.BLOCKED, [PartState.UNBLOCKED]),
        (
            PartState.KNOWN,
            PartState.TRIED,
            [PartState.KNOWN, PartState.TRIED],
        ),
        (
            PartState.SURVIVED,
            PartState.BLOCKED,
            [PartState.SURVIVED, PartState.BLOCKED],
        ),
    ],
)
def test_of_the_same_kind_the_greater_state_counts(
    first: PartState, second: PartState, kept: list[PartState]
) -> None:
    async def test(reports: PartReports) -> None:
        reports.report(PART, first, UPSTREAM)
        reports.report(PART, second, UPSTREAM)
        assert states(reports) == kept

    run(test)


def test_a_block_lasts_while_it_is_renewed() -> None:
    async def test(reports: PartReports) -> None:
        reports.report(PART, PartState.BLOCKED)
        ttl_s = PartState.BLOCKED.ttl_ms / 1_000
        await asyncio.sleep(ttl_s / 2)
        reports.report(PART, PartState.BLOCKED)
        await asyncio.sleep(ttl_s * 0.75)
        assert states(reports) == [PartState.BLOCKED]
        await asyncio.sleep(ttl_s / 2)
        assert states(reports) == []

    run(test)


def test_a_report_that_is_repeated_is_not_sent_again() -> None:
    async def test(reports: PartReports) -> None:
        reports.report(PART, PartState.BLOCKED)
        change = reports.change
        await asyncio.sleep(1.0)
        reports.report(PART, PartState.BLOCKED)
        assert reports.changed_since(change) == []

    run(test)


@pytest.mark.parametrize("state", [-1, 7, 99])
def test_states_of_newer_versions_are_ignored(state: int) -> None:
    async def test(reports: PartReports) -> None:
        reports.add([PartReport(PART, UPSTREAM, state, 1_000)])
        assert states(reports) == []

    run(test)


def test_reports_are_bounded_in_number_and_time() -> None:
    async def test(reports: PartReports) -> None:
        longest_ms = 10 * PartState.BLOCKED.ttl_ms
        reports.add(
            PartReport(f"{number}", "", PartState.BLOCKED, longest_ms)
            for number in range(MAX_REPORTS + 10)
        )
        assert len(states(reports)) == MAX_REPORTS
        await asyncio.sleep(PartState.BLOCKED.ttl_ms / 1_000 + 1)
        assert states(reports) == []

    run(test)


def test_a_report_takes_fewer_than_50_bytes() -> None:
    async def test(reports: PartReports) -> None:
        reports.report(PART, PartState.CRASHED_AFTER_HEAD, UPSTREAM)
        message = ("h", "i", 1, 0, 0, False, "", 0, False, False)
        without = len(encode_message(PeerMessage(*message)))
        encoded = encode_message(
            PeerMessage(*message, part_reports=reports.changed_since(0))
        )
        assert len(encoded) - without < 50

    run(test)
