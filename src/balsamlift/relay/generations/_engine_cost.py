"""Cost of placing a generation on an engine, to compare engines by."""

from __future__ import annotations

from balsamlift.peers import Upstream
from balsamlift.placement import PaceRating
from balsamlift.relay._balance import Balancer
from balsamlift.relay._configuration import EngineTraits
from balsamlift.relay._count_keys import backup_key, prefill_key
from balsamlift.relay.generations._placement_policy import PlacementPolicy


def reserved_tokens(balancer: Balancer, upstream: Upstream) -> int:
    """Return the memory reserved for generations and backups, in tokens."""
    load = balancer.load
    return load(upstream.name) + load(backup_key(upstream.name))


class EngineCost:
    """Rate engines by their load, pace, failures and distance."""

    def __init__(self, balancer: Balancer, policy: PlacementPolicy) -> None:
        """Weigh what `balancer` knows as `policy` says."""
        self._balancer = balancer
        self._policy = policy

    def of(
        self,
        upstream: Upstream,
        traits: EngineTraits,
        near_domain: str,
        pace: PaceRating | None = None,
    ) -> float:
        """Return the cost, as a fraction of an engine's memory.

        `near_domain` defaults to the failure domain of this host. Without
        `pace`, all engines count as equally fast.
        """
        policy = self._policy
        load = reserved_tokens(self._balancer, upstream) / traits.memory_tokens
        pending_prefill = self._balancer.load(prefill_key(upstream.name))
        prefill_share = pending_prefill / traits.memory_tokens
        if pace is not None:
            prefill_share *= pace.slowness(upstream.name)
            load += pace.cost(upstream.name, load)
        load += prefill_share * policy.prefill_weight
        failures = self._balancer.failure_share(upstream.name)
        domain_weight = (
            policy.cross_domain_copy_cost
            if near_domain
            else policy.cross_domain_cost
        )
        domain = (
            self._balancer.domain_cost(upstream, near_domain) * domain_weight
        )
        return load + failures + domain
