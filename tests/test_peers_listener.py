"""Messages that pile up at a busy host are read together."""

import asyncio
import time

from balsamlift._tasks import end_task
from balsamlift.metrics import Metrics
from balsamlift.peers._listener import Listener
from balsamlift.peers._messages import PeerMessage, encode_message
from balsamlift.peers._push_socket import PushSocket

DEADLINE_S = 20.0
MESSAGES = 100
TURN_S = 0.02  # of a starved event loop
MAX_TURNS = MESSAGES // 4


def message(seq: int) -> bytes:
    return encode_message(
        PeerMessage("h", "i", seq, 0, 0, False, "", 0, False, False)
    )


async def send_all(address: str) -> None:
    """Send more messages than are read in one turn of the event loop."""
    peer = PushSocket(address)
    for seq in range(MESSAGES):
        while not peer.send(message(seq)):
            await asyncio.sleep(0.001)


async def read_starved(listener: Listener) -> tuple[list[int], int]:
    """Return what is read, in order, and the turns that it takes."""
    read: list[int] = []
    turns = 0

    async def read_all() -> None:
        async for each in listener.messages(Metrics()):
            read.append(each.seq)

    task = asyncio.create_task(read_all())
    while len(read) < MESSAGES:
        time.sleep(TURN_S)
        turns += 1
        await asyncio.sleep(0)
    await end_task(task)
    return read, turns


def test_news_of_other_hosts_is_not_read_late_by_a_starved_host():
    async def check() -> None:
        listener = Listener("127.0.0.1:0")
        async with asyncio.timeout(DEADLINE_S):
            await send_all(listener.address)
            read, turns = await read_starved(listener)
        listener.close()
        assert read == list(range(MESSAGES))
        assert turns <= MAX_TURNS

    asyncio.run(check())
