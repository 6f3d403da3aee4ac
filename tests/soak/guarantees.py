"""Check what callers and upstreams observed against the guarantees."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import attrs

from soak.configuration import MAIN
from soak.floods import COMMENT

# Each guarantees that the request was not executed and never will be.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


def last_event(request_id: str) -> int:
    """Return the number of the last event of a request's stream."""
    return 5 + sum(request_id.encode()) % 30


@attrs.frozen(kw_only=True)
class CallerOutcome:
    """The answer that a caller received for one request."""

    request_id: str
    is_stream: bool
    is_idempotent: bool
    status: int  # 0: the connection ended before an answer
    signature: str = ""
    body: bytes = b""
    is_whole: bool = False
    names_rate_limit: bool = False  # as its upstream did
    upstream: str = ""  # whose head it is; a resumed stream keeps the first
    is_notice: bool = False  # that its upstream is leaving


@attrs.define
class GuaranteeChecker:
    """Record events and collect violated guarantees in `violations`."""

    violations: list[str] = attrs.field(factory=list)
    runs: Counter[str] = attrs.field(factory=Counter)
    resumed: Counter[str] = attrs.field(factory=Counter)
    bodies: dict[str, set[bytes]] = attrs.field(factory=dict)
    statuses: dict[str, set[int]] = attrs.field(factory=dict)
    outcomes: list[CallerOutcome] = attrs.field(factory=list)
    # Returns the number of the last event of a request's stream.
    last_event: Callable[[str], int] = last_event
    _workspaces: dict[str, str] = attrs.field(factory=dict)
    _max_runs: dict[str, int | None] = attrs.field(factory=dict)
    _refused: set[str] = attrs.field(factory=set)

    def record_run(
        self, request_id: str, workspace: str, *, has_key: bool, resumes: bool
    ) -> None:
        """Record that an upstream has begun to execute a request."""
        if resumes:
            self.resumed[request_id] += 1
        else:
            self.runs[request_id] += 1
        if workspace != self._workspaces.get(request_id, MAIN):
            self.report_violation(
                "workspace",
                request_id,
                f"arrived with workspace {workspace!r}",
            )
        if has_key:
            self.report_violation(
                "key", request_id, "reached an upstream with its API key"
            )
        if request_id in self._refused:
            self.report_violation(
                "refused", request_id, "was executed after its refusal"
            )
        self._check_runs(request_id)

    def record_request(
        self, request_id: str, workspace: str, max_runs: int | None
    ) -> None:
        """Record that a caller is about to send a request.

        Upstreams may begin it `max_runs` times; None: without a limit.
        """
        self._workspaces[request_id] = workspace
        self._max_runs[request_id] = max_runs

    def record_upstream_answer(
        self, request_id: str, status: int, body: bytes
    ) -> None:
        """Record that an upstream is sending a complete answer."""
        self.bodies.setdefault(request_id, set()).add(body)
        self.statuses.setdefault(request_id, set()).add(status)

    def check_outcome(self, outcome: CallerOutcome) -> None:
        """Check the outcome of a request against the events so far."""
        self.outcomes.append(outcome)
        if outcome.status in NOT_EXECUTED_STATUSES:
            if outcome.is_idempotent:
                return
            self._refused.add(outcome.request_id)
            if self.runs[outcome.request_id]:
                self.report_violation(
                    "refused", outcome.request_id, "was already executed"
                )
        elif outcome.signature:
            self._check_answer(outcome)
        elif 200 <= outcome.status < 300:
            self.report_violation(
                "mixed", outcome.request_id, "success without signature"
            )

    def report_violation(
        self, guarantee: str, request_id: str, description: str
    ) -> None:
        """Record a violated guarantee."""
        self.violations.append(f"{guarantee}: {request_id} {description}")

    def _check_runs(self, request_id: str) -> None:
        max_runs = self._max_runs.get(request_id, 1)
        if max_runs is not None and self.runs[request_id] > max_runs:
            self.report_violation("twice", request_id, "was executed again")

    def _check_answer(self, outcome: CallerOutcome) -> None:
        if outcome.signature != f"signed-{outcome.request_id}":
            self.report_violation(
                "mixed", outcome.request_id, f"got {outcome.signature}"
            )
        if outcome.is_stream and outcome.status == 200:
            self._check_stream(outcome)
        elif outcome.is_whole:
            if outcome.body not in self.bodies.get(outcome.request_id, set()):
                self.report_violation(
                    "mixed",
                    outcome.request_id,
                    "got a body that no upstream sent",
                )
            if outcome.status not in self.statuses.get(
                outcome.request_id, set()
            ):
                self.report_violation(
                    "mixed",
                    outcome.request_id,
                    "got a status that no upstream sent",
                )

    def _check_stream(self, outcome: CallerOutcome) -> None:
        request_id = outcome.request_id
        whole = stream_body(request_id, self.last_event(request_id))
        body = outcome.body.replace(COMMENT, b"")
        if not whole.startswith(body):
            self.report_violation(
                "order", outcome.request_id, "events out of order"
            )
        elif outcome.is_whole and body != whole:
            self.report_violation(
                "order", outcome.request_id, "ended early as if complete"
            )


def stream_event(request_id: str, number: int) -> bytes:
    """Return one encoded event of a request's stream."""
    return b"id: %d\ndata: %b-%d\n\n" % (number, request_id.encode(), number)


def stream_body(request_id: str, last: int | None = None) -> bytes:
    """Return all encoded events of a request's stream."""
    if last is None:
        last = last_event(request_id)
    return b"".join(stream_event(request_id, n) for n in range(last + 1))
