"""How often hosts send each other heartbeats."""

import asyncio
import random

import pytest

from balsamlift.clock import SystemClock
from balsamlift.peers._link import Draft, Link
from balsamlift.peers._links import MANY_HOSTS_STRETCH, Links
from balsamlift.platform._settings import FAN_OUT, HEARTBEAT_MS, SILENCE_MS
from balsamlift.settings import PeerSettings

SETTINGS = PeerSettings(
    heartbeat_ms=HEARTBEAT_MS, silence_ms=SILENCE_MS, fan_out=FAN_OUT
)


async def stretches(hosts: int) -> set[float]:
    """Return how far apart heartbeats to so many other hosts come."""

    def compose(link: Link) -> Draft:
        raise AssertionError(f"{link.host}: no link sends in this test")

    def silent(host: str) -> None:
        raise AssertionError(f"{host}: nobody is heard in this test")

    clock = SystemClock()
    links = Links(SETTINGS, clock, random.Random(7), compose, silent)
    addresses = {f"h{n}": f"127.0.0.1:{9_000 + n}" for n in range(hosts)}
    await links.refresh(addresses, [], set())
    found = {link._stretch() for link in links._links.values()}
    await links.stop()
    return found


@pytest.mark.parametrize(
    ("hosts", "expected"),
    [
        (1, 1.0),
        (FAN_OUT, 1.0),
        (FAN_OUT + 1, MANY_HOSTS_STRETCH),
        (40, MANY_HOSTS_STRETCH),
    ],
)
def test_heartbeats_between_many_hosts_are_rarer(
    hosts: int, expected: float
) -> None:
    assert asyncio.run(stretches(hosts)) == {expected}


def test_rarer_heartbeats_leave_room_for_a_lost_one() -> None:
    """Silence is judged after some three and a half of them."""
    assert SILENCE_MS >= 3 * HEARTBEAT_MS * MANY_HOSTS_STRETCH
