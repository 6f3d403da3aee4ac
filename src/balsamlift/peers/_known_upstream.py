"""The listed and the observed state of one upstream."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from balsamlift.peers._evacuations import Evacuations
from balsamlift.peers._leaving_notices import LeavingNotices
from balsamlift.peers._observed_states import ObservedStates, more_pessimistic
from balsamlift.peers._upstream import Upstream


@attrs.define
class KnownUpstream:
    """Combine the listed and the observed state of an upstream."""

    listed: Upstream
    evacuations: Evacuations
    leaving_notices: LeavingNotices
    cold_until_s: float = 0.0
    written: int | None = None  # update that `cold_until_s` is from
    observed: ObservedStates = attrs.field(factory=ObservedStates)
    upstream: Upstream = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.refresh()

    @property
    def has_given_notice(self) -> bool:
        """Return whether its own answers say that it is leaving."""
        return self.leaving_notices.has(self.listed.name)

    def is_last_resort(self, max_notice_age_s: float) -> bool:
        """Return whether only a notice of at most that age keeps it idle."""
        notice_age_s = self.leaving_notices.age_s(self.listed.name)
        return (
            notice_age_s is not None
            and notice_age_s <= max_notice_age_s
            and self.listed.state == "live"
            and self.observed.worst == "live"
            and not self.upstream.is_evacuated
        )

    def refresh(self) -> bool:
        """Recompute `upstream` and return whether it has changed."""
        state = more_pessimistic(self.listed.state, self.observed.worst)
        if self.has_given_notice:
            state = more_pessimistic(state, "leaving")
        before = getattr(self, "upstream", None)
        self.upstream = attrs.evolve(
            self.listed,
            state=state,
            is_evacuated=self.evacuations.covers(self.listed.failure_domain),
            cold_until_s=self.cold_until_s,
        )
        return self.upstream != before


def find_usable(pool: Iterable[KnownUpstream]) -> list[Upstream]:
    """Return the upstreams of a pool that may take new work.

    If none is live, returns those that only peers report as dead.
    """
    members = [known for known in pool if not known.upstream.is_evacuated]
    live = [k.upstream for k in members if k.upstream.state == "live"]
    return live or [
        k.upstream
        for k in members
        if k.listed.state == "live"
        and k.observed.dead_by_peers_alone
        and not k.has_given_notice
    ]
