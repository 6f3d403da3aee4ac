"""What hosts tell each other of upstreams that fail.

Each host tells the last it saw of an upstream, for a limited time, with the
counts that it tells anyhow. An upstream that fails each request at once has
nothing in flight and so is the first choice of all: without this, each host
has to find out by itself, at the cost of a request.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Collection

import attrs
from loguru import logger

from balsamlift.peers import HostRank

log = logger.bind(part="upstreams")

# For how long what a host saw counts; a failure soon after others of the
# same upstream counts for twice as long.
FAILING_S = 4.0
LONGEST_FAILING_S = 16.0
SERVING_S = 1.5  # shorter: it may have broken since
# For how long a failure makes hosts careful, after it no longer counts as one.
TRIAL_S = 30.0
# So many hosts of all try an upstream on trial, until it serves one of them.
FIRST_HOSTS = 4
# The failures of one host say as much of that host as of the upstream.
FEWEST_FAILING = 2
# A host that so many upstreams fail in a row is in trouble itself, and tells
# nothing until one serves it.
OWN_TROUBLE = 2
# Where more of a pool than this is told to fail, the trouble is not theirs.
MOST_BROKEN_PART = 0.5
# One host's word makes an upstream that much less likely to be chosen.
ONE_WORD_SHARE = 0.5


def failing_key(upstream: str) -> str:
    """Return under which name hosts that see it fail are counted."""
    return f"{upstream}/failing"


def serving_key(upstream: str) -> str:
    """Return under which name hosts that it has served are counted."""
    return f"{upstream}/serving"


def trial_key(upstream: str) -> str:
    """Return under which name hosts that saw it fail before are counted."""
    return f"{upstream}/trial"


@attrs.frozen
class Verdict:
    """Hold how many hosts saw an upstream fail, or serve, last."""

    failing: int
    serving: int
    on_trial: int  # saw it fail, maybe too long ago to count as failing

    @property
    def failure_share(self) -> float:
        """Return the part of hosts that see it fail."""
        if not self.failing:
            return 0.0
        share = self.failing / (self.failing + self.serving)
        if self.failing < FEWEST_FAILING:
            return min(share, ONE_WORD_SHARE)
        return share


def is_to_avoid(verdict: Verdict, place: Callable[[], HostRank]) -> bool:
    """Tell whether a host at `place` is to send nothing to an upstream."""
    if max(verdict.failing, verdict.on_trial) < FEWEST_FAILING:
        return False
    if verdict.failing:
        return verdict.failing > verdict.serving
    return not verdict.serving and place().position >= FIRST_HOSTS


@attrs.define
class _Word:
    """Hold the last that this host saw of one upstream."""

    is_failing: bool
    seen_s: float
    length_s: float

    def counts(self, now_s: float) -> bool:
        """Tell whether it is new enough."""
        return now_s <= self.seen_s + self.length_s

    def is_on_trial(self, now_s: float) -> bool:
        """Tell whether it still makes hosts careful."""
        return self.is_failing and now_s <= self.seen_s + TRIAL_S


class Words:
    """Tell what this host sees, and count what all hosts see."""

    def __init__(
        self,
        tell: Callable[[str, int], None],
        tell_now: Callable[[], None],
        told: Callable[[str], int],
        place_for: Callable[[str], HostRank],
    ) -> None:
        """Tell counts by `tell`; `told` returns the sum of other hosts'.

        `place_for` returns the place of this host in an upstream's order.
        """
        self._tell = tell
        self._tell_now = tell_now
        self._told = told
        self._place_for = place_for
        self._own: dict[str, _Word] = {}
        self._published: frozenset[str] = frozenset()
        self._failed_in_a_row: set[str] = set()
        self._avoided: set[str] = set()  # as last logged

    def saw(self, upstream: str, now_s: float, *, is_failing: bool) -> None:
        """Note what came of a request; tell of a failure at once."""
        length_s = SERVING_S
        if not is_failing:
            self._failed_in_a_row.clear()
        else:
            self._failed_in_a_row.add(upstream)
            length_s = self._failing_s(upstream)
        self._own[upstream] = _Word(is_failing, now_s, length_s)
        if self._publish(now_s) and is_failing:
            self._tell_now()

    def _failing_s(self, upstream: str) -> float:
        """Return for how long a failure counts that is seen now."""
        before = self._own.get(upstream)
        if before is not None and before.is_failing:
            return min(before.length_s * 2, LONGEST_FAILING_S)
        if self._told(trial_key(upstream)) >= FEWEST_FAILING:
            return FAILING_S * 2
        return FAILING_S

    def expire(self, now_s: float, live: Collection[str]) -> None:
        """Drop what is too old, or of upstreams that are gone."""
        for name, word in list(self._own.items()):
            is_new = word.counts(now_s) or self._is_on_trial(name, now_s)
            if not is_new or name not in live:
                del self._own[name]
        self._avoided &= set(live)
        self._publish(now_s)

    def _is_on_trial(self, name: str, now_s: float) -> bool:
        """Tell whether an old failure still counts: until it serves others."""
        verdict = self.verdict(name)
        is_well = verdict.serving and not verdict.failing
        return self._own[name].is_on_trial(now_s) and not is_well

    def verdict(self, upstream: str) -> Verdict:
        """Return what all hosts see of an upstream."""
        return Verdict(
            self._count(failing_key(upstream)),
            self._count(serving_key(upstream)),
            self._count(trial_key(upstream)),
        )

    def avoided(self, pool: Collection[str]) -> set[str]:
        """Return those of a pool that this host is to send nothing now."""
        # Whoever sees one fail counts it as on trial too: most are passed
        # over by one look.
        avoided = {
            name
            for name in pool
            if self._count(trial_key(name)) >= FEWEST_FAILING
            and is_to_avoid(
                self.verdict(name), functools.partial(self._place_for, name)
            )
        }
        if len(avoided) > len(pool) * MOST_BROKEN_PART:
            avoided = set()
        self._log_changes(pool, avoided)
        return avoided

    def _log_changes(self, pool: Collection[str], avoided: set[str]) -> None:
        before = self._avoided & set(pool)
        for name in avoided ^ before:
            verdict = self.verdict(name)
            log.bind(
                upstream=name,
                hosts_failing=verdict.failing,
                hosts_serving=verdict.serving,
                hosts_careful=verdict.on_trial,
            ).info("avoided" if name in avoided else "avoided no more")
        self._avoided = (self._avoided - before) | avoided

    def _count(self, key: str) -> int:
        return self._told(key) + (key in self._published)

    def _publish(self, now_s: float) -> bool:
        """Tell what counts now; return whether that has changed."""
        wanted = self._keys(now_s)
        for key in self._published - wanted:
            self._tell(key, 0)
        for key in wanted - self._published:
            self._tell(key, 1)
        has_changed = wanted != self._published
        self._published = wanted
        return has_changed

    def _keys(self, now_s: float) -> frozenset[str]:
        serving: set[str] = set()
        failing: set[str] = set()
        on_trial: set[str] = set()
        for name, word in self._own.items():
            if word.counts(now_s):
                (failing if word.is_failing else serving).add(name)
            if word.is_on_trial(now_s):
                on_trial.add(name)
        if len(self._failed_in_a_row) >= OWN_TROUBLE:
            failing, on_trial = set(), set()
        return frozenset(
            (
                *map(failing_key, failing),
                *map(serving_key, serving),
                *map(trial_key, on_trial),
            )
        )
