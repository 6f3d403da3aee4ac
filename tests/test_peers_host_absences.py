"""Test what is known of hosts that are gone."""

from _manual_clock import ManualClock

from balsamlift.peers._host_absences import HostAbsences


def test_a_host_that_left_differs_from_one_that_fell_silent() -> None:
    """Logs of the others said "dead" of both."""
    absences = HostAbsences(ManualClock())
    for host, states in {"h1": ("live", "leaving"), "h2": ("live",)}.items():
        for state in states:
            absences.record(host, state)
    assert absences.record("h1", "dead") == "leaving"
    assert absences.record("h2", "dead") == "live"
    assert set(absences.dead) == {"h1", "h2"}
    assert absences.record("h1", "live") == "dead"
    assert set(absences.dead) == {"h2"}


def test_a_host_that_is_dead_for_long_is_forgotten() -> None:
    clock = ManualClock()
    absences = HostAbsences(clock)
    absences.record("h1", "dead")
    clock.now_s = 10.0
    assert absences.expired(10.0) == []
    clock.now_s = 10.1
    assert absences.expired(10.0) == ["h1"]
    assert absences.record("h1", "live") == ""
