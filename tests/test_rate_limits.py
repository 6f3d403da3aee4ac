"""What a host knows of the rate limits of upstreams, and from whom."""

import asyncio
from math import inf, nan

import attrs
import pytest
from _manual_clock import ManualClock
from loguru import logger

from balsamlift.peers import Permits, RateLimits
from balsamlift.peers._messages import (
    PermitRequest,
    RateLimitReport,
    decode_permit_request,
    decode_update,
    encode_permit,
    is_permit_request,
)
from balsamlift.peers._permits import STARTUP_S, GrantingHosts, Permit
from balsamlift.peers._rate_limits import ENDED_TTL_S, MAX_LIMITS
from balsamlift.platform._decode import decode_rate_limit


@attrs.define
class KnownLimits:
    """The limits that one host knows, and its clock."""

    clock: ManualClock = attrs.field(factory=lambda: ManualClock(100.0))
    limits: RateLimits = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.limits = RateLimits(self.clock)

    @property
    def per_s(self) -> float | None:
        named = self.limits.find("e1")
        return named.limit_per_s if named else None

    def answer(self, limit_per_s: float | None, *, took_s: float) -> None:
        """Receive an answer to a request that was sent `took_s` before."""
        self.clock.now_s += 1.0
        sent_s = self.clock.now_s - took_s
        self.limits.record("e1", limit_per_s, sent_s)


def test_an_answer_names_raises_lowers_and_ends_a_limit() -> None:
    known = KnownLimits()
    for limit_per_s in (2.0, 1.0, 3.0, 0.0, None, 2.0):
        known.answer(limit_per_s, took_s=0.1)
        assert known.per_s == limit_per_s


@pytest.mark.parametrize("overtaken", [None, 5.0])
def test_an_overtaken_answer_neither_ends_nor_raises_a_limit(
    overtaken: float | None,
) -> None:
    known = KnownLimits()
    known.answer(2.0, took_s=0.1)
    known.answer(overtaken, took_s=1.5)  # sent before the limit was known
    assert known.per_s == 2.0
    known.answer(overtaken, took_s=0.5)
    assert known.per_s == overtaken


def test_a_late_report_does_not_bring_an_ended_limit_back() -> None:
    known, other = KnownLimits(), KnownLimits()
    known.answer(2.0, took_s=0.1)
    late = known.limits.changed_since(0)
    other.limits.add(late)
    assert other.per_s == 2.0
    known.answer(None, took_s=0.1)
    other.clock.now_s += 1.0
    other.limits.add(known.limits.changed_since(0))
    assert other.per_s is None
    aged = [RateLimitReport("e1", 2.0, age_ms=1_500)]
    other.limits.add(aged)
    assert other.per_s is None


@pytest.mark.parametrize(
    "report",
    [
        RateLimitReport("e1", nan, 0),
        RateLimitReport("e1", inf, 0),
        RateLimitReport("e1", -1.0, 0),
        RateLimitReport("e1", 1.0, -5),
        RateLimitReport("", 1.0, 0),
    ],
)
def test_an_invalid_report_changes_nothing(report: RateLimitReport) -> None:
    known = KnownLimits()
    known.answer(2.0, took_s=0.1)
    known.clock.now_s += 1.0
    known.limits.add([report])
    assert known.per_s == 2.0
    assert known.limits.limited() == {"e1"}


def test_an_unchanged_limit_is_reported_once() -> None:
    known = KnownLimits()
    known.answer(2.0, took_s=0.1)
    change = known.limits.change
    known.answer(2.0, took_s=0.1)
    assert known.limits.changed_since(change) == []


def test_limits_are_bounded_in_number_and_time() -> None:
    known = KnownLimits()
    for number in range(MAX_LIMITS + 10):
        known.limits.record(f"e{number}", 1.0, known.clock.now_s)
    assert len(known.limits.limited()) == MAX_LIMITS
    known.clock.now_s += ENDED_TTL_S + 1.0
    known.limits.prune({"e100"})
    assert known.limits.limited() == {"e100"}


@pytest.mark.parametrize(
    ("text", "limit_per_s"),
    [
        ("2.4", 2.4),
        (" 0 ", 0.0),
        ("1900", 1900.0),
        ("3.", 3.0),
        ("", None),
        ("two", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("1e400", None),
        ("1_0", None),
        ("1.2.3", None),
        ("2.4,1.9", None),
        ("9" * 400, None),
    ],
)
def test_a_header_is_one_decimal_number_or_no_limit(
    text: str, limit_per_s: float | None
) -> None:
    assert decode_rate_limit(text) == limit_per_s


def make_permits(own: str, others: tuple[str, ...]) -> Permits:
    known = KnownLimits()
    hosts = GrantingHosts(own, dict.fromkeys((own, *others), "a"), 3)
    permits = Permits(known.limits, lambda: hosts, NoTransport(), known.clock)
    known.clock.now_s += STARTUP_S + 10.0
    return permits


class NoTransport:
    """No other host answers."""

    async def ask(self, address: str, request: PermitRequest) -> None:
        return None

    def close(self) -> None:
        pass


def test_only_the_first_of_the_hosts_it_knows_grants_permits() -> None:
    request = PermitRequest(
        RateLimitReport("e1", 50.0, 0), 1_000, False, False
    )
    names = ("h1", "h2", "h3")
    granting = [
        own
        for own in names
        if make_permits(own, tuple(set(names) - {own}))
        .grant(request)
        .is_granted
    ]
    assert len(granting) == 1


def test_without_an_answer_there_is_no_permit() -> None:
    for own in ("h1", "h2"):
        permits = make_permits(own, tuple({"h1", "h2"} - {own}))
        permits._limits.record("e1", 50.0, 200.0)
        permit = asyncio.run(permits.acquire("e1"))
        assert permit == Permit(is_granted=False, wait_s=permit.wait_s)
        assert permit.wait_s > 0


def test_refused_callers_are_logged_once_with_the_limit() -> None:
    permits = make_permits("h1", ())
    permits._limits.record("e1", 0.5, 200.0)
    lines: list[dict[str, object]] = []
    number = logger.add(lambda m: lines.append(m.record["extra"]))
    for _ in range(3):
        asyncio.run(permits.reserve_return("e1"))
    for _ in range(2):
        permits.prune({"e1"})
    logger.remove(number)
    (line,) = [line for line in lines if "callers" in line]
    assert line["callers"] == 3
    assert line["limit_per_s"] == 0.5
    assert line["source"] == "answer"
    assert line["live_fraction"] == 0.333


def test_a_request_for_a_permit_is_told_from_an_update() -> None:
    request = PermitRequest(RateLimitReport("e1", 2.4, 7), 100, True, False)
    data = encode_permit(request)
    assert is_permit_request(data)
    assert decode_permit_request(data) == request
    with pytest.raises(Exception, match="cannot decode"):
        decode_update(data)
