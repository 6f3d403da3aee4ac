"""Which hosts callers are told of."""

import random

import pytest

from balsamlift.relay._directory import MOST_ADDRESSES, choose_addresses


def hosts(name: str, number: int) -> list[str]:
    return [f"{name}{n}" for n in range(number)]


@pytest.mark.parametrize(
    ("near", "far", "expected"),
    [(0, 3, 3), (1, 3, 4), (2, 3, 2), (64, 100, 64), (0, 64, 64)],
)
def test_names_the_callers_own_failure_domain_where_that_is_enough(
    near: int, far: int, expected: int
) -> None:
    rng = random.Random(7)
    named = choose_addresses(hosts("n", near), hosts("f", far), rng)
    assert len(named) == expected
    assert set(hosts("n", near)) <= set(named)


@pytest.mark.parametrize(("near", "far"), [(90, 0), (0, 195), (1, 195)])
def test_of_more_hosts_than_fit_each_gets_its_share(
    near: int, far: int
) -> None:
    """Ten thousand callers: every host is named to about as many."""
    rng = random.Random(7)
    named = dict.fromkeys(hosts("n", near) + hosts("f", far), 0)
    answers = 10_000
    for _ in range(answers):
        answer = choose_addresses(hosts("n", near), hosts("f", far), rng)
        assert len(set(answer)) == MOST_ADDRESSES
        for host in answer:
            named[host] += 1
    kept = near if near < 2 else 0
    share = (MOST_ADDRESSES - kept) / (near + far - kept)
    for host, number in named.items():
        if kept and host.startswith("n"):
            assert number == answers
        else:
            assert 0.9 < number / answers / share < 1.1
