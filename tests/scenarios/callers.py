"""Callers that use the client library, and the outcomes they received."""

from __future__ import annotations

import asyncio
from typing import Any

import attrs

from balsamlift.client import Client, Progress, Request
from balsamlift.exceptions import BalsamliftError
from balsamlift.requests import Addresses, HostAddress
from balsamlift.streams import Outcome, Stream
from scenarios.background import BackgroundLoop
from scenarios.links import TestLink

WORKSPACE = "conservation"


@attrs.define(eq=False)
class Call:
    """One request and all that its caller received for it."""

    kind: str
    request: Request
    length: int  # tokens of a complete answer; 0 for services
    keys: list[str] = attrs.field(factory=list)  # every key that was sent
    tokens: list[str] = attrs.field(factory=list)
    progress: Progress | None = None
    outcome: Outcome | None = None
    connection_attempts: int = 0  # to hosts
    error: BalsamliftError | None = None
    done: bool = False

    @property
    def reported_outcome(self) -> str:
        """Return the outcome the caller received, empty until there is one."""
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
        """Return the name of the home host of the last key."""
        return self.keys[-1].split("~")[0]

    def add_tokens(self, tokens: list[str]) -> None:
        self.tokens.extend(tokens)


class RecordingClient(Client):
    """A client that records the keys and connections of its calls.

    With `links`, it reaches each host through that host's own link.
    """

    def __init__(
        self, addresses: list[str], call: Call, links: HostLinks | None
    ) -> None:
        super().__init__(addresses, workspace=WORKSPACE)
        self.call = call
        self._links = links

    async def run_recorded(self, call: Call) -> Call:
        """Run one call and record its outcome or error."""
        self.call = call
        try:
            call.outcome = await self.run(call.request, call.add_tokens)
        except BalsamliftError as error:
            call.error = error
        finally:
            call.done = True
        return call

    async def _begin(self, *args: Any, **kwargs: Any) -> Progress:
        self.call.progress = await super()._begin(*args, **kwargs)
        return self.call.progress

    def _open(self, progress: Progress, place: HostAddress) -> Stream:
        self.call.connection_attempts += 1
        if progress.key not in self.call.keys:
            self.call.keys.append(progress.key)
        return super()._open(progress, place)

    async def _fetch_hosts(self, address: str) -> Addresses:
        answer = await super()._fetch_hosts(address)
        if self._links is None:
            return answer
        places = [await self._links.reroute(p) for p in answer.addresses]
        return attrs.evolve(answer, addresses=places)


class HostLinks:
    """Links between callers and hosts, created on first use."""

    def __init__(self, background: BackgroundLoop) -> None:
        self._background = background
        self.by_host: dict[str, TestLink] = {}

    async def reroute(self, place: HostAddress) -> HostAddress:
        """Return `place` with the address of its link."""
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
    """Run one call with a client of its own."""
    client = RecordingClient(addresses, call, links)
    try:
        return await client.run_recorded(call)
    finally:
        client.close()


def make_call(kind: str, number: int, length: int = 0) -> Call:
    """Return a call whose content is unique within a scenario."""
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
