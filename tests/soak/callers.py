"""Callers who ask where to connect, keep connections and note answers."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import Callable, Sequence

import attrs

from balsamlift.platform._names import ADDRESSES_PATH, HEADERS
from balsamlift.testing.relay import read_answer
from soak.configuration import KEY, SERVED_HOST
from soak.hosts import Host
from soak.promises import Promises, Told

DEADLINE_MS = 3_000
PATHS = {"idempotent": "/view/", "non_idempotent": "/order/"}
STREAM_PATH = "/draft/"
LONGEST_REST_S = 0.1
REQUESTS_A_CONNECTION = 6
CONNECT_S = 1.0


@attrs.frozen
class Ask:
    """Hold one request before it is sent."""

    request_id: str
    kind: str

    @property
    def is_idempotent(self) -> bool:
        """Tell whether it may run more than once."""
        return self.kind == "idempotent"

    def data(self, key: str, path: str = "") -> bytes:
        """Return the request as bytes."""
        method = "GET" if self.is_idempotent else "POST"
        path = path or PATHS.get(self.kind, STREAM_PATH) + self.request_id
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {SERVED_HOST}",
            f"{HEADERS.request_id}: {self.request_id}",
            f"{HEADERS.deadline_ms}: {DEADLINE_MS}",
            f"{HEADERS.token_usage}: 1000,150",
            f"Authorization: Token {key}",
            "Content-Length: 0",
        ]
        return "\r\n".join([*lines, "", ""]).encode()


async def send(
    ask: Ask,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    key: str = KEY,
    path: str = "",
) -> tuple[Told, bool]:
    """Make one request; tell also whether the connection goes on."""
    told = Told(
        request_id=ask.request_id,
        is_stream=ask.kind == "stream",
        is_idempotent=ask.is_idempotent,
        status=0,
    )
    try:
        async with asyncio.timeout(DEADLINE_MS / 1_000 + 1.0):
            writer.write(ask.data(key, path))
            answer = await read_answer(reader)
    except (OSError, EOFError, TimeoutError):
        return told, False
    told = attrs.evolve(
        told,
        status=answer.status,
        signature=answer.headers.get(HEADERS.signature, ""),
        body=answer.body,
        is_whole=answer.is_whole,
    )
    closes = answer.headers.get("Connection", "").lower() == "close"
    return told, answer.is_whole and not closes


class Callers:
    """Keep some callers busy."""

    def __init__(
        self,
        hosts: Sequence[Host],
        promises: Promises,
        rng: random.Random,
        on_cut: Callable[[str], None],
    ) -> None:
        """Call `on_cut` where a request that was read got no answer."""
        self._hosts = hosts
        self._promises = promises
        self._random = rng
        self._on_cut = on_cut
        self._numbers = itertools.count()
        self._stopped = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, number: int) -> None:
        """Begin with some callers."""
        self._tasks = [
            asyncio.create_task(self._keep_calling()) for _ in range(number)
        ]

    async def stop(self) -> None:
        """Let each caller end what it has begun."""
        self._stopped = True
        await asyncio.gather(*self._tasks)

    def ask(self) -> Ask:
        """Draw a request."""
        kind = self._random.choice(["idempotent", "non_idempotent", "stream"])
        return Ask(f"r{next(self._numbers)}", kind)

    async def _keep_calling(self) -> None:
        while not self._stopped:
            address = await self._find()
            if not address:
                await asyncio.sleep(LONGEST_REST_S)
                continue
            try:
                async with asyncio.timeout(CONNECT_S):
                    reader, writer = await asyncio.open_connection(*address)
            except (OSError, TimeoutError):
                continue
            await self._call(reader, writer)
            writer.close()

    async def _call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for number in range(REQUESTS_A_CONNECTION):
            if self._stopped:
                return
            ask = self.ask()
            self._promises.asked(
                ask.request_id, is_idempotent=ask.is_idempotent
            )
            told, goes_on = await send(ask, reader, writer)
            self._promises.tell(told)
            # A request may cross the close of a kept connection.
            if not told.is_whole and (number == 0 or told.status):
                self._on_cut(ask.request_id)
            if not goes_on:
                return
            await asyncio.sleep(self._random.uniform(0, LONGEST_REST_S))

    async def _find(self) -> tuple[str, int] | None:
        """Ask any host where to connect."""
        host = self._random.choice(self._hosts)
        ip, port = host.address("Directory").split(":")
        path = f"{ADDRESSES_PATH}?Name={SERVED_HOST}&Zone={host.domain}"
        head = f"GET {path} HTTP/1.1\r\nHost: {ip}\r\n\r\n"
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(head.encode())
                answer = await read_answer(reader)
                writer.close()
            found = json.loads(answer.body)["Addresses"]
        except (OSError, EOFError, TimeoutError, ValueError, KeyError):
            return None
        ip, port = self._random.choice(found).split(":")
        return ip, int(port)
