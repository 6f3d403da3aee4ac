"""What engines are given to read while a crowd comes."""

import heapq
from math import inf

import pytest

from balsamlift.placement import Reading, max_unread_tokens, may_read

TOKENS_PER_MS = 7
KNOWN = Reading(tokens=70_000, took_ms=10_000)
URGENT_TARGET_MS = 1_500
URGENT_TOKENS = 2_000
LARGE_TOKENS = 3_000


@pytest.mark.parametrize(
    ("reading", "target_ms", "expected"),
    [
        (KNOWN, URGENT_TARGET_MS, 5_250),
        (KNOWN, 0, inf),
        (Reading(tokens=700, took_ms=100), URGENT_TARGET_MS, inf),
        (Reading(), URGENT_TARGET_MS, inf),
    ],
)
def test_the_limit_is_what_is_read_in_half_of_the_target(
    reading: Reading, target_ms: float, expected: float
) -> None:
    assert max_unread_tokens(reading, target_ms) == expected


@pytest.mark.parametrize(
    ("unread_tokens", "prompt_tokens", "expected"),
    [(0, 9_000, True), (1, 4_999, True), (1, 5_000, False)],
)
def test_an_idle_engine_is_given_a_prompt_of_any_size(
    unread_tokens: int, prompt_tokens: int, expected: bool
) -> None:
    assert may_read(unread_tokens, prompt_tokens, 5_000) is expected


def test_old_measures_count_for_less_and_less() -> None:
    reading = Reading()
    for _ in range(1_000):
        reading = reading.add(7_000, 1_000)
    for _ in range(200):
        reading = reading.add(2_000, 1_000)
    assert reading.tokens / reading.took_ms == pytest.approx(2.0, rel=0.1)


def delays_of_urgent_ms(max_tokens: float) -> list[float]:
    """Return when urgent prompts, every 500 ms, are read by one engine.

    It could read 4 large prompts while each second brings 8 of them, for
    10 s. What it may not have yet waits, the urgent first.
    """
    waiting: list[tuple[int, int, int]] = []  # priority, arrival, tokens
    unread: list[tuple[int, int, int]] = []
    delays_ms = []
    progress = 0
    for now_ms in range(20_000):
        if now_ms < 10_000 and now_ms % 125 == 0:
            heapq.heappush(waiting, (1, now_ms, LARGE_TOKENS))
        if now_ms < 10_000 and now_ms % 500 == 0:
            heapq.heappush(waiting, (0, now_ms, URGENT_TOKENS))
        while waiting:
            unread_tokens = sum(each[2] for each in unread) - progress
            if not may_read(unread_tokens, waiting[0][2], max_tokens):
                break
            unread.append(heapq.heappop(waiting))
        progress += TOKENS_PER_MS
        if unread and progress >= unread[0][2]:
            priority, arrived_ms, tokens = unread.pop(0)
            progress -= tokens
            if priority == 0:
                delays_ms.append(now_ms - arrived_ms)
        if not unread:
            progress = 0
    return delays_ms


def test_urgent_prompts_are_read_in_time_beside_a_crowd() -> None:
    limit = max_unread_tokens(KNOWN, URGENT_TARGET_MS)
    limited = delays_of_urgent_ms(limit)
    assert len(limited) == 20
    assert max(limited) <= URGENT_TARGET_MS
    assert max(delays_of_urgent_ms(inf)) > 2 * URGENT_TARGET_MS
