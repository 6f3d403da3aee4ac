"""Check that a planned exit of a host loses no request of its callers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

# A host counts as exiting from its signal until this long after its grace
# period.
AFTER_GRACE_S = 1.0
# A connection on which a request was not passed on is closed within this time.
SLACK_S = 0.2
# An impairment that nobody planned excuses what is sent in this time after it.
CONTACT_S = 3.0
# Requests sent up to this long after the signal may outlast the host if their
# upstreams work in the last part of its grace period.
EXCUSED_S = 3.0
LAST_PART = 1 / 6


@attrs.define
class _Sent:
    """A request, and what its caller and its upstreams saw."""

    host: str
    began_s: float
    deadline_s: float
    sent_s: float | None = None  # its last byte
    ended_s: float = 0.0
    is_whole: bool = False
    upstreams: set[str] = attrs.field(factory=set)  # that run it now
    has_run: bool = False
    worked_until_s: float = 0.0
    is_broken: bool = False  # by an upstream


@attrs.define
class _Impairment:
    began_s: float
    ended_s: float | None = None


class ExitChecker:
    """Hold the ends of requests against the signals of their hosts."""

    def __init__(
        self,
        grace_s: float,
        report: Callable[[str, str, str], None],
        clock: Callable[[], float] | None = None,
    ) -> None:
        """Report what is lost; `clock` defaults to the loop's."""
        self._grace_s = grace_s
        self._report = report
        self._clock = clock or (lambda: asyncio.get_running_loop().time())
        self._sent: dict[str, _Sent] = {}
        self._signals: list[tuple[str, float]] = []
        self._impairments: list[_Impairment] = []

    def record_request(
        self, request_id: str, host: str, deadline_s: float
    ) -> None:
        """Record that a caller begins to send a request.

        `deadline_s` is the sooner of its deadline and its route's timeout.
        """
        now_s = self._clock()
        self._sent[request_id] = _Sent(host, now_s, now_s + deadline_s)

    def record_sent(self, request_id: str) -> None:
        """Record that a caller has sent the last byte of a request."""
        self._sent[request_id].sent_s = self._clock()

    def record_end(self, request_id: str, *, is_whole: bool) -> None:
        """Record that a caller has its answer, or none."""
        sent = self._sent[request_id]
        sent.ended_s = self._clock()
        sent.is_whole = is_whole

    def record_run(self, request_id: str, upstream: str) -> None:
        """Record that an upstream has a request."""
        sent = self._sent.get(request_id)
        if sent is not None:
            sent.has_run = True
            sent.upstreams.add(upstream)

    def record_run_end(
        self, request_id: str, upstream: str, *, is_broken: bool
    ) -> None:
        """Record that an upstream has ended or broken off its answer."""
        sent = self._sent.get(request_id)
        if sent is not None and upstream in sent.upstreams:
            sent.upstreams.discard(upstream)
            sent.worked_until_s = self._clock()
            sent.is_broken |= is_broken

    def record_upstream_end(self, upstream: str) -> None:
        """Record that an upstream has ended, with all that it ran."""
        for request_id, sent in self._sent.items():
            if upstream in sent.upstreams:
                self.record_run_end(request_id, upstream, is_broken=True)

    def record_signal(self, host: str) -> None:
        """Record that a host was asked to shut down."""
        self._signals.append((host, self._clock()))

    def begin_impairment(self) -> Callable[[], None]:
        """Record an impairment that nobody planned; return its end."""
        impairment = _Impairment(self._clock())
        self._impairments.append(impairment)

        def end() -> None:
            impairment.ended_s = self._clock()

        return end

    def check(self, lateness_s: float = 0.0) -> None:
        """Report every request that was lost.

        `lateness_s` is by how much the callers may have seen an end late.
        """
        for request_id, sent in self._sent.items():
            signal_s = self._signal_before(sent)
            if sent.is_whole or signal_s is None or sent.sent_s is None:
                continue
            if self._is_lost(sent, sent.sent_s, signal_s, lateness_s):
                self._report(
                    "lost",
                    request_id,
                    f"sent {sent.sent_s - signal_s:.2f} s after the signal to "
                    f"{sent.host}, ended without an answer at "
                    f"{sent.ended_s - signal_s:.2f} s, "
                    f"{'passed on' if sent.has_run else 'not passed on'}",
                )

    def describe(self, request_id: str) -> str:
        """Return where a request went, and how long before its end."""
        sent = self._sent[request_id]
        signals = [at_s for host, at_s in self._signals if host == sent.host]
        began = f"begun {sent.ended_s - sent.began_s:.2f} s before its end"
        whole = "not sent whole"
        if sent.sent_s is not None:
            whole = f"sent whole {sent.ended_s - sent.sent_s:.2f} s before"
        signal = "without a signal"
        if signals:
            signal = f"{sent.ended_s - signals[-1]:.2f} s after its signal"
        return f"to {sent.host}, {began}, {whole}, {signal}"

    def _signal_before(self, sent: _Sent) -> float | None:
        """Return the signal during whose exit a request has ended."""
        for host, signal_s in reversed(self._signals):
            until_s = signal_s + self._grace_s + AFTER_GRACE_S
            if host == sent.host and signal_s <= sent.ended_s <= until_s:
                return signal_s
        return None

    def _is_lost(
        self, sent: _Sent, sent_s: float, signal_s: float, lateness_s: float
    ) -> bool:
        if sent.is_broken or sent.ended_s >= sent.deadline_s:
            return False
        if any(self._excuses(each, sent) for each in self._impairments):
            return False
        if not sent.has_run:
            return sent.ended_s - sent_s > SLACK_S + lateness_s
        last_part_s = signal_s + self._grace_s * (1 - LAST_PART)
        was_at_work = bool(sent.upstreams) or (
            sent.worked_until_s >= last_part_s
        )
        is_early = sent_s <= signal_s + EXCUSED_S
        return not (is_early and was_at_work and sent.ended_s >= last_part_s)

    def _excuses(self, impairment: _Impairment, sent: _Sent) -> bool:
        ended_s = impairment.ended_s
        has_ended = ended_s is not None and ended_s < sent.began_s - CONTACT_S
        return impairment.began_s <= sent.ended_s and not has_ended
