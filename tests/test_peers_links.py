"""How often hosts send each other heartbeats."""

import asyncio
import random

import pytest

from balsamlift.clock import SystemClock
from balsamlift.peers._link import Draft, Link
from balsamlift.peers._links import MANY_HOSTS_STRETCH, Links
from balsamlift.settings import PeerSettings

FAN_OUT = 4
# Six heartbeats without one count as silence; with the stretch, nearly four.
SETTINGS = PeerSettings(heartbeat_ms=250, silence_ms=1_500, fan_out=FAN_OUT)


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
    heartbeat_ms = SETTINGS.heartbeat_ms * MANY_HOSTS_STRETCH
    assert SETTINGS.silence_ms >= 3 * heartbeat_ms
