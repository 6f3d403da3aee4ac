"""The caller's side: find a host, ask, read the answer, come back."""

from __future__ import annotations

import contextlib
import random
from urllib.parse import quote, urlencode

import attrs
import msgspec

from balsamlift._http import CallError, HttpClient
from balsamlift._progress import (
    OnKey,
    OnTokens,
    Progress,
    Request,
    checked,
    lost,
    status_outcome,
)
from balsamlift.clock import Clock, SystemClock
from balsamlift.exceptions import BalsamliftError
from balsamlift.requests import (
    Addresses,
    HostAddress,
    RequestBody,
    new_homed_key,
)
from balsamlift.streams import (
    FAILED,
    REFUSED,
    UNKNOWN,
    Accepted,
    FrameError,
    Outcome,
    Start,
    Stream,
    StreamClient,
    StreamError,
    StreamInterruptedError,
    StreamStatusError,
    StreamUnreachableError,
    Tokens,
)

CONNECT_MS = 1_000
SILENCE_MS = 3_500  # hosts send a heartbeat every second
TIMEOUT_MS = 3_000
PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
DEADLINE_MS = 120_000
ASK_AGAIN = 3


__all__ = [
    "Client",
    "NoHostError",
    "OnKey",
    "OnTokens",
    "Progress",
    "Request",
]


class NoHostError(BalsamliftError):
    """Tell that no host gave an address to use."""


class Client:
    """Ask for generations and calls on behalf of one workspace.

    `addresses` are callers' addresses of any hosts, "IP:port"; more are
    learned from them. Where a host says that asking again may tell more
    than "unknown", the same key is asked for `ask_again` times more.
    """

    def __init__(
        self,
        addresses: list[str],
        *,
        workspace: str,
        token: str = "",
        failure_domain: str = "",
        clock: Clock | None = None,
        ask_again: int = ASK_AGAIN,
    ) -> None:
        """Keep who asks and where to begin."""
        self._seeds = addresses
        self._workspace = workspace
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._domain = failure_domain
        self._clock = clock or SystemClock()
        self._ask_again = ask_again
        self._http = HttpClient()
        self._streams = StreamClient()
        self._places: list[HostAddress] = []
        self._keep_until_s = 0.0

    def close(self) -> None:
        """Close the connections."""
        self._http.close()
        self._streams.close()

    async def places(self) -> list[HostAddress]:
        """Return the hosts to use, asked for again once the list is old.

        Raises `NoHostError`.
        """
        if self._places and self._clock.monotonic() < self._keep_until_s:
            return self._places
        known = [p.address for p in self._places]
        for address in [*known, *random.sample(self._seeds, len(self._seeds))]:
            with contextlib.suppress(CallError, msgspec.DecodeError):
                found = await self._ask_places(address)
                if found.addresses:
                    self._keep(found)
                    return self._places
        raise NoHostError("no host gave an address")

    async def run(
        self,
        request: Request,
        on_tokens: OnTokens | None = None,
        *,
        on_key: OnKey | None = None,
        attempts: int = 1,
    ) -> Outcome:
        """Run one request to its outcome.

        Refused requests are tried `attempts` times in all, each when the
        refusal says and under a new key, which `on_key` is told; idempotent
        ones of unknown fate too, as long as no token came. Raises
        `NoHostError`.
        """
        for left in range(attempts - 1, -1, -1):
            progress = await self._begin(request, on_tokens)
            progress.on_key = on_key
            if on_key is not None:
                on_key(progress.key)
            outcome = await self._follow(progress)
            if not left or not _may_repeat(progress, outcome):
                return outcome
            pause_s = max(outcome.retry_after_ms or 0, 1) / 1_000
            await self._clock.sleep(pause_s)
        raise AssertionError("attempts must be positive")

    async def cancel(self, key: str, address: str) -> bool:
        """Cancel a request; return whether a host said it has."""
        query = urlencode({"workspace": self._workspace})
        url = f"http://{address}/v1/requests/{quote(key)}?{query}"
        try:
            answer = await self._http.call(
                "DELETE", url, timeout_ms=TIMEOUT_MS, headers=self._headers
            )
        except CallError:
            return False
        return answer.status == 200

    async def _begin(
        self, request: Request, on_tokens: OnTokens | None
    ) -> Progress:
        place = (await self.places())[0]
        key = new_homed_key(place.key_prefix)
        return Progress(request, key, place, on_tokens)

    async def _follow(self, progress: Progress) -> Outcome:
        """Follow the answer; ask again where that may tell more."""
        deadline_ms = progress.request.deadline_ms or DEADLINE_MS
        ends_s = self._clock.monotonic() + deadline_ms / 1_000
        outcome = await self._follow_once(progress, ends_s)
        for _ in range(self._ask_again):
            if outcome.outcome != UNKNOWN or outcome.retry_after_ms is None:
                break
            pause_s = outcome.retry_after_ms / 1_000
            if self._clock.monotonic() + pause_s > ends_s:
                break
            await self._clock.sleep(pause_s)
            outcome = await self._follow_once(progress, ends_s)
        return outcome

    async def _follow_once(self, progress: Progress, ends_s: float) -> Outcome:
        """Read from one host after another until an outcome is told."""
        pause_s = PAUSE_S
        place = progress.place
        while True:
            before = progress.answer.next_index
            outcome = await self._try(progress, place)
            if outcome is not None:
                return outcome
            if progress.answer.next_index > before:
                pause_s = PAUSE_S
            if self._clock.monotonic() > ends_s:
                return lost(progress)
            await self._clock.sleep(pause_s * random.uniform(0.5, 1.0))
            pause_s = min(pause_s * 2, MAX_PAUSE_S)
            place = await self._next_place(progress, place)

    async def _try(
        self, progress: Progress, place: HostAddress
    ) -> Outcome | None:
        """Return the outcome that one host tells, if it does."""
        try:
            return await self._read(progress, place)
        except StreamUnreachableError:
            await self._rehome(progress, place)
        except StreamStatusError as error:
            return status_outcome(progress, error)
        except (StreamError, FrameError):
            pass
        return None

    async def _rehome(self, progress: Progress, place: HostAddress) -> None:
        """Draw a new key elsewhere when not a byte of the old one left."""
        self._keep_until_s = 0.0
        self._places = [p for p in self._places if p != place]
        if progress.sent:
            return
        with contextlib.suppress(NoHostError):
            places = await self.places()
            # The list may still name the host that was not reached.
            others = [p for p in places if p != place]
            progress.draw_key((others or places)[0])

    async def _next_place(
        self, progress: Progress, last: HostAddress
    ) -> HostAddress:
        """Return the home if it was not the last tried, or another."""
        if not progress.sent or last != progress.place:
            return progress.place
        try:
            places = await self.places()
        except NoHostError:
            return progress.place
        others = [p for p in places if p != last]
        return random.choice(others) if others else progress.place

    async def _read(self, progress: Progress, place: HostAddress) -> Outcome:
        stream = self._open(progress, place)
        progress.sent_before = progress.sent
        progress.sent = True
        try:
            async with contextlib.aclosing(stream.events()) as events:
                async for event in events:
                    if event.name == "token":
                        progress.take_tokens(event.decode(Tokens))
                    elif event.name == "start":
                        progress.take_start(event.decode(Start))
                    elif event.name == "accepted":
                        progress.accepted = event.decode(Accepted)
                    elif event.name == "end":
                        return checked(progress, event.decode(Outcome))
        except StreamUnreachableError:
            progress.sent = progress.sent_before
            raise
        raise StreamInterruptedError("ended without an end")

    def _open(self, progress: Progress, place: HostAddress) -> Stream:
        url = f"http://{place.address}/v1/requests"
        body: RequestBody | None = None
        if progress.accepted is None:
            body = RequestBody(
                key=progress.key,
                workspace=self._workspace,
                **attrs.asdict(progress.request, recurse=False),
            )
        else:
            url += f"/{quote(progress.key)}?{self._resume_query(progress)}"
        return self._streams.open(
            "POST" if body is not None else "GET",
            url,
            body,
            connect_ms=CONNECT_MS,
            silence_ms=SILENCE_MS,
            headers=self._headers,
        )

    def _resume_query(self, progress: Progress) -> str:
        query = {
            "workspace": self._workspace,
            "from": str(progress.answer.next_index),
        }
        if progress.start is not None:
            query["upstream"] = progress.start.upstream
            query["generation"] = progress.start.generation
        return urlencode(query)

    async def _ask_places(self, address: str) -> Addresses:
        query = {"workspace": self._workspace}
        if self._domain:
            query["failure_domain"] = self._domain
        answer = await self._http.call(
            "GET",
            f"http://{address}/v1/addresses?{urlencode(query)}",
            timeout_ms=TIMEOUT_MS,
            connect_ms=CONNECT_MS,
            fresh=True,
        )
        return answer.decode(Addresses)

    def _keep(self, found: Addresses) -> None:
        self._places = found.addresses
        self._keep_until_s = self._clock.monotonic() + found.keep_ms / 1_000


def _may_repeat(progress: Progress, outcome: Outcome) -> bool:
    if outcome.outcome == REFUSED:
        # Without a time to come back it is the request that is wrong, or
        # was cancelled.
        return outcome.retry_after_ms is not None
    ran = outcome.outcome in (UNKNOWN, FAILED)
    safe = progress.request.idempotent is True
    return ran and safe and not progress.answer.next_index
