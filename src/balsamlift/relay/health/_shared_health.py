"""Share observations of failing upstreams between hosts.

Each host publishes its latest observation of an upstream for a limited time,
together with its load counts. An upstream that fails every request
immediately has no calls in flight and would be preferred by every host;
without shared observations, each host would lose a request to find that out.
"""

from __future__ import annotations

import functools
import math
from collections import Counter
from collections.abc import Callable, Collection, Mapping

import attrs
from loguru import logger

from balsamlift.peers import HostRank

log = logger.bind(part="upstreams")

# Lifetime of an observed failure; doubled for each trial that has failed.
FAILURE_TTL_S = 4.0
MAX_FAILURE_TTL_S = 16.0
SUCCESS_TTL_S = 1.5  # shorter: it may have failed since
# Duration of the probation that begins with a failure.
PROBATION_S = 30.0
# Time after which a trial without a result no longer prevents others.
TRIAL_TIMEOUT_S = 4.0
# A host for which this many upstreams failed, without a success in between,
# is considered faulty itself and reports no failures until one succeeds.
LOCAL_FAULT_FAILURES = 2
# A host that was served within this time reports the first of two all the
# same: that its own link broke just then is as unlikely as two broken
# upstreams. One that sends little cannot tell and reports none.
SERVED_RECENTLY_S = 1.0
# If a larger part of a pool is reported as failing, the cause is elsewhere
# and no upstream is avoided.
MAX_AVOIDED_FRACTION = 0.5
# Hosts that may send to an upstream on probation: one of this many, at most
# `PROBATION_HOSTS`, and one more for each second without a result, as the
# first ones may have nothing to send.
HOSTS_PER_TRIAL = 20
PROBATION_HOSTS = 4
# Failures seen by a single host may be caused by that host.
MIN_FAILING_HOSTS = 2
# Maximum failure share of an upstream that only one host reports as failing.
SINGLE_HOST_FAILURE_SHARE = 0.5


def failing_key(upstream: str) -> str:
    """Return the key that counts hosts that saw an upstream fail last."""
    return f"{upstream}/failing"


def serving_key(upstream: str) -> str:
    """Return the key that counts hosts that it served last."""
    return f"{upstream}/serving"


def probation_key(upstream: str) -> str:
    """Return the key that counts hosts that have it on probation."""
    return f"{upstream}/trial"


def failed_trials_key(upstream: str) -> str:
    """Return the key that counts trials that failed during a probation."""
    return f"{upstream}/failed_trials"


def trying_key(upstream: str) -> str:
    """Return the key that counts trials that have no result yet."""
    return f"{upstream}/trying"


@attrs.frozen
class HealthReports:
    """The number of hosts that report each state of an upstream."""

    failing: int
    serving: int
    on_probation: int  # saw it fail, perhaps too long ago to count as failing
    trying: int = 0

    @property
    def is_on_trial(self) -> bool:
        """Return whether the next result decides if it is avoided."""
        return self.on_probation > 0 and not self.failing and not self.serving

    @property
    def failure_share(self) -> float:
        """Return the fraction of reporting hosts that see it fail."""
        if not self.failing:
            return 0.0
        share = self.failing / (self.failing + self.serving)
        if self.failing < MIN_FAILING_HOSTS:
            return min(share, SINGLE_HOST_FAILURE_SHARE)
        return share


def should_avoid(
    reports: HealthReports, rank: Callable[[], HostRank], waited: int = 0
) -> bool:
    """Return whether a host of that `rank` must not send to an upstream.

    `waited` is the number of seconds for which a trial of it has been due.
    """
    if max(reports.failing, reports.on_probation) < MIN_FAILING_HOSTS:
        return False
    return should_suspect(reports, rank, waited)


def should_suspect(
    reports: HealthReports, rank: Callable[[], HostRank], waited: int = 0
) -> bool:
    """Return whether a host should leave an upstream to others to try.

    Unlike with `should_avoid`, the report of a single host is enough.
    """
    if not reports.on_probation:
        return False
    if reports.failing:
        return reports.failing > reports.serving
    if reports.serving:
        return False
    return reports.trying > 0 or not _has_turn(rank(), waited)


def _has_turn(rank: HostRank, waited: int) -> bool:
    """Return whether a host may try an upstream on probation."""
    first = min(max(rank.hosts // HOSTS_PER_TRIAL, 1), PROBATION_HOSTS)
    return rank.position < first + waited


_Rule = Callable[[HealthReports, Callable[[], HostRank], int], bool]


@attrs.define
class _Observation:
    """Hold this host's latest observation of one upstream."""

    is_failing: bool
    observed_s: float
    ttl_s: float
    failed_trials: int = 0  # of this host, during the same probation

    def is_current(self, now_s: float) -> bool:
        """Return whether the observation has not expired yet."""
        return now_s <= self.observed_s + self.ttl_s

    def is_on_probation(self, now_s: float) -> bool:
        """Return whether it keeps the upstream on probation."""
        return self.is_failing and now_s <= self.observed_s + PROBATION_S


class SharedHealth:
    """Publish this host's observations and combine those of all hosts."""

    def __init__(
        self,
        set_count: Callable[[str, int], None],
        publish_counts: Callable[[], None],
        others_count: Callable[[str], int],
        rank_for: Callable[[str], HostRank],
    ) -> None:
        """Set counts by `set_count` and send them by `publish_counts`.

        `others_count` returns the sum of the other hosts' counts of a key;
        `rank_for` returns this host's rank among the hosts for an
        upstream.
        """
        self._set_count = set_count
        self._publish_counts = publish_counts
        self._others_count = others_count
        self._rank_for = rank_for
        self._observations: dict[str, _Observation] = {}
        self._published: Mapping[str, int] = {}
        self._failed_since_success: list[str] = []  # the first one first
        self._served_s = -math.inf  # latest success of any upstream
        self._tried_s: dict[str, float] = {}  # trials without a result
        self._on_probation: set[str] = set()  # as last seen
        self._waited: dict[str, int] = {}  # seconds, where trials are due
        self._avoided: set[str] = set()  # as last logged

    def record(self, upstream: str, now_s: float, *, is_failing: bool) -> None:
        """Record the result of a request; publish failures immediately."""
        was_trial = self._tried_s.pop(upstream, None) is not None
        was_faulty = self._is_faulty
        if is_failing:
            self._record_failure(upstream, now_s)
        else:
            self._record_success(upstream, now_s)
        is_urgent = is_failing or was_trial or was_faulty
        if self._publish(now_s) and is_urgent:
            self._publish_counts()
        if was_trial:
            self._log_trial(
                upstream, "trial failed" if is_failing else "trial succeeded"
            )

    @property
    def _is_faulty(self) -> bool:
        """Return whether this host is probably the cause of failures."""
        return len(self._failed_since_success) >= LOCAL_FAULT_FAILURES

    def _is_withheld(self, upstream: str, now_s: float) -> bool:
        """Return whether a failure is probably this host's own fault."""
        if not self._is_faulty:
            return False
        is_served = now_s <= self._served_s + SERVED_RECENTLY_S
        is_first = upstream == self._failed_since_success[0]
        failures = len(self._failed_since_success)
        return not (
            is_served and is_first and failures == LOCAL_FAULT_FAILURES
        )

    def _record_failure(self, upstream: str, now_s: float) -> None:
        if upstream not in self._failed_since_success:
            self._failed_since_success.append(upstream)
        self._observations[upstream] = self._observe_failure(upstream, now_s)

    def _record_success(self, upstream: str, now_s: float) -> None:
        self._failed_since_success.clear()
        self._served_s = now_s
        # Only a success after a failure speaks against it, and other hosts
        # cannot tell which of the two came first.
        if self.reports(upstream).on_probation:
            success = _Observation(False, now_s, SUCCESS_TTL_S)
            self._observations[upstream] = success

    def forget_failures(self, upstreams: Collection[str]) -> None:
        """Forget the failures that this host saw of some upstreams."""
        for name in upstreams:
            observation = self._observations.get(name)
            if observation is not None and observation.is_failing:
                del self._observations[name]
        self._failed_since_success.clear()

    def record_send(self, upstream: str, now_s: float) -> None:
        """Publish immediately that a request is a trial, if it is one."""
        if self.reports(upstream).is_on_trial:
            self._tried_s[upstream] = now_s
            self._publish(now_s)
            self._publish_counts()
            self._log_trial(upstream, "trial started")

    def abandon_trial(self, upstream: str, now_s: float) -> None:
        """End a trial that has no result, so that others may try."""
        if self._tried_s.pop(upstream, None) is not None:
            self._publish(now_s)
            self._publish_counts()

    def _observe_failure(self, upstream: str, now_s: float) -> _Observation:
        """Return a failure that is observed now.

        It lives longer the more trials of all hosts together have failed.
        Failures of requests that were sent before the first one was known say
        nothing new, so they do not count.
        """
        own = self._observations.get(upstream)
        own_trials = own.failed_trials if own is not None else 0
        if self.reports(upstream).is_on_trial:
            own_trials += 1
        trials = own_trials + self._others_count(failed_trials_key(upstream))
        ttl_s: float = min(FAILURE_TTL_S * 2.0**trials, MAX_FAILURE_TTL_S)
        return _Observation(True, now_s, ttl_s, own_trials)

    def expire(self, now_s: float, live: Collection[str]) -> None:
        """Discard expired observations and those of unlisted upstreams."""
        for name, observation in list(self._observations.items()):
            is_needed = observation.is_current(now_s) or self._is_on_probation(
                name, now_s
            )
            if not is_needed or name not in live:
                del self._observations[name]
        self._avoided &= set(live)
        for name, tried_s in list(self._tried_s.items()):
            if now_s > tried_s + TRIAL_TIMEOUT_S or name not in live:
                del self._tried_s[name]
        self._publish(now_s)
        self._count_waits(live)

    def _count_waits(self, live: Collection[str]) -> None:
        self._on_probation &= set(live)
        self._waited = {
            name: self._waited.get(name, -1) + 1
            for name in self._on_probation
            if self.reports(name).is_on_trial
        }

    def _is_on_probation(self, name: str, now_s: float) -> bool:
        """Return whether a failure still keeps an upstream on probation.

        Probation ends early once the upstream serves hosts and fails none.
        """
        reports = self.reports(name)
        is_recovered = reports.serving and not reports.failing
        return (
            self._observations[name].is_on_probation(now_s)
            and not is_recovered
        )

    def reports(self, upstream: str) -> HealthReports:
        """Return the reports of all hosts about an upstream."""
        return HealthReports(
            self._count(failing_key(upstream)),
            self._count(serving_key(upstream)),
            self._count(probation_key(upstream)),
            self._count(trying_key(upstream)),
        )

    def avoided(self, pool: Collection[str]) -> set[str]:
        """Return the upstreams of a pool that this host must not use now."""
        # A host that sees an upstream fail also has it on probation, so one
        # lookup is enough to skip most upstreams.
        on_probation = {
            name for name in pool if self._count(probation_key(name))
        }
        self._on_probation.difference_update(pool)
        self._on_probation |= on_probation
        avoided = {
            name for name in on_probation if self._holds(should_avoid, name)
        }
        if len(avoided) > len(pool) * MAX_AVOIDED_FRACTION:
            avoided = set()
        self._log_changes(pool, avoided)
        return avoided

    def failure_share(self, upstream: str) -> float:
        """Return the probability that its next request fails, 0 to 1."""
        share = self.reports(upstream).failure_share
        if self.is_suspected(upstream):
            return max(share, SINGLE_HOST_FAILURE_SHARE)
        return share

    def is_suspected(self, upstream: str) -> bool:
        """Return whether this host should use an upstream only if it must."""
        return upstream in self._on_probation and self._holds(
            should_suspect, upstream
        )

    def _holds(self, rule: _Rule, upstream: str) -> bool:
        return rule(
            self.reports(upstream),
            functools.partial(self._rank_for, upstream),
            self._waited.get(upstream, 0),
        )

    def _log_trial(self, upstream: str, message: str) -> None:
        log.bind(
            upstream=upstream,
            hosts_careful=self._count(probation_key(upstream)),
            failed_trials=self._count(failed_trials_key(upstream)),
            waited_s=self._waited.get(upstream, 0),
        ).info(message)

    def _log_changes(self, pool: Collection[str], avoided: set[str]) -> None:
        before = self._avoided & set(pool)
        for name in avoided ^ before:
            reports = self.reports(name)
            log.bind(
                upstream=name,
                hosts_failing=reports.failing,
                hosts_serving=reports.serving,
                hosts_careful=reports.on_probation,
            ).info("avoided" if name in avoided else "no longer avoided")
        self._avoided = (self._avoided - before) | avoided

    def _count(self, key: str) -> int:
        return self._others_count(key) + self._published.get(key, 0)

    def _publish(self, now_s: float) -> bool:
        """Set the current counts; return whether they have changed."""
        wanted = self._current_counts(now_s)
        for key in self._published.keys() - wanted.keys():
            self._set_count(key, 0)
        for key, count in wanted.items():
            if count != self._published.get(key):
                self._set_count(key, count)
        has_changed = wanted != self._published
        self._published = wanted
        return has_changed

    def _current_counts(self, now_s: float) -> dict[str, int]:
        counts = Counter(map(trying_key, self._tried_s))
        for name, observation in self._observations.items():
            is_current = observation.is_current(now_s)
            if not observation.is_failing:
                counts[serving_key(name)] += is_current
            elif observation.is_on_probation(now_s) and not self._is_withheld(
                name, now_s
            ):
                counts[probation_key(name)] += 1
                counts[failing_key(name)] += is_current
                counts[failed_trials_key(name)] += observation.failed_trials
        return {key: count for key, count in counts.items() if count}
