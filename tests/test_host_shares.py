"""Shares of a limit that all hosts have together."""

import pytest
from _manual_clock import ManualClock

from balsamlift.peers import HostRank
from balsamlift.peers._host_shares import (
    StartupPause,
    even_share,
    live_share,
    whole_share,
)

HOSTS = [1, 7, 87, 195]


@pytest.mark.parametrize("limit", [0, 1, 5, 9, 400])
@pytest.mark.parametrize("groups", [1, 3])
@pytest.mark.parametrize("hosts", HOSTS)
def test_whole_shares_of_all_groups_stay_within_the_limit(
    hosts: int, groups: int, limit: int
) -> None:
    total = groups * sum(
        whole_share(limit, HostRank(position, hosts), groups)
        for position in range(hosts)
    )
    if groups == 1:
        assert total == limit
    elif limit >= groups:
        assert limit - groups < total <= limit


@pytest.mark.parametrize("hosts", HOSTS)
def test_even_shares_add_up_to_the_limit(hosts: int) -> None:
    assert even_share(54.0, hosts) * hosts == pytest.approx(54.0)
    assert even_share(54.0, 0) == 54.0


@pytest.mark.parametrize("hosts", HOSTS)
@pytest.mark.parametrize("cut", [0, 1, 3])
def test_hosts_that_are_cut_off_keep_their_part(hosts: int, cut: int) -> None:
    cut = min(cut, hosts)
    known = live_share(2.4, hosts - cut, hosts) + live_share(2.4, cut, hosts)
    assert known == pytest.approx(2.4)
    assert live_share(2.4, hosts, hosts - cut) == 2.4  # not listed yet


def test_a_pause_ends_after_its_time() -> None:
    clock = ManualClock(5.0)
    pause = StartupPause(clock, 1.5)
    clock.now_s = 6.4
    assert not pause.is_over
    clock.now_s = 6.5
    assert pause.is_over
