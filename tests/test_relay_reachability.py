"""Which pools a host does not reach, as its logs and metrics tell it."""

from _manual_clock import ManualClock

from balsamlift.metrics import Metrics
from balsamlift.peers import Upstream
from balsamlift.relay.health import Reachability


def upstream(name: str, pool: str = "plain") -> Upstream:
    return Upstream(
        name=name,
        pool=pool,
        kind="service",
        address="127.0.0.1:9",
        failure_domain="north",
    )


def tracker() -> Reachability:
    return Reachability(ManualClock(), Metrics())


def test_two_upstreams_without_a_connection_are_a_pool_not_reached() -> None:
    links = tracker()
    links.record_failure(upstream("a"), "no connection")
    assert links.unreached_pools() == []
    links.record_failure(upstream("b"), "kept connection broken")
    assert links.unreached_pools() == ["plain"]


def test_one_upstream_that_fails_twice_is_not_a_pool() -> None:
    links = tracker()
    links.record_failure(upstream("a"), "no connection")
    links.record_failure(upstream("a"), "no connection")
    assert not links.is_unreached("plain")


def test_a_sign_of_any_upstream_in_between_counts() -> None:
    links = tracker()
    links.record_failure(upstream("a"), "no connection")
    links.record_contact(upstream("c"))
    links.record_failure(upstream("b"), "no connection")
    assert not links.is_unreached("plain")


def test_silence_of_busy_upstreams_is_only_suspected() -> None:
    links = tracker()
    links.record_failure(upstream("a"), "kept connection silent")
    links.record_failure(upstream("b"), "new connection silent")
    assert not links.is_unreached("plain")
    assert links.suspected_pools() == ["plain"]


def test_pools_are_told_apart() -> None:
    links = tracker()
    for name in ("a", "b"):
        links.record_failure(upstream(name), "no connection")
    links.record_contact(upstream("e", "model"))
    assert links.unreached_pools() == ["plain"]


def test_a_pool_is_reached_again_with_the_first_sign() -> None:
    links = tracker()
    changes: list[list[str]] = []
    links.on_change(lambda _: changes.append(links.unreached_pools()))
    for name in ("a", "b", "c"):
        links.record_failure(upstream(name), "no connection")
    links.record_contact(upstream("b"))
    assert changes == [["plain"], []]


def test_failures_of_upstreams_that_have_left_count_no_more() -> None:
    links = tracker()
    links.record_failure(upstream("a"), "no connection")
    links.discard([upstream("b")])
    links.record_failure(upstream("b"), "no connection")
    assert not links.is_unreached("plain")


def test_a_pool_not_reached_is_looked_for_though_its_upstreams_left() -> None:
    links = tracker()
    for name in ("a", "b"):
        links.record_failure(upstream(name), "no connection")
    links.discard([upstream("c")])
    assert links.is_unreached("plain")
    assert links.suspected_pools() == ["plain"]


def test_upstreams_that_close_new_connections_are_reached() -> None:
    links = tracker()
    for name in ("a", "b"):
        links.record_failure(upstream(name), "new connection broken")
    assert not links.is_unreached("plain")
    assert links.suspected_pools() == ["plain"]
