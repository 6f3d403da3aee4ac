"""Client library: find a host, send a request and read its answer."""

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
    no_answer_outcome,
    outcome_of_status,
    verify_outcome,
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
SILENCE_MS = 3_500  # hosts send a heartbeat every second by default
TIMEOUT_MS = 3_000
PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
DEADLINE_MS = 120_000
UNKNOWN_RETRIES = 3


__all__ = [
    "Client",
    "NoHostError",
    "OnKey",
    "OnTokens",
    "Progress",
    "Request",
]


class NoHostError(BalsamliftError):
    """Raised when no host returned an address to use."""


class Client:
    """Send requests for generations and calls on behalf of one workspace.

    `addresses` are callers' addresses ("IP:port") of any hosts, from which
    the client learns others. If the outcome is "unknown" and the host says
    that a retry may tell more, the client asks for the same key again, up to
    `unknown_retries` times.
    """

    def __init__(
        self,
        addresses: list[str],
        *,
        workspace: str,
        token: str = "",
        failure_domain: str = "",
        clock: Clock | None = None,
        unknown_retries: int = UNKNOWN_RETRIES,
    ) -> None:
        """Store the workspace, its token and the first addresses."""
        self._initial_addresses = addresses
        self._workspace = workspace
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._domain = failure_domain
        self._clock = clock or SystemClock()
        self._unknown_retries = unknown_retries
        self._http = HttpClient()
        self._streams = StreamClient()
        self._hosts: list[HostAddress] = []
        self._hosts_expire_s = 0.0

    def close(self) -> None:
        """Close the connections."""
        self._http.close()
        self._streams.close()

    async def hosts(self) -> list[HostAddress]:
        """Return the hosts to use; fetch the list again once it has expired.

        Raises `NoHostError`.
        """
        if self._hosts and self._clock.monotonic() < self._hosts_expire_s:
            return self._hosts
        known = [p.address for p in self._hosts]
        for address in [
            *known,
            *random.sample(
                self._initial_addresses, len(self._initial_addresses)
            ),
        ]:
            with contextlib.suppress(CallError, msgspec.DecodeError):
                found = await self._fetch_hosts(address)
                if found.addresses:
                    self._store_hosts(found)
                    return self._hosts
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

        A refused request is attempted up to `attempts` times, each time after
        the delay in the refusal and under a new key, which is passed to
        `on_key`. So are idempotent requests that failed or whose outcome is
        unknown, as long as no token was received. Raises `NoHostError`.
        """
        for attempts_left in range(attempts - 1, -1, -1):
            progress = await self._begin(request, on_tokens)
            progress.on_key = on_key
            if on_key is not None:
                on_key(progress.key)
            outcome = await self._read_outcome(progress)
            if not attempts_left or not _may_retry(progress, outcome):
                return outcome
            pause_s = max(outcome.retry_after_ms or 0, 1) / 1_000
            await self._clock.sleep(pause_s)
        raise AssertionError("attempts must be positive")

    async def cancel(self, key: str, address: str) -> bool:
        """Cancel a request; return whether a host confirmed it."""
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
        place = (await self.hosts())[0]
        key = new_homed_key(place.key_prefix)
        return Progress(request, key, place, on_tokens)

    async def _read_outcome(self, progress: Progress) -> Outcome:
        """Read the answer; while its outcome is unknown, ask for it again."""
        deadline_ms = progress.request.deadline_ms or DEADLINE_MS
        deadline_s = self._clock.monotonic() + deadline_ms / 1_000
        outcome = await self._read_from_hosts(progress, deadline_s)
        for _ in range(self._unknown_retries):
            if outcome.outcome != UNKNOWN or outcome.retry_after_ms is None:
                break
            pause_s = outcome.retry_after_ms / 1_000
            if self._clock.monotonic() + pause_s > deadline_s:
                break
            await self._clock.sleep(pause_s)
            outcome = await self._read_from_hosts(progress, deadline_s)
        return outcome

    async def _read_from_hosts(
        self, progress: Progress, deadline_s: float
    ) -> Outcome:
        """Read from one host after another until an outcome is known."""
        pause_s = PAUSE_S
        place = progress.home
        while True:
            previous_index = progress.answer.next_index
            outcome = await self._try_host(progress, place)
            if outcome is not None:
                return outcome
            if progress.answer.next_index > previous_index:
                pause_s = PAUSE_S
            if self._clock.monotonic() > deadline_s:
                return no_answer_outcome(progress)
            await self._clock.sleep(pause_s * random.uniform(0.5, 1.0))
            pause_s = min(pause_s * 2, MAX_PAUSE_S)
            place = await self._next_place(progress, place)

    async def _try_host(
        self, progress: Progress, place: HostAddress
    ) -> Outcome | None:
        """Return the outcome reported by one host, or None."""
        try:
            return await self._read(progress, place)
        except StreamUnreachableError:
            await self._change_home(progress, place)
        except StreamStatusError as error:
            return outcome_of_status(progress, error)
        except (StreamError, FrameError):
            pass
        return None

    async def _change_home(
        self, progress: Progress, place: HostAddress
    ) -> None:
        """Move to another host under a new key if nothing was sent yet."""
        self._hosts_expire_s = 0.0
        self._hosts = [p for p in self._hosts if p != place]
        if progress.sent:
            return
        with contextlib.suppress(NoHostError):
            hosts = await self.hosts()
            # The list may still contain the unreachable host.
            others = [p for p in hosts if p != place]
            progress.replace_key((others or hosts)[0])

    async def _next_place(
        self, progress: Progress, last: HostAddress
    ) -> HostAddress:
        """Return the home if it was not tried last, otherwise another host."""
        if not progress.sent or last != progress.home:
            return progress.home
        try:
            hosts = await self.hosts()
        except NoHostError:
            return progress.home
        others = [p for p in hosts if p != last]
        return random.choice(others) if others else progress.home

    async def _read(self, progress: Progress, place: HostAddress) -> Outcome:
        stream = self._open(progress, place)
        progress.sent_before = progress.sent
        progress.sent = True
        try:
            async with contextlib.aclosing(stream.events()) as events:
                async for event in events:
                    if event.name == "token":
                        progress.append_tokens(event.decode(Tokens))
                    elif event.name == "start":
                        progress.accept_start(event.decode(Start))
                    elif event.name == "accepted":
                        progress.accepted = event.decode(Accepted)
                    elif event.name == "end":
                        return verify_outcome(progress, event.decode(Outcome))
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

    async def _fetch_hosts(self, address: str) -> Addresses:
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

    def _store_hosts(self, found: Addresses) -> None:
        self._hosts = found.addresses
        self._hosts_expire_s = self._clock.monotonic() + found.keep_ms / 1_000


def _may_retry(progress: Progress, outcome: Outcome) -> bool:
    if outcome.outcome == REFUSED:
        # A refusal without a retry time means that the request is invalid
        # or was cancelled.
        return outcome.retry_after_ms is not None
    ran = outcome.outcome in (UNKNOWN, FAILED)
    is_idempotent = progress.request.idempotent is True
    return ran and is_idempotent and not progress.answer.next_index
