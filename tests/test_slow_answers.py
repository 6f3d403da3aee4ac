"""Large answers may take longer than the silence limit.

Guards against a timeout for the complete transfer of answers of unbounded
size: the list of hosts, the fold of a peer and the log of presets.
"""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

import balsamlift.presets._peer_state_fetcher as peer_state_fetcher_module
from balsamlift._http import HttpClient
from balsamlift.clock import SystemClock
from balsamlift.kernel import Kernel
from balsamlift.peers._hosts_list import HostsList
from balsamlift.presets._log import LogClient
from balsamlift.presets._peer_state_fetcher import (
    PeerStateFetcher,
    encode_state,
)
from balsamlift.presets._state import AcceptedSwitch, FoldState

SILENCE_MS = 300
CHUNKS = 10
DURATION_S = 0.9
DEADLINE_S = 20.0

Read = Callable[[str, HttpClient], Awaitable[object]]


class SlowHandler(RequestHandler):
    """Send a body in chunks, with pauses below the silence limit."""

    def initialize(self, body: bytes) -> None:
        self._body = body

    async def get(self) -> None:
        size = -(-len(self._body) // CHUNKS)
        for start in range(0, len(self._body), size):
            await asyncio.sleep(DURATION_S / CHUNKS)
            self.write(self._body[start : start + size])
            await self.flush()


async def read_hosts(address: str, http: HttpClient) -> object:
    return await HostsList(http, address, SILENCE_MS).read()


async def read_fold(address: str, http: HttpClient) -> object:
    class Peer:
        host, operators_address, offset = "h-1", address, 9

    fetcher = PeerStateFetcher(Kernel(), http, random.Random(1))
    return await fetcher._fetch_from(Peer(), 0)


async def read_log(address: str, http: HttpClient) -> object:
    log = LogClient(address, SILENCE_MS, SystemClock(), http)
    return await log.read(0)


def encode_padded(body: object) -> bytes:
    """Return JSON padded to 60,000 bytes."""
    return json.dumps(body).encode().ljust(60_000)


HOSTS = {"hosts": [{"name": "h-1", "role": "entry"}]}
FOLD = FoldState(
    history=[AcceptedSwitch(n, "name", n, n, n) for n in range(3_000)]
)
BODIES = {
    "/v1/hosts": encode_padded(HOSTS),
    "/v1/peer/fold": encode_state(FOLD),
    "/v1/log/read": encode_padded({"earliest": 0, "next": 0, "records": []}),
}


@pytest.mark.parametrize("read", [read_hosts, read_fold, read_log])
def test_a_large_answer_may_take_longer_than_the_silence_limit(
    read: Read, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(peer_state_fetcher_module, "SILENCE_MS", SILENCE_MS)

    async def main() -> None:
        routes = [
            (path, SlowHandler, {"body": body})
            for path, body in BODIES.items()
        ]
        server = HTTPServer(Application(routes))
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        http = HttpClient(max_calls=2)
        async with asyncio.timeout(DEADLINE_S):
            assert await read(address, http) is not None
        http.close()
        server.stop()
        await server.close_all_connections()

    asyncio.run(main())
