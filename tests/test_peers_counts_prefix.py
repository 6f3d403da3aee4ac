"""Counts of other hosts by the prefix of their keys."""

from balsamlift.peers._counts import PeerCounts


def test_counts_under_a_prefix_are_summed_over_hosts() -> None:
    counts = PeerCounts()
    counts.update("a", {"p/waiting": 5, "p/waiting/0/w": 5}, full=True)
    counts.update("b", {"p/waiting/0/w": 2, "p/waiting/1/x/y": 3}, full=True)
    assert counts.totals_under("p/waiting/") == {
        "p/waiting/0/w": 7,
        "p/waiting/1/x/y": 3,
    }
    counts.drop("b")
    assert counts.totals_under("p/waiting/") == {"p/waiting/0/w": 5}
