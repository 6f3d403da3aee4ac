"""Choose an upstream for each call by the calls in flight of all hosts."""

from __future__ import annotations

import random
from collections.abc import (
    Collection,
    Mapping,
    Sequence,
)

from loguru import logger

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers import (
    HostRank,
    Peers,
    SilenceReports,
    Upstream,
    Upstreams,
)
from balsamlift.relay._cold_starts import ColdStartLimiter
from balsamlift.relay._scope import Scope
from balsamlift.relay._shared_load import SharedLoad
from balsamlift.relay.health import (
    SharedHealth,
    SilenceLimit,
    StallWatch,
    UnansweredRequests,
    UpstreamHealth,
)
from balsamlift.relay.statements import (
    BrittlePools,
    Restrictions,
    RetryAfterTracker,
    no_brittle_pools,
    no_restrictions,
)

log = logger.bind(part="relay")

# Extra calls in flight that an upstream is charged with if all of its
# requests fail.
FAILURE_PENALTY_CALLS = 12.0
# Extra calls in flight charged for another failure domain: one call less in
# flight does not outweigh the traffic between failure domains.
CROSS_DOMAIN_PENALTY_CALLS = 1.5


class Balancer(SharedLoad):
    """Choose upstreams for new calls by load and health."""

    def __init__(
        self,
        upstreams: Upstreams,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        failure_domain: str,
        cold_starts: ColdStartLimiter | None = None,
        regions: Mapping[str, str] | None = None,
        restrictions: Restrictions | None = None,
        retry_after: RetryAfterTracker | None = None,
        brittle_pools: BrittlePools | None = None,
        silences: SilenceReports | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        """Add the counts received by `peers` to those of this host.

        `regions` holds the region of each failure domain.
        """
        super().__init__(peers)
        metrics = metrics or Metrics()
        self._restrictions = restrictions or no_restrictions(clock, rng)
        self._retry_after = retry_after or RetryAfterTracker(
            clock, metrics, rng
        )
        self.brittle_pools = brittle_pools or no_brittle_pools(clock)
        self.stalls = StallWatch(clock, metrics)
        self.unanswered = UnansweredRequests(clock, metrics, self.stalls)
        self.unanswered.on_unread(self.add)
        self._cold_starts = cold_starts
        self._regions = regions or {}
        self._upstreams = upstreams
        self._clock = clock
        self._random = rng
        self._failure_domain = failure_domain
        self.health = UpstreamHealth()
        self._shared_health = SharedHealth(
            peers.set_in_flight,
            peers.send_counts,
            self._reporting_hosts,
            self._rank_for,
        )
        self._silence_limit = SilenceLimit(
            self.unanswered,
            silences or SilenceReports(clock),
            clock,
            metrics,
        )
        upstreams.on_change(self._prune)

    def sample(
        self, upstreams: Sequence[Upstream], limit: int | None
    ) -> list[Upstream]:
        """Return a random sample; all of them if there is no `limit`."""
        number = len(upstreams) if limit is None else limit
        return self._random.sample(upstreams, min(number, len(upstreams)))

    def usable(self, scope: Scope, tried: Collection[str]) -> list[Upstream]:
        """Return the upstreams to choose from.

        Ejected and avoided upstreams are included if there are no others, but
        none that a restriction keeps from work.
        """
        members = self._upstreams.in_pool(scope.pool)
        candidates = [
            u
            for u in members
            if u.name not in tried
            and self._is_permitted(scope, u)
            and self._allows_cold_start(u)
            and self._restrictions.at_choice(u) is None
            and not self._retry_after.wait_s(u.name)
        ]
        now_s = self._clock.monotonic()
        avoided = self._shared_health.avoided([u.name for u in members])
        healthy = [
            u
            for u in candidates
            if u.name not in avoided
            and not self.health.is_ejected(u.name, now_s)
        ]
        return healthy or candidates

    def _reporting_hosts(self, key: str) -> int:
        """Return how many other hosts report the health state `key`.

        Returns 0 if counts are scaled up from a few peers: the report of one
        host would count as the reports of many.
        """
        if self._peers.counts_basis == "scaled":
            return 0
        return self._peers.in_flight(key)

    def _rank_for(self, upstream: str) -> HostRank:
        """Return this host's rank among those whose reports it knows."""
        if self._peers.counts_basis == "scaled":
            return HostRank(position=0, hosts=1)
        return self._peers.rank_for(upstream)

    def _allows_cold_start(self, upstream: Upstream) -> bool:
        return self._cold_starts is None or self._cold_starts.allows(upstream)

    def record_send(self, upstream: Upstream) -> None:
        """Count a send towards the limit of a cold upstream.

        It is a trial if the upstream is on probation.
        """
        self._shared_health.record_send(upstream.name, self._clock.monotonic())
        self._retry_after.record_send(upstream.name)
        if self._cold_starts is not None:
            self._cold_starts.record_send(upstream)

    def is_closed(self, scope: Scope) -> bool:
        """Return whether there is no use in waiting for an upstream.

        Operators may leave none for a call, by evacuations or because its
        route and its workspace have no region in common, or those that are
        left may all have given notice.
        """
        if scope.regions is not None and not scope.regions:
            return True
        if any(
            self._is_permitted(scope, u)
            for u in self._upstreams.in_pool(scope.pool)
        ):
            return False
        closed = [
            *self._upstreams.evacuated(scope.pool),
            *self._upstreams.leaving_by_notice(scope.pool),
        ]
        return any(self._is_permitted(scope, u) for u in closed)

    def _is_permitted(self, scope: Scope, upstream: Upstream) -> bool:
        region = self._regions.get(upstream.failure_domain, "")
        return scope.allows(region)

    def choose_upstream(
        self, scope: Scope, tried: Collection[str], denied: Collection[str]
    ) -> Upstream | None:
        """Return the best upstream for a call, or None if none is left.

        Those in `denied` may not take it now, but are as healthy as before:
        no upstream that is not takes their place.
        """
        usable = self.usable(scope, tried) or self._last_resorts(scope, tried)
        choices = [
            u for u in usable if u.name not in denied and self._has_place(u)
        ]
        return min(choices, key=self._call_cost) if choices else None

    def is_crowded(self, scope: Scope, tried: Collection[str]) -> bool:
        """Return whether all upstreams that are left lack a place.

        They are brittle, or silent with all that they may have meanwhile.
        """
        usable = self.usable(scope, tried)
        return bool(usable) and not any(self._has_place(u) for u in usable)

    def is_shut_out(self, scope: Scope) -> bool:
        """Return whether other hosts have all places at brittle upstreams."""
        if not self.brittle_pools.is_brittle(scope.pool):
            return False
        usable = self.usable(scope, ())
        return bool(usable) and not any(
            self.brittle_pools.places(upstream) != 0 for upstream in usable
        )

    def _has_place(self, upstream: Upstream) -> bool:
        places = self.brittle_pools.places(upstream)
        if places is not None and self.own_load(upstream.name) >= places:
            return False
        return self._silence_limit.allows(upstream, self.load(upstream.name))

    def _last_resorts(
        self, scope: Scope, tried: Collection[str]
    ) -> list[Upstream]:
        restrictions = self._restrictions
        found = self._upstreams.last_resorts(
            scope.pool, restrictions.last_resort_s
        )
        return [
            upstream
            for upstream in found
            if upstream.name not in tried
            and self._is_permitted(scope, upstream)
            and restrictions.at_send(upstream, "chosen") is None
            and not self._retry_after.wait_s(upstream.name)
        ]

    def pauses(self, scope: Scope) -> dict[str, float]:
        """Return how long each upstream wants no requests, in seconds."""
        return {
            upstream.name: self._retry_after.wait_s(upstream.name)
            for upstream in self._upstreams.in_pool(scope.pool)
            if self._is_permitted(scope, upstream)
        }

    def find_usable(
        self, scope: Scope, tried: Collection[str], name: str
    ) -> Upstream | None:
        """Return the upstream of that name if it may still be chosen."""
        found = (u for u in self.usable(scope, tried) if u.name == name)
        return next(found, None)

    def record_success(self, upstream: str) -> None:
        """Record a complete response, or the start of a streamed one."""
        listed = self._upstreams.find(upstream)
        if listed:
            self.brittle_pools.record_served(listed, self.load(upstream) + 1)
        self.health.record_success(upstream)
        self._shared_health.record(
            upstream, self._clock.monotonic(), is_failing=False
        )

    def record_failure(self, upstream: str) -> None:
        """Record a response that reports a failed request."""
        self.health.record_failure(upstream)
        self._shared_health.record(
            upstream, self._clock.monotonic(), is_failing=True
        )

    def record_refusal(self, upstream: str) -> None:
        """Record that an upstream is full; it is not broken.

        One that says for how long is not rated by it: it gets its share again
        after that time.
        """
        listed = self._upstreams.find(upstream)
        if listed:
            self.brittle_pools.record_refused(listed, self.load(upstream) + 1)
        self.abandon_trial(upstream)
        if not self._retry_after.is_pausing(upstream):
            self.health.record_failure(upstream)

    def abandon_trial(self, upstream: str) -> None:
        """End a trial of an upstream that refused it, so others may try."""
        self._shared_health.abandon_trial(upstream, self._clock.monotonic())

    def record_error(self, upstream: str) -> None:
        """Record an error response, which may be a refusal for some time."""
        if self._retry_after.is_pausing(upstream):
            self.record_refusal(upstream)
        else:
            self.record_failure(upstream)

    def is_silent(self, upstream: str) -> bool:
        """Return whether an upstream owes answers in silence to any host."""
        return self._silence_limit.is_silent(upstream)

    def has_sound(self, scope: Scope, tried: Collection[str]) -> bool:
        """Return whether an upstream is left that is likely to answer."""
        now_s = self._clock.monotonic()
        return any(
            not self.health.is_ejected(upstream.name, now_s)
            and self._silence_limit.is_answering(upstream.name)
            for upstream in self.usable(scope, tried)
        )

    def eject(self, upstream: str) -> float:
        """Eject an upstream that sent no complete response.

        Returns the duration of the ejection.
        """
        now_s = self._clock.monotonic()
        self._shared_health.record(upstream, now_s, is_failing=True)
        return self.health.eject(upstream, now_s)

    def forget_failures(self, pool: str) -> None:
        """Forget the failures of a pool, which were this host's own."""
        names = [upstream.name for upstream in self._upstreams.in_pool(pool)]
        self._shared_health.forget_failures(names)
        for name in names:
            self.health.readmit(name)

    def failure_share(self, upstream: str) -> float:
        """Return the probability that its next request fails, 0 to 1."""
        return max(
            self.health.failure_share(upstream),
            self._shared_health.failure_share(upstream),
        )

    def is_suspected(self, upstream: str) -> bool:
        """Return whether to use an upstream only if no other has capacity."""
        return self._shared_health.is_suspected(upstream)

    def discard_expired(self) -> None:
        """Discard expired observations; called every second."""
        live = {upstream.name for upstream in self._upstreams.all()}
        self.unanswered.prune(live)
        self._shared_health.expire(self._clock.monotonic(), live)
        if self._cold_starts is not None:
            self._cold_starts.prune(live)

    def _call_cost(self, upstream: Upstream) -> tuple[float, float]:
        cost = float(self.load(upstream.name))
        cost += FAILURE_PENALTY_CALLS * self.failure_share(upstream.name)
        cost += self.domain_cost(upstream) * CROSS_DOMAIN_PENALTY_CALLS
        return cost, self._random.random()

    def domain_cost(self, upstream: Upstream, near_domain: str = "") -> int:
        """Return 0 in the failure domain `near_domain` and 1 elsewhere.

        It defaults to the failure domain of this host.
        """
        return int(
            upstream.failure_domain != (near_domain or self._failure_domain)
        )

    def _prune(self) -> None:
        live = {upstream.name for upstream in self._upstreams.all()}
        self.health.prune(live)
        self.unanswered.report_leaving(self._upstreams.is_leaving)
        self.prune_counts()
