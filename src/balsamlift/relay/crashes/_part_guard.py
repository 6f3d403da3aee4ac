"""Keep parts of prompts that crash upstreams from reaching more of them."""

from __future__ import annotations

import asyncio
import itertools
from collections import OrderedDict, defaultdict
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from typing import Literal

from loguru import logger

from balsamlift.clock import Clock
from balsamlift.metrics import Metrics
from balsamlift.peers import (
    HostRank,
    PartReport,
    PartReports,
    PartState,
    new_report,
)
from balsamlift.relay._request import Call
from balsamlift.relay.crashes._crash_detector import BrokenCall
from balsamlift.relay.crashes._survivors import Survivors
from balsamlift.relay.crashes._suspects import (
    PartCrash,
    PartHistory,
    Suspicion,
    find_suspects,
)

log = logger.bind(part="crashes")

# A part that was run within this time before a crash is not to blame for it.
RECENTLY_RUN_S = 2.0
# After a trial that crashed its upstream; each further wait is longer by
# `TRIAL_WAIT_FACTOR`.
TRIAL_WAIT_S, TRIAL_WAIT_FACTOR = 5.0, 4.0
# The hosts that may try a part double in number in this interval, as the
# first ones may have no request with it.
TURN_S = 0.25
# Requests with one suspected part tell more than those with several.
SEVERAL_SUSPECTS_WAIT_S = 1.0
MAX_TRIALS = 1_000  # that are remembered
# Time before the end of a block in which one request is tried.
LAST_TRIAL_S = 60.0

Verdict = Literal["allowed", "doubtful", "refused"]


class PartGuard:
    """Decide from the reports of all hosts which parts may run."""

    def __init__(
        self,
        reports: PartReports,
        rank_for: Callable[[str], HostRank],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Begin with the reports that this host already holds."""
        self._reports = reports
        self._rank_for = rank_for
        self._clock = clock
        self._metrics = metrics
        self._survivors = Survivors(clock)
        self._histories: dict[str, PartHistory] = {}
        self._suspects: dict[str, Suspicion] = {}
        self._blocked: dict[str, float] = {}  # when each expires
        self._tried: set[str] = set()  # whose trial has no result yet
        # Requests of this host that are tried, by id, and since when.
        self._trials: OrderedDict[str, float] = OrderedDict()
        self._waiting: dict[asyncio.Timeout, Call] = {}
        reports.on_new_reports(self._process_new_reports)
        self._update()

    def check(self, call: Call) -> Verdict:
        """Return whether a call may be sent to an upstream now.

        A call with a suspected part may become the one that is tried.
        """
        if not call.prompt_parts or not (self._blocked or self._suspects):
            return "allowed"
        blocked = [p for p in call.prompt_parts if p in self._blocked]
        if blocked:
            return self._check_blocked(call, blocked)
        suspects = [p for p in call.prompt_parts if p in self._suspects]
        if not suspects or self.is_trial(call):
            return "allowed"
        if not self._may_try(suspects):
            return "doubtful"
        self._try(call, suspects)
        return "allowed"

    def _check_blocked(self, call: Call, parts: list[str]) -> Verdict:
        """Let one request be tried before a block ends.

        If it crashes its upstream the block begins again.
        """
        ends_s = max(self._blocked[part] for part in parts)
        due_for_s = self._clock.monotonic() - (ends_s - LAST_TRIAL_S)
        if due_for_s < 0:
            return "refused"
        if self.is_trial(call):
            return "allowed"
        has_turn = all(self._has_turn(part, due_for_s) for part in parts)
        if not has_turn or not self._tried.isdisjoint(parts):
            return "refused"
        self._try(call, parts)
        return "allowed"

    def may_go_on(self, call: Call) -> bool:
        """Return whether a generation may go on at another upstream."""
        blamed = self._blocked.keys() | self._suspects.keys()
        return blamed.isdisjoint(call.prompt_parts)

    def is_trial(self, call: Call) -> bool:
        """Return whether a call is tried, to learn about its parts."""
        began_s = self._trials.get(call.request_id)
        if began_s is None:
            return False
        ttl_s = PartState.TRIED.ttl_ms / 1_000
        return self._clock.monotonic() - began_s < ttl_s

    @asynccontextmanager
    async def limit(self, call: Call) -> AsyncIterator[None]:
        """Raise `TimeoutError` if a part of the call is blocked meanwhile.

        For a call that waits at an upstream and has not begun to run.
        """
        async with asyncio.timeout(None) as timeout:
            self._waiting[timeout] = call
            try:
                yield
            finally:
                del self._waiting[timeout]

    def record_run(self, call: Call) -> None:
        """Record that an upstream has run a call without crashing."""
        self._survivors.record(call.prompt_parts)
        if not self._histories and not self._blocked:
            return
        cleared = [self._clear(part) for part in call.prompt_parts]
        self._reports.add(itertools.chain.from_iterable(cleared))

    def record_crash(self, crashed: BrokenCall) -> None:
        """Report that an upstream crashed while it ran a call."""
        was_trial = self._trials.pop(crashed.request_id, None) is not None
        state = _state_of(crashed)
        reports = [
            new_report(part, state, crashed.upstream)
            for part in crashed.prompt_parts
            if not self._survivors.is_known(part, RECENTLY_RUN_S)
        ]
        if was_trial:
            reports += [
                new_report(part, PartState.BLOCKED)
                for part in crashed.prompt_parts
                if part in self._blocked
            ]
        self._reports.add(reports)

    def discard_expired(self) -> None:
        """Discard expired reports; called every second."""
        if self._histories or self._blocked or self._tried:
            self._update()

    def _clear(self, part: str) -> list[PartReport]:
        """Return the reports that clear a part of the crashes so far."""
        reports = []
        history = self._histories.get(part)
        if history is not None:
            self._metrics.count("crashes.parts_cleared")
            log.bind(crashed_part=part, crashes=len(history.crashes)).info(
                "part cleared, a request with it was run"
            )
            reports = [
                new_report(part, PartState.SURVIVED, crash.upstream)
                for crash in history.crashes
            ]
        if part in self._blocked:
            reports.append(new_report(part, PartState.UNBLOCKED))
        return reports

    def _may_try(self, suspects: list[str]) -> bool:
        if not self._tried.isdisjoint(suspects):
            return False
        now_s = self._clock.monotonic()
        extra_s = SEVERAL_SUSPECTS_WAIT_S if len(suspects) > 1 else 0.0
        return all(
            self._has_turn(part, now_s - _trial_due_s(suspicion) - extra_s)
            for part, suspicion in self._suspects.items()
            if part in suspects
        )

    def _has_turn(self, part: str, due_for_s: float) -> bool:
        """Return whether this host is among those that may try a part."""
        if due_for_s < 0:
            return False
        return self._rank_for(part).position < 2 ** min(
            due_for_s // TURN_S, 32
        )

    def _try(self, call: Call, suspects: list[str]) -> None:
        self._metrics.count("crashes.parts_tried")
        self._trials[call.request_id] = self._clock.monotonic()
        if len(self._trials) > MAX_TRIALS:
            self._trials.popitem(last=False)
        log.bind(
            request=call.request_id, crashed_part=" ".join(suspects)
        ).info("trying a suspected part")
        self._reports.add(new_report(p, PartState.TRIED) for p in suspects)

    def _process_new_reports(self, reports: Iterable[PartReport]) -> None:
        answers = [self._answer(report) for report in reports]
        self._update()
        self._reports.add(answer for answer in answers if answer is not None)

    def _answer(self, report: PartReport) -> PartReport | None:
        """Return what this host knows of a part with a new crash."""
        if report.state > PartState.CRASHED_AFTER_HEAD:
            return None
        if self._survivors.is_known(report.part, RECENTLY_RUN_S):
            return new_report(report.part, PartState.SURVIVED, report.upstream)
        if self._survivors.is_known(report.part):
            return new_report(report.part, PartState.KNOWN)
        return None

    def _update(self) -> None:
        crashes: dict[str, list[PartCrash]] = defaultdict(list)
        known: set[str] = set()
        blocked: dict[str, float] = {}
        self._tried = set()
        for entry in self._reports.entries():
            match entry.state:
                case PartState.KNOWN:
                    known.add(entry.part)
                case PartState.TRIED:
                    self._tried.add(entry.part)
                case PartState.BLOCKED:
                    blocked[entry.part] = entry.expires_s
                case PartState.SURVIVED | PartState.UNBLOCKED:
                    pass
                case _:
                    crashes[entry.part].append(
                        PartCrash(entry.upstream, entry.made_s, entry.state)
                    )
        self._histories = {
            part: PartHistory(tuple(listed), part in known)
            for part, listed in crashes.items()
        }
        self._apply(find_suspects(self._histories), blocked)

    def _apply(
        self, suspects: dict[str, Suspicion], blocked: dict[str, float]
    ) -> None:
        for part in suspects.keys() - self._suspects.keys():
            self._log_suspicion(part, suspects[part], "suspecting a part")
        for part in self._suspects.keys() - suspects.keys():
            log.bind(crashed_part=part).info("no longer suspecting a part")
        for part in self._blocked.keys() - blocked.keys():
            log.bind(crashed_part=part).info(
                "no longer refusing requests with a part"
            )
        self._suspects = suspects
        found = blocked.keys() - self._blocked.keys()
        self._blocked = blocked
        for part in found:
            self._metrics.count("crashes.parts_blocked")
            log.bind(crashed_part=part).warning(
                "refusing requests with a part that crashes upstreams"
            )
        if found:
            self._end_waiting(found)
        self._block()

    def _block(self) -> None:
        for part, suspicion in list(self._suspects.items()):
            if suspicion.is_blocked and part not in self._blocked:
                self._log_suspicion(part, suspicion, "blocking a part")
                self._reports.report(part, PartState.BLOCKED)

    def _log_suspicion(
        self, part: str, suspicion: Suspicion, message: str
    ) -> None:
        log.bind(
            crashed_part=part,
            crashes=suspicion.crashes,
            at_head=suspicion.at_head,
            is_known=suspicion.is_known,
            upstreams=" ".join(
                crash.upstream for crash in self._histories[part].crashes
            ),
        ).info(message)

    def _end_waiting(self, parts: Iterable[str]) -> None:
        """End the calls with these parts that have not begun to run."""
        found = set(parts)
        now_s = asyncio.get_running_loop().time()
        for timeout, call in list(self._waiting.items()):
            is_ending = timeout.expired()
            if not is_ending and not found.isdisjoint(call.prompt_parts):
                timeout.reschedule(now_s)


def _state_of(crashed: BrokenCall) -> PartState:
    if crashed.had_output:
        return PartState.CRASHED_AFTER_OUTPUT
    if crashed.has_begun:
        return PartState.CRASHED_AFTER_HEAD
    return PartState.CRASHED_BEFORE_HEAD


def _trial_due_s(suspicion: Suspicion) -> float:
    """Return when a request with a suspected part may be tried."""
    failed = suspicion.failed_trials
    if failed <= 0:
        return suspicion.since_s
    return suspicion.since_s + TRIAL_WAIT_S * TRIAL_WAIT_FACTOR ** (failed - 1)
