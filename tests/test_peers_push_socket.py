"""Sockets of links: none is used once its connection has closed."""

import asyncio
import random
import time
from collections.abc import Callable

import pynng
from test_peers_links import EMPTY_HEARTBEAT

from balsamlift.clock import SystemClock
from balsamlift.metrics import Metrics
from balsamlift.peers._link import Draft, Link, SentChanges
from balsamlift.peers._push_socket import PushSocket
from balsamlift.settings import PeerSettings

DEADLINE_S = 10.0
POLL_S = 0.005


def until(is_true: Callable[[], bool]) -> None:
    ends_s = time.monotonic() + DEADLINE_S
    while not is_true():
        assert time.monotonic() < ends_s
        time.sleep(POLL_S)


async def until_in_loop(is_true: Callable[[], bool]) -> None:
    async with asyncio.timeout(DEADLINE_S):
        while not is_true():
            await asyncio.sleep(POLL_S)


def listen(url: str = "tcp://127.0.0.1:0") -> tuple[pynng.Pull0, str]:
    pull = pynng.Pull0(recv_timeout=int(DEADLINE_S * 1_000))
    listener = pull.listen(url)
    return pull, listener.url


def dial(url: str) -> PushSocket:
    return PushSocket(url.removeprefix("tcp://"))


def test_a_socket_is_not_used_after_its_connection_has_closed() -> None:
    pull, url = listen()
    push = dial(url)
    until(lambda: push.send(b"first"))
    assert pull.recv() == b"first"
    pull.close()
    until(lambda: push.is_lost)
    assert not push.send(b"lost")
    push.close()


def test_a_socket_is_kept_while_nothing_listens_yet() -> None:
    pull, url = listen()
    pull.close()
    push = dial(url)
    push.send(b"first")
    assert not push.is_lost
    pull, _ = listen(url)
    assert pull.recv() == b"first"
    push.close()
    pull.close()


def test_a_link_sends_everything_anew_after_a_lost_connection() -> None:
    async def scenario() -> None:
        sent: list[SentChanges] = []

        def compose(link: Link) -> Draft:
            sent.append(link.sent_changes)
            return Draft(EMPTY_HEARTBEAT, SentChanges(counts=len(sent)))

        pull, url = listen()
        settings = PeerSettings(heartbeat_ms=20, silence_ms=60_000)
        link = Link(
            "h1",
            url.removeprefix("tcp://"),
            settings,
            SystemClock(),
            random.Random(1),
            Metrics(),
            compose,
            on_silence=lambda _: None,
            interval_factor=lambda: 1.0,
        )
        link.start()
        await until_in_loop(lambda: len(sent) > 2)
        assert sent[-1].any_sent
        pull.close()
        del sent[:]
        await until_in_loop(lambda: not all(s.any_sent for s in sent))
        pull, _ = listen(url)
        assert await pull.arecv()
        await link.stop()
        pull.close()

    asyncio.run(scenario())
