"""Permits for requests to upstreams that name a rate limit.

For each such upstream one host grants the permits, so that the requests of
all hosts together stay within the limit and none of it is tied up at a host
that has no requests. Without an answer of that host there is no permit.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from typing import Protocol

import attrs
import pynng
from loguru import logger

from balsamlift.clock import Clock
from balsamlift.exceptions import PeerMessageError
from balsamlift.metrics import Metrics
from balsamlift.peers._host_ranks import first_host
from balsamlift.peers._host_shares import StartupPause, live_share
from balsamlift.peers._messages import (
    PermitAnswer,
    PermitRequest,
    decode_permit_answer,
    encode_permit,
)
from balsamlift.peers._permit_bucket import PermitBucket
from balsamlift.peers._rate_limits import RateLimits
from balsamlift.peers._request_socket import RequestSocket

log = logger.bind(part="peers")

ANSWER_TIMEOUT_MS = 80
# A host that did not answer is not asked again for this long.
AVOID_TIME_S = 0.3
# A host that has just started does not know the others yet and would grant
# permits to itself.
STARTUP_S = 1.5
# Retry of a host that is refused because the granting host is not known to
# all, or has just started.
UNSETTLED_WAIT_MS = 250
_MS_PER_S = 1_000


@attrs.frozen
class Permit:
    """Whether a request may be sent to an upstream."""

    is_granted: bool
    # Granted: until it may be sent. Denied: until it may be granted.
    wait_s: float = 0.0


GRANTED = Permit(is_granted=True)


class Transport(Protocol):
    """Asks other hosts for permits."""

    async def ask(
        self, address: str, request: PermitRequest
    ) -> PermitAnswer | None:
        """Return the answer of a host, or None if there was none in time."""

    def close(self) -> None:
        """Close all connections."""


@attrs.frozen
class GrantingHosts:
    """The hosts that may grant permits, with their addresses."""

    own: str
    addresses: dict[str, str]  # of the live hosts, by name
    known: int  # hosts, also silent ones

    def share(self, limit_per_s: float) -> float:
        """Return the part of a limit for which the live hosts get permits."""
        return live_share(limit_per_s, len(self.addresses), self.known)


class Permits:
    """Request permits from the granting hosts, and grant them as one."""

    def __init__(
        self,
        limits: RateLimits,
        hosts: Callable[[], GrantingHosts],
        transport: Transport,
        clock: Clock,
    ) -> None:
        """Grant permits for `limits`; `hosts` returns the live hosts."""
        self._limits = limits
        self._hosts = hosts
        self._transport = transport
        self._clock = clock
        self._startup = StartupPause(clock, STARTUP_S)
        self._buckets: dict[str, PermitBucket] = {}
        self._denied_until_s: dict[str, float] = {}  # by upstream
        self._avoided_until_s: dict[str, float] = {}  # by host
        self._refused: Counter[str] = Counter()  # by upstream, not logged yet
        self._metrics = Metrics()

    def start(self, metrics: Metrics) -> None:
        """Count permits in `metrics`."""
        self._metrics = metrics

    def close(self) -> None:
        """Close the connections to other hosts."""
        self._transport.close()

    def is_limited(self, upstream: str) -> bool:
        """Return whether requests to an upstream need a permit."""
        return self._limits.find(upstream) is not None

    def limited(self) -> frozenset[str]:
        """Return the upstreams that name a limit."""
        return self._limits.limited()

    async def acquire(
        self,
        upstream: str,
        *,
        max_wait_s: float = 0.0,
        is_resumed: bool = False,
    ) -> Permit:
        """Return a permit to send one request, or the time until there is one.

        `max_wait_s` is how long the request can wait before it is sent.
        Resumed generations come first.
        """
        report = self._limits.report(upstream)
        if report is None or report.limit_per_s is None:
            return GRANTED
        now_s = self._clock.monotonic()
        denied_for_s = self._denied_until_s.get(upstream, 0.0) - now_s
        if denied_for_s > max_wait_s and not is_resumed:
            return Permit(is_granted=False, wait_s=denied_for_s)
        request = PermitRequest(
            report, int(max_wait_s * _MS_PER_S), is_resumed=is_resumed
        )
        permit = await self._ask_granting_host(request)
        outcome = "granted" if permit.is_granted else "denied"
        self._metrics.count(f"relay.permits_{outcome}")
        if not permit.is_granted:
            until_s = self._clock.monotonic() + permit.wait_s
            self._denied_until_s[upstream] = until_s
        return permit

    async def reserve_return(self, upstream: str) -> float:
        """Return after how many seconds a refused caller is to come back.

        Each caller is given a time of its own, at the rate of the permits.
        """
        report = self._limits.report(upstream)
        if report is None or report.limit_per_s is None:
            return 0.0
        self._refused[upstream] += 1
        request = PermitRequest(report, reserves_return=True)
        permit = await self._ask_granting_host(request)
        return permit.wait_s

    def grant(self, request: PermitRequest) -> PermitAnswer:
        """Answer the request of a host for a permit."""
        upstream = request.limit.upstream
        self._limits.add([request.limit])
        named = self._limits.find(upstream)
        if named is None or named.limit_per_s is None:
            return PermitAnswer(is_granted=True, wait_ms=0)
        hosts = self._hosts()
        now_s = self._clock.monotonic()
        is_first = first_host(hosts.addresses, upstream) == hosts.own
        if not self._startup.is_over or not is_first:
            return PermitAnswer(is_granted=False, wait_ms=UNSETTLED_WAIT_MS)
        bucket = self._buckets.setdefault(upstream, PermitBucket(now_s))
        bucket.set_rate(hosts.share(named.limit_per_s), now_s)
        return _answer_from(bucket, request, now_s)

    def prune(self, live: Collection[str]) -> None:
        """Log refusals and discard what is not `live`; called every second."""
        self._log_refused()
        self._limits.prune(live)
        now_s = self._clock.monotonic()
        for upstream in list(self._buckets):
            if not self.is_limited(upstream):
                del self._buckets[upstream]
        for table in (self._denied_until_s, self._avoided_until_s):
            for name, until_s in list(table.items()):
                if until_s <= now_s:
                    del table[name]

    def _log_refused(self) -> None:
        """Log the refused callers of each upstream in one line."""
        for upstream, callers in self._refused.items():
            named = self._limits.find(upstream)
            if named is None:
                continue
            age_s = self._clock.monotonic() - named.evidence_s
            log.bind(
                upstream=upstream,
                callers=callers,
                limit_per_s=named.limit_per_s,
                source=named.source,
                age_ms=round(age_s * _MS_PER_S),
                live_fraction=round(self._hosts().share(1.0), 3),
            ).info("callers refused by a rate limit")
        self._refused.clear()

    async def _ask_granting_host(self, request: PermitRequest) -> Permit:
        hosts = self._hosts()
        name = first_host(hosts.addresses, request.limit.upstream)
        if name == hosts.own:
            return _decode(self.grant(request))
        now_s = self._clock.monotonic()
        avoided_for_s = self._avoided_until_s.get(name, 0.0) - now_s
        if avoided_for_s <= 0:
            answer = await self._transport.ask(hosts.addresses[name], request)
            if answer is not None:
                return _decode(answer)
            self._metrics.count("relay.permits_unanswered")
            avoided_for_s = AVOID_TIME_S
            self._avoided_until_s[name] = (
                self._clock.monotonic() + avoided_for_s
            )
        return Permit(is_granted=False, wait_s=avoided_for_s)


def _decode(answer: PermitAnswer) -> Permit:
    return Permit(answer.is_granted, answer.wait_ms / _MS_PER_S)


def _answer_from(
    bucket: PermitBucket, request: PermitRequest, now_s: float
) -> PermitAnswer:
    if request.reserves_return:
        wait_s = bucket.reserve_return(now_s)
        return PermitAnswer(is_granted=False, wait_ms=_round_up_ms(wait_s))
    if request.is_resumed and bucket.take_resumed(now_s):
        return PermitAnswer(is_granted=True, wait_ms=0)
    granted_s = bucket.take(now_s, request.max_wait_ms / _MS_PER_S)
    wait_s = bucket.next_wait_s(now_s) if granted_s is None else granted_s
    return PermitAnswer(granted_s is not None, _round_up_ms(wait_s))


def _round_up_ms(wait_s: float) -> int:
    return int(wait_s * _MS_PER_S) + 1 if wait_s > 0 else 0


class SocketTransport:
    """Ask other hosts at the addresses at which they aggregate counts."""

    def __init__(self) -> None:
        """Start without a connection."""
        self._sockets: dict[str, RequestSocket] = {}

    async def ask(
        self, address: str, request: PermitRequest
    ) -> PermitAnswer | None:
        """Return the answer of a host, or None if there was none in time."""
        socket = self._sockets.get(address)
        if socket is None:
            socket = RequestSocket(ANSWER_TIMEOUT_MS)
            self._sockets[address] = socket
        try:
            return decode_permit_answer(
                await socket.ask(address, encode_permit(request))
            )
        except (pynng.NNGException, PeerMessageError) as error:
            log.bind(address=address, upstream=request.limit.upstream).info(
                "no answer to a permit request: {}", error
            )
            return None

    def close(self) -> None:
        """Close all connections."""
        for socket in self._sockets.values():
            socket.close()
        self._sockets.clear()
