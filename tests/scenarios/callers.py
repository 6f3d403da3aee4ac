"""Callers that use the client library, and what they were told."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from balsamlift.client import Client, Progress, Request
from balsamlift.exceptions import BalsamliftError
from balsamlift.requests import Addresses, HostAddress
from balsamlift.streams import Outcome, Stream
from scenarios.background import Background
from scenarios.links import TestLink

WORKSPACE = "conservation"


@attrs.define(eq=False)
class Call:
    """One request as its caller saw it."""

    kind: str
    request: Request
    length: int  # tokens that a whole answer has; 0 for services
    keys: list[str] = attrs.field(factory=list)  # under which bytes left
    tokens: list[str] = attrs.field(factory=list)
    progress: Progress | None = None
    outcome: Outcome | None = None
    tries: int = 0  # connections to hosts
    error: BalsamliftError | None = None
    done: bool = False

    @property
    def told(self) -> str:
        """Return the outcome that was told, empty while there is none."""
        if not self.done:
            return ""
        return self.outcome.outcome if self.outcome else "error"

    @property
    def upstream(self) -> str:
        assert self.progress is not None
        assert self.progress.start is not None
        return self.progress.start.upstream

    @property
    def generation(self) -> str:
        if self.progress is None or self.progress.start is None:
            return ""
        return self.progress.start.generation

    @property
    def home(self) -> str:
        """Return the name of the host that is home to the last key."""
        return self.keys[-1].split("~")[0]

    def take(self, tokens: list[str]) -> None:
        self.tokens.extend(tokens)


class RecordingClient(Client):
    """The client library, noting the keys that it sends.

    With `links` it reaches each host through a link of its own.
    """

    def __init__(
        self, addresses: list[str], call: Call, links: HostLinks | None
    ) -> None:
        super().__init__(addresses, workspace=WORKSPACE)
        self.call = call
        self._links = links

    async def run_recorded(self, call: Call) -> Call:
        """Run one call to its outcome."""
        self.call = call
        try:
            call.outcome = await self.run(call.request, call.take)
        except BalsamliftError as error:
            call.error = error
        finally:
            call.done = True
        return call

    async def _begin(self, *args: Any, **kwargs: Any) -> Progress:
        self.call.progress = await super()._begin(*args, **kwargs)
        return self.call.progress

    def _open(self, progress: Progress, place: HostAddress) -> Stream:
        self.call.tries += 1
        if progress.key not in self.call.keys:
            self.call.keys.append(progress.key)
        return super()._open(progress, place)

    async def _fetch_hosts(self, address: str) -> Addresses:
        found = await super()._fetch_hosts(address)
        if self._links is None:
            return found
        places = [await self._links.through(p) for p in found.addresses]
        return attrs.evolve(found, addresses=places)


class HostLinks:
    """Links between callers and hosts, made when first used."""

    def __init__(self, background: Background) -> None:
        self._background = background
        self.by_host: dict[str, TestLink] = {}

    async def through(self, place: HostAddress) -> HostAddress:
        """Return the place behind its link."""
        loop = asyncio.get_running_loop()
        link = self.by_host.get(place.host)
        if link is None or link.target != place.address:
            link = await loop.run_in_executor(
                None, TestLink, self._background, place.address
            )
            self.by_host[place.host] = link
        return attrs.evolve(place, address=link.address)


async def run_call(
    call: Call, addresses: list[str], links: HostLinks | None = None
) -> Call:
    """Run one call to its outcome."""
    client = RecordingClient(addresses, call, links)
    try:
        return await client.run_recorded(call)
    finally:
        client.close()


def make_call(kind: str, number: int, length: int = 0) -> Call:
    """Return a call that differs from all others of a scenario."""
    if kind in ("lookup", "refund"):
        payload = {"number": number, "kind": kind}
        return Call(kind, Request(kind=kind, payload=payload), 0)
    tokens = length or {"report": 150, "tag": 8}[kind]
    request = Request(
        kind=kind,
        prompt=f"[length={tokens}] {kind} {number}",
        seed=number,
        deadline_ms=60_000,
    )
    return Call(kind, request, tokens)
