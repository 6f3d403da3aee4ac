"""Execution of one request, from admission to its outcome."""

from __future__ import annotations

import asyncio

from loguru import logger

from balsamlift.exceptions import RefusedError
from balsamlift.requests._engine import run_on_engines
from balsamlift.requests._execution import Execution
from balsamlift.requests._kept import Kept
from balsamlift.requests._keys import Home
from balsamlift.requests._messages import RequestBody
from balsamlift.requests._parts import Parts
from balsamlift.requests._service_call import run_on_services
from balsamlift.requests._terms import Terms, find_terms, to_ask
from balsamlift.requests._work import Work
from balsamlift.streams import REFUSED, UNKNOWN, WHOLE, Accepted, Outcome

log = logger.bind(part="requests")


class Runner:
    """Run requests that this host may dispatch."""

    def __init__(self, parts: Parts, home: Home) -> None:
        """Start without any running requests."""
        self._parts = parts
        self._home = home
        self.kept = Kept(parts)

    def find_terms(self, body: RequestBody) -> Terms:
        """Return the terms of a new request.

        Raises `RequestError` for errors in the request itself and
        `RefusedError` if there is no memory for answers or no preset.
        """
        terms = find_terms(self._parts, body)
        self.kept.check_room()
        return terms

    def begin(
        self, execution: Execution, body: RequestBody, terms: Terms
    ) -> None:
        """Run a request in a new task."""
        self.kept.add(execution)
        execution.may_be_abandoned = terms.idempotent
        run = self.run(execution, body, terms)
        execution.task = asyncio.ensure_future(run)

    async def run(
        self, execution: Execution, body: RequestBody, terms: Terms
    ) -> None:
        """Run a request to its outcome."""
        try:
            outcome = await self._admit_and_run(execution, body, terms)
        except RefusedError as error:
            outcome = refusal(error)
        except asyncio.CancelledError:
            self.finish(execution, _cancelled(execution))
            raise
        except Exception as error:
            log.exception("A request failed with an internal error.")
            reason = f"internal_{type(error).__name__}"
            outcome = execution.fail(reason, UNKNOWN)
        self.finish(execution, outcome)

    def finish(self, execution: Execution, outcome: Outcome) -> None:
        """Record the outcome in the execution, metrics and timeline."""
        self.kept.add(execution)
        execution.finish(outcome, self._parts.clock.monotonic())
        self._parts.metrics.count(f"requests.{outcome.outcome}")
        self._parts.timeline.record(
            "outcome",
            request=execution.key,
            outcome=outcome.outcome,
            reason=outcome.reason,
            tokens=outcome.tokens,
        )

    async def _admit_and_run(
        self, execution: Execution, body: RequestBody, terms: Terms
    ) -> Outcome:
        parts = self._parts
        ask = to_ask(body, terms)
        ticket = await parts.placement.admit(ask)
        work = Work(
            parts=parts,
            execution=execution,
            body=body,
            ticket=ticket,
            model=terms.model,
            idempotent=terms.idempotent,
            max_tokens=ask.max_tokens,
            priority=ask.priority,
            deadline_s=parts.clock.monotonic() + ask.deadline_ms / 1_000,
        )
        self._accept(work, terms)
        run = run_on_services if terms.on_services else run_on_engines
        outcome = await run(work)
        if outcome.outcome == WHOLE:
            parts.placement.finish(ticket, outcome.tokens)
        return outcome

    def _accept(self, work: Work, terms: Terms) -> None:
        generation = terms.in_force.generation
        accepted = Accepted(
            key=work.execution.key,
            home=self._home.host,
            preset_generation=generation,
        )
        work.execution.accept(accepted)
        work.record(
            "accepted",
            workspace=work.body.workspace,
            preset_generation=generation,
        )


def refusal(error: RefusedError) -> Outcome:
    """Return the outcome of a request that was refused and did not run."""
    return Outcome(
        outcome=REFUSED,
        reason=error.reason,
        retry_after_ms=error.retry_after_ms,
    )


def _cancelled(execution: Execution) -> Outcome:
    if not execution.dispatched:
        return Outcome(outcome=REFUSED, reason="cancelled")
    if execution.start is None:
        return execution.fail("cancelled", UNKNOWN)
    return execution.fail("cancelled")
