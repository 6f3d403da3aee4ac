"""Identify requests that must be refused because they crash upstreams."""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from contextlib import AbstractAsyncContextManager

from loguru import logger

from balsamlift.clock import Clock
from balsamlift.peers import CrashReport, CrashReports, Upstream, Upstreams
from balsamlift.relay._attempt import Attempt
from balsamlift.relay._refusals import suspected
from balsamlift.relay._request import Call, Refusal
from balsamlift.relay.crashes._crash_detector import BrokenCall, CrashDetector
from balsamlift.relay.crashes._culprits import CrashHistory, find_culprits
from balsamlift.relay.crashes._part_guard import PartGuard

log = logger.bind(part="crashes")

# Recently completed requests, so that a later crash report of one of them can
# be answered with a report of its completion.
MAX_COMPLETED = 2_000

# Callers do not repeat a request after status 400.
CRASHING_REQUEST = Refusal(
    status=400, reason="request crashes upstreams, not run again"
)


class CrashGuard:
    """Identify requests that crash upstreams from the reports of all hosts."""

    def __init__(
        self,
        reports: CrashReports,
        upstreams: Upstreams,
        clock: Clock,
        parts: PartGuard,
    ) -> None:
        """Begin with the reports that this host already holds."""
        self._parts = parts
        self._clock = clock
        self._reports = reports
        self._detector = CrashDetector(
            upstreams,
            clock,
            self._report,
            lambda: {report.upstream for report in reports.all()},
        )
        self._reported: frozenset[str] = frozenset()
        self._culprits: frozenset[str] = frozenset()
        self._completed: OrderedDict[str, None] = OrderedDict()
        reports.on_new_reports(self._process_new_reports)
        self._update_culprits()

    async def stop(self) -> None:
        """Cancel the crash checks in progress."""
        await self._detector.stop()

    def refusal(self, call: Call, attempt: Attempt) -> Refusal | None:
        """Return the refusal of a call that may not be sent now."""
        if call.fingerprint in self._culprits:
            return CRASHING_REQUEST
        verdict = self._parts.check(call)
        if verdict == "refused":
            return CRASHING_REQUEST
        if verdict == "doubtful":
            return suspected(attempt, call, self._clock.monotonic())
        return None

    def may_go_on(self, call: Call) -> bool:
        """Return whether a generation may go on at another upstream."""
        if call.fingerprint in self._culprits:
            return False
        return self._parts.may_go_on(call)

    def is_trial(self, call: Call) -> bool:
        """Return whether a call is sent to learn about its parts."""
        return self._parts.is_trial(call)

    def limit(self, call: Call) -> AbstractAsyncContextManager[None]:
        """Raise `TimeoutError` if a call that has not begun is to end.

        A part of its prompt was found to crash upstreams.
        """
        return self._parts.limit(call)

    async def has_crashed(self, upstream: Upstream) -> bool:
        """Return whether an upstream that broke off a call has crashed."""
        return await self._detector.has_crashed(upstream.name)

    def record_run(self, call: Call) -> None:
        """Record that an upstream runs a request and does not crash."""
        self._parts.record_run(call)

    def record_completed(self, call: Call) -> None:
        """Record that an upstream completed a request."""
        self.record_run(call)
        self._completed[call.fingerprint] = None
        self._completed.move_to_end(call.fingerprint)
        if len(self._completed) > MAX_COMPLETED:
            self._completed.popitem(last=False)
        if call.fingerprint in self._reported:
            self._reports.report_completed(call.fingerprint)

    def check_broken_call(
        self,
        call: Call,
        upstream: Upstream,
        *,
        had_output: bool,
        has_begun: bool = False,
    ) -> None:
        """Check whether an upstream that broke off a call has crashed."""
        self._detector.check_broken_call(
            call, upstream, had_output=had_output, has_begun=has_begun
        )

    def _report(self, crashed: BrokenCall) -> None:
        self._reports.report_crash(
            crashed.fingerprint,
            crashed.upstream,
            had_output=crashed.had_output,
        )
        self._parts.record_crash(crashed)

    def _process_new_reports(self, reports: Iterable[CrashReport]) -> None:
        for report in reports:
            if report.upstream and report.fingerprint in self._completed:
                self._reports.report_completed(report.fingerprint)
        self._update_culprits()

    def discard_expired(self) -> None:
        """Discard expired reports; called every second."""
        self._parts.discard_expired()
        if self._reported:
            self._update_culprits()

    def _update_culprits(self) -> None:
        reports = self._reports.all()
        self._reported = frozenset(report.fingerprint for report in reports)
        before = self._culprits
        self._culprits = _find_reported_culprits(reports)
        for fingerprint in self._culprits - before:
            log.bind(fingerprint=fingerprint).warning(
                "refusing a request that crashes upstreams"
            )
        for fingerprint in before - self._culprits:
            log.bind(fingerprint=fingerprint).info(
                "no longer refusing a request"
            )


def _find_reported_culprits(reports: Iterable[CrashReport]) -> frozenset[str]:
    """Return the fingerprints of the culprits according to `reports`."""
    upstreams: dict[str, set[str]] = defaultdict(set)
    before_output: dict[str, int] = defaultdict(int)
    completed: set[str] = set()
    for report in reports:
        if not report.upstream:
            completed.add(report.fingerprint)
            continue
        upstreams[report.fingerprint].add(report.upstream)
        before_output[report.fingerprint] += not report.had_output
    histories = {
        fingerprint: CrashHistory(
            frozenset(crashed), before_output[fingerprint]
        )
        for fingerprint, crashed in upstreams.items()
    }
    return find_culprits(histories, completed)
