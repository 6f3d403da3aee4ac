"""Selection of the host addresses that callers receive."""

import random

import pytest

from balsamlift.relay._directory import MAX_ADDRESSES, choose_addresses


def hosts(name: str, number: int) -> list[str]:
    return [f"{name}{n}" for n in range(number)]


@pytest.mark.parametrize(
    ("near", "far", "expected"),
    [(0, 3, 3), (1, 3, 4), (2, 3, 2), (64, 100, 64), (0, 64, 64)],
)
def test_lists_only_the_callers_failure_domain_if_sufficient(
    near: int, far: int, expected: int
) -> None:
    rng = random.Random(7)
    listed = choose_addresses(hosts("n", near), hosts("f", far), rng)
    assert len(listed) == expected
    assert set(hosts("n", near)) <= set(listed)


@pytest.mark.parametrize(("near", "far"), [(90, 0), (0, 195), (1, 195)])
def test_hosts_are_listed_equally_often_if_not_all_fit(
    near: int, far: int
) -> None:
    """Over ten thousand answers, each host is listed about equally often."""
    rng = random.Random(7)
    listed = dict.fromkeys(hosts("n", near) + hosts("f", far), 0)
    answers = 10_000
    for _ in range(answers):
        answer = choose_addresses(hosts("n", near), hosts("f", far), rng)
        assert len(set(answer)) == MAX_ADDRESSES
        for host in answer:
            listed[host] += 1
    kept = near if near < 2 else 0
    share = (MAX_ADDRESSES - kept) / (near + far - kept)
    for host, number in listed.items():
        if kept and host.startswith("n"):
            assert number == answers
        else:
            assert 0.9 < number / answers / share < 1.1
