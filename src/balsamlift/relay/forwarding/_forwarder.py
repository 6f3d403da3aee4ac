"""Forward a request to a host that reaches the upstreams it is for.

The other host treats it like a request of a caller of its own, but never
forwards it again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable, Sequence

import attrs
from loguru import logger

from balsamlift.clock import Clock
from balsamlift.exceptions import (
    UpstreamBrokenError,
    UpstreamUnreachableError,
)
from balsamlift.metrics import Metrics
from balsamlift.peers import Peer, Peers, Upstreams
from balsamlift.relay._attempt import Attempt
from balsamlift.relay._connection import ResponseHead, UpstreamConnection
from balsamlift.relay._header_names import (
    ANSWERED_BY_HEADER,
    UNREACHED_HEADER,
    HeaderNames,
)
from balsamlift.relay._headers import is_signed
from balsamlift.relay._pool import ConnectionPool
from balsamlift.relay._refusals import NOT_RUN_STATUSES, give_up
from balsamlift.relay._request import (
    Call,
    Outcome,
    Refusal,
    Responder,
    Resume,
)
from balsamlift.relay.forwarding._peer_choice import PeerChoice
from balsamlift.relay.forwarding._reply import ForwardedReply, pass_on
from balsamlift.relay.forwarding._wire import forwarded_headers, resume_headers
from balsamlift.relay.health import Reachability
from balsamlift.relay.shutdown import Shutdown

log = logger.bind(part="forwarding")

# Hosts that one request is offered to: one that cannot be reached has not
# read it.
MAX_HOSTS = 3
# A host refuses so by a configuration other than the one of this host.
RETRY_OUTDATED_MS = 1_000


@attrs.frozen
class Unreached:
    """A call that this host cannot send to any upstream itself."""

    refusal: Refusal  # unless another host takes it


class Forwarder:
    """Forwards requests for pools of which this host reaches no upstream."""

    def __init__(
        self,
        peers: Peers,
        upstreams: Upstreams,
        choice: PeerChoice,
        reachability: Reachability,
        links: ConnectionPool,
        names: HeaderNames,
        clock: Clock,
        metrics: Metrics,
        shutdown: Shutdown,
    ) -> None:
        """Look for kept connections to upstreams in `links`."""
        self._peers = peers
        self._upstreams = upstreams
        self._choice = choice
        self._reachability = reachability
        self._links = links
        self._names = names
        self._clock = clock
        self._metrics = metrics
        self._shutdown = shutdown
        self._pool = ConnectionPool(clock, metrics, "forwarding")

    def on_change(self, callback: Callable[[str], None]) -> None:
        """Call back with a pool that is not reached any more, or is again."""
        self._reachability.on_change(callback)

    def is_unreached(self, pool: str) -> bool:
        """Return whether no upstream of a pool is reached."""
        return self._reachability.is_unreached(pool)

    def close(self) -> None:
        """Close the connections to other hosts."""
        self._pool.close()

    def sweep(self) -> None:
        """Close stale connections; called every second."""
        self._pool.sweep({_link_name(peer) for peer in self._peers.live()})

    def may_forward(self, call: Call, attempt: Attempt) -> bool:
        """Return whether another host may run a call that this one cannot."""
        if call.request.origin is not None or not attempt.may_send:
            return False
        if attempt.may_have_run and attempt.sends >= call.route.most_attempts:
            return False
        if not self._shutdown.may_begin(attempt):
            return False
        return self._choice.exists(call.service)

    def unreached(self, call: Call, attempt: Attempt) -> set[str]:
        """Return the upstreams that are not worth a try.

        They are those to which no connection is open, while this host can
        open none to their pool. It is empty if no other host can take the
        call either.
        """
        if not self._reachability.is_unreached(call.service):
            return set()
        if not self.may_forward(call, attempt):
            return set()
        return {
            upstream.name
            for upstream in self._upstreams.in_pool(call.service)
            if not self._links.has_idle(upstream.name)
        }

    def is_cut_off(self, call: Call, tried: Collection[str]) -> bool:
        """Return whether no upstream of a call's pool is left to try."""
        names = {u.name for u in self._upstreams.in_pool(call.service)}
        return bool(names) and names <= set(tried)

    async def run(
        self,
        call: Call,
        attempt: Attempt,
        responder: Responder,
        unreached: Unreached,
    ) -> Outcome | Refusal:
        """Respond as another host does, or return the refusal."""
        if call.request.origin is not None:
            return attrs.evolve(
                unreached.refusal, is_unreached=not attempt.sends
            )
        result = await self._forward(call, attempt)
        if result is None:
            return unreached.refusal
        if isinstance(result, Refusal):
            return result
        text = await pass_on(result, call, attempt, responder)
        return Outcome(text, sent_to=attempt.sent_to, to_host=result.host)

    async def resume(
        self, call: Call, resume: Resume
    ) -> ForwardedReply | None:
        """Return the stream of a host that goes on with a generation.

        It is the same execution, which has stopped here, so that it is no
        further attempt.
        """
        attempt = Attempt(is_idempotent=False)
        return await self.repeat(call, attempt, resume_headers(resume))

    async def repeat(
        self,
        call: Call,
        attempt: Attempt,
        extra: Iterable[tuple[str, str]],
    ) -> ForwardedReply | None:
        """Return the stream of a host that sends a generation again.

        `extra` replaces headers of the same name from the caller.
        """
        result = await self._forward(call, attempt, list(extra))
        if not isinstance(result, ForwardedReply):
            return None
        if result.is_success:
            return result
        result.close()
        return None

    async def _forward(
        self,
        call: Call,
        attempt: Attempt,
        extra: Sequence[tuple[str, str]] = (),
    ) -> ForwardedReply | Refusal | None:
        tried: set[str] = set()
        while len(tried) < MAX_HOSTS and self.may_forward(call, attempt):
            peer = self._choice.choose(call.service, tried)
            if peer is None:
                return None
            tried.add(peer.host)
            try:
                connection = await self._pool.open(
                    _link_name(peer), peer.forwarding_address
                )
            except UpstreamUnreachableError as error:
                self._pass_over(call, peer, str(error))
                continue
            with self._choice.count_in_flight(peer):
                result = await self._send(
                    call, attempt, peer, connection, extra
                )
            if result is not None:
                return result
        return None

    async def _send(
        self,
        call: Call,
        attempt: Attempt,
        peer: Peer,
        connection: UpstreamConnection,
        extra: Sequence[tuple[str, str]],
    ) -> ForwardedReply | Refusal | None:
        """Return the response of a host, or None if it sent the call nowhere.

        A host that gives no answer may have let it run.
        """
        self._metrics.count("relay.forwarded")
        remaining_ms = (call.timeout_at_s - self._clock.monotonic()) * 1_000
        deadline = self._names.deadline_ms, str(max(int(remaining_ms), 0))
        host = self._peers.own.host
        headers = list(
            forwarded_headers(call, attempt, host, [deadline, *extra])
        )
        may_have_run_before = attempt.may_have_run
        attempt.record_send(peer.host, self._clock.monotonic())
        connection.send(
            call.method, call.request.target, headers, call.request.body
        )
        try:
            head = await connection.read_head(lambda _: True)
        except asyncio.CancelledError:
            connection.close()
            raise
        except UpstreamBrokenError as error:
            self._pass_over(call, peer, str(error))
            return give_up(attempt, "host that carried it gave no answer")
        if not self._is_upstreams(head):
            if UNREACHED_HEADER in head.headers:
                attempt.record_not_sent(may_have_run_before)
                connection.close()
                self._pass_over(call, peer, "it reaches no upstream either")
                return None
            refusal = self._refusal(head, attempt, may_have_run_before)
            if refusal is not None:
                connection.close()
                return refusal
        return ForwardedReply(peer.host, head, connection, self._pool)

    def _is_upstreams(self, head: ResponseHead) -> bool:
        """Return whether a response is that of an upstream.

        Hosts of earlier versions say so by its signature only.
        """
        return ANSWERED_BY_HEADER in head.headers or is_signed(
            head.headers, self._names
        )

    def _refusal(
        self, head: ResponseHead, attempt: Attempt, may_have_run_before: bool
    ) -> Refusal | None:
        """Return what to say instead of another host's refusal, if anything.

        The other host knows nothing of an earlier send by this one, and its
        configuration may be another.
        """
        if head.status in NOT_RUN_STATUSES:
            attempt.record_not_executed(may_have_run_before)
            if attempt.may_have_run:
                return give_up(attempt, "refused by the host that carried it")
        elif 400 < head.status < 500:
            attempt.record_not_executed(may_have_run_before)
            return give_up(
                attempt, "configurations of hosts differ", RETRY_OUTDATED_MS
            )
        return None

    def _pass_over(self, call: Call, peer: Peer, cause: str) -> None:
        self._choice.pass_over(peer)
        log.bind(request=call.request_id, to_host=peer.host).warning(
            "not forwarded: {}", cause
        )


def _link_name(peer: Peer) -> str:
    return f"{peer.host}/{peer.incarnation}"
