"""Choose an upstream for each call, by what all hosts have in flight."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import (
    Callable,
    Collection,
    Iterator,
    Mapping,
    Sequence,
)
from contextlib import contextmanager

from balsamlift.clock import Clock
from balsamlift.peers import CountsBasis, Peers, Upstream, Upstreams
from balsamlift.relay._cold_starts import ColdStarts
from balsamlift.relay._health import UpstreamHealth
from balsamlift.relay._scope import Scope
from balsamlift.relay._words import Words

# An upstream that fails each request counts as if it had this many calls
# more in flight than it has.
FAILURE_CALLS = 12.0
# One call in flight less does not outweigh the bytes between failure domains.
OTHER_DOMAIN_CALLS = 1.5


def backup_key(upstream: str) -> str:
    """Return under which name the memory of backups there is counted."""
    return f"{upstream}/backups"


def prefill_key(upstream: str) -> str:
    """Return under which name prompts still to be read there are counted."""
    return f"{upstream}/prefill"


def link_key(upstream: str) -> str:
    """Return under which name copies under way from there are counted."""
    return f"{upstream}/link"


class Balancer:
    """Know the load of upstreams and share new calls out."""

    def __init__(
        self,
        upstreams: Upstreams,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        failure_domain: str,
        cold_starts: ColdStarts | None = None,
        regions: Mapping[str, str] | None = None,
    ) -> None:
        """Count calls of this host and add what `peers` tell.

        `regions` holds the region of each failure domain.
        """
        self._cold_starts = cold_starts
        self._regions = regions or {}
        self._upstreams = upstreams
        self._peers = peers
        self._clock = clock
        self._random = rng
        self._failure_domain = failure_domain
        self._own: Counter[str] = Counter()
        self._on_release: list[Callable[[], None]] = []
        self.health = UpstreamHealth()
        self._words = Words(
            peers.set_in_flight,
            peers.send_counts,
            self._told_words,
            peers.place_for,
        )
        upstreams.on_change(self._forget)

    def load(self, upstream: str) -> int:
        """Return what all hosts together have in flight there."""
        return self._own[upstream] + self._peers.in_flight(upstream)

    @property
    def hears_all(self) -> bool:
        """Tell whether the other hosts' counts come by themselves, at once."""
        return self._peers.is_full_mesh

    @property
    def counts_basis(self) -> CountsBasis:
        """Return what the other hosts' part of a load rests on."""
        return self._peers.counts_basis

    def draw(
        self, upstreams: Sequence[Upstream], most: int | None
    ) -> list[Upstream]:
        """Return some of them, all by default, in random order."""
        number = len(upstreams) if most is None else min(most, len(upstreams))
        return self._random.sample(upstreams, number)

    def own_load(self, upstream: str) -> int:
        """Return what this host has in flight there."""
        return self._own[upstream]

    def add(self, upstream: str, n: int) -> None:
        """Add to what this host has in flight; `n` may be negative."""
        self._own[upstream] += n
        self._peers.set_in_flight(upstream, self._own[upstream])
        if n < 0:
            for callback in self._on_release:
                callback()

    def tell(self) -> None:
        """Let the other hosts know of what was added without delay.

        Until they do, they may fill the same engine.
        """
        self._peers.send_counts()

    async def refresh(self) -> None:
        """Have what the other hosts have in flight by now, if that lags."""
        await self._peers.refresh_counts()

    @contextmanager
    def hold(self, upstream: str, n: int) -> Iterator[None]:
        """Count `n` as in flight while the context is open."""
        self.add(upstream, n)
        try:
            yield
        finally:
            self.add(upstream, -n)

    def on_release(self, callback: Callable[[], None]) -> None:
        """Call back whenever something is no longer in flight."""
        self._on_release.append(callback)

    def usable(self, scope: Scope, tried: Collection[str]) -> list[Upstream]:
        """Return the upstreams to choose from.

        Those left alone after failures come back in when there is no other.
        """
        members = self._upstreams.in_pool(scope.pool)
        listed = [
            u
            for u in members
            if u.name not in tried
            and self._is_in(scope, u)
            and self._tolerates(u)
        ]
        now_s = self._clock.monotonic()
        broken = self._words.avoided([u.name for u in members])
        sound = [
            u
            for u in listed
            if u.name not in broken
            and not self.health.is_ejected(u.name, now_s)
        ]
        return sound or listed

    def _told_words(self, key: str) -> int:
        """Return how many other hosts tell that.

        Scaled up from a few partners, one host's word would count as many.
        """
        if self._peers.counts_basis == "scaled":
            return 0
        return self._peers.in_flight(key)

    def _tolerates(self, upstream: Upstream) -> bool:
        return self._cold_starts is None or self._cold_starts.allows(upstream)

    def sending(self, upstream: Upstream) -> None:
        """Count a request that was placed, for as long as it is cold."""
        if self._cold_starts is not None:
            self._cold_starts.sending(upstream)

    def is_closed(self, scope: Scope) -> bool:
        """Tell whether operators leave a call no upstream.

        By evacuations, or as its route and workspace share no region.
        """
        if scope.regions is not None and not scope.regions:
            return True
        if any(
            self._is_in(scope, u) for u in self._upstreams.in_pool(scope.pool)
        ):
            return False
        evacuated = self._upstreams.evacuated(scope.pool)
        return any(self._is_in(scope, u) for u in evacuated)

    def _is_in(self, scope: Scope, upstream: Upstream) -> bool:
        region = self._regions.get(upstream.failure_domain, "")
        return scope.allows(region)

    def place_call(
        self, scope: Scope, tried: Collection[str]
    ) -> Upstream | None:
        """Return the upstream for a call that is sent there at once."""
        choices = self.usable(scope, tried)
        if not choices:
            return None
        upstream = min(choices, key=self._call_cost)
        self.sending(upstream)
        return upstream

    def saw_success(self, upstream: str) -> None:
        """Note a whole answer, or the beginning of one."""
        self.health.succeeded(upstream)
        self._words.saw(upstream, self._clock.monotonic(), is_failing=False)

    def saw_failure(self, upstream: str) -> None:
        """Note an answer that says the request failed."""
        self.health.failed(upstream)
        self._words.saw(upstream, self._clock.monotonic(), is_failing=True)

    def saw_break(self, upstream: str) -> float:
        """Note that no whole answer came; return for how long it is out."""
        now_s = self._clock.monotonic()
        self._words.saw(upstream, now_s, is_failing=True)
        return self.health.broke(upstream, now_s)

    def failure_share(self, upstream: str) -> float:
        """Return how likely the next request there is to fail, 0 to 1."""
        return max(
            self.health.failure_share(upstream),
            self._words.verdict(upstream).failure_share,
        )

    def forget_old(self) -> None:
        """Let what was seen of upstreams run out; call each second."""
        live = {upstream.name for upstream in self._upstreams.all()}
        self._words.expire(self._clock.monotonic(), live)
        if self._cold_starts is not None:
            self._cold_starts.forget(live)

    def _call_cost(self, upstream: Upstream) -> tuple[float, float]:
        cost = float(self.load(upstream.name))
        cost += FAILURE_CALLS * self.failure_share(upstream.name)
        cost += self.domain_cost(upstream) * OTHER_DOMAIN_CALLS
        return cost, self._random.random()

    def domain_cost(self, upstream: Upstream, near: str = "") -> int:
        """Return 0 in the failure domain `near` and 1 elsewhere.

        By default, that of this host.
        """
        return int(upstream.failure_domain != (near or self._failure_domain))

    def _forget(self) -> None:
        live = {upstream.name for upstream in self._upstreams.all()}
        self.health.forget(live)
        for name in [n for n, count in self._own.items() if not count]:
            del self._own[name]
