"""Execution of one request, from admission to its outcome."""

from __future__ import annotations

import asyncio

from loguru import logger

from balsamlift.exceptions import RefusedError
from balsamlift.requests._dependencies import Dependencies
from balsamlift.requests._dispatch import Dispatch
from balsamlift.requests._engine import run_on_engines
from balsamlift.requests._execution import Execution
from balsamlift.requests._keys import Home
from balsamlift.requests._messages import RequestBody
from balsamlift.requests._registry import ExecutionRegistry
from balsamlift.requests._request_settings import (
    RequestSettings,
    resolve_settings,
    to_placement_request,
)
from balsamlift.requests._service_call import run_on_services
from balsamlift.streams import REFUSED, UNKNOWN, WHOLE, Accepted, Outcome

log = logger.bind(part="requests")


class Runner:
    """Run requests that this host may dispatch."""

    def __init__(self, dependencies: Dependencies, home: Home) -> None:
        """Start without any running requests."""
        self._dependencies = dependencies
        self._home = home
        self.registry = ExecutionRegistry(dependencies)

    def resolve_settings(self, body: RequestBody) -> RequestSettings:
        """Return the settings of a new request.

        Raises `RequestError` for errors in the request itself and
        `RefusedError` if there is no memory for answers or no preset.
        """
        request_settings = resolve_settings(self._dependencies, body)
        self.registry.check_capacity()
        return request_settings

    def begin(
        self,
        execution: Execution,
        body: RequestBody,
        request_settings: RequestSettings,
    ) -> None:
        """Run a request in a new task."""
        self.registry.add(execution)
        execution.may_be_abandoned = request_settings.idempotent
        run = self.run(execution, body, request_settings)
        execution.task = asyncio.ensure_future(run)

    async def run(
        self,
        execution: Execution,
        body: RequestBody,
        request_settings: RequestSettings,
    ) -> None:
        """Run a request to its outcome."""
        try:
            outcome = await self._admit_and_run(
                execution, body, request_settings
            )
        except RefusedError as error:
            outcome = refused_outcome(error)
        except asyncio.CancelledError:
            self.finish(execution, _cancelled_outcome(execution))
            raise
        except Exception as error:
            log.exception("A request failed with an internal error.")
            reason = f"internal_{type(error).__name__}"
            outcome = execution.fail(reason, UNKNOWN)
        self.finish(execution, outcome)

    def finish(self, execution: Execution, outcome: Outcome) -> None:
        """Record the outcome in the execution, metrics and timeline."""
        self.registry.add(execution)
        execution.finish(outcome, self._dependencies.clock.monotonic())
        self._dependencies.metrics.count(f"requests.{outcome.outcome}")
        self._dependencies.timeline.record(
            "outcome",
            request=execution.key,
            outcome=outcome.outcome,
            reason=outcome.reason,
            tokens=outcome.tokens,
        )

    async def _admit_and_run(
        self,
        execution: Execution,
        body: RequestBody,
        request_settings: RequestSettings,
    ) -> Outcome:
        dependencies = self._dependencies
        placement_request = to_placement_request(body, request_settings)
        ticket = await dependencies.placement.admit(placement_request)
        dispatch = Dispatch(
            dependencies=dependencies,
            execution=execution,
            body=body,
            ticket=ticket,
            model=request_settings.model,
            idempotent=request_settings.idempotent,
            max_tokens=placement_request.max_tokens,
            priority=placement_request.priority,
            deadline_s=dependencies.clock.monotonic()
            + placement_request.deadline_ms / 1_000,
        )
        self._accept(dispatch, request_settings)
        run = (
            run_on_services if request_settings.on_services else run_on_engines
        )
        outcome = await run(dispatch)
        if outcome.outcome == WHOLE:
            dependencies.placement.finish(ticket, outcome.tokens)
        return outcome

    def _accept(
        self, dispatch: Dispatch, request_settings: RequestSettings
    ) -> None:
        generation = request_settings.in_force.generation
        accepted = Accepted(
            key=dispatch.execution.key,
            home=self._home.host,
            preset_generation=generation,
        )
        dispatch.execution.accept(accepted)
        dispatch.record(
            "accepted",
            workspace=dispatch.body.workspace,
            preset_generation=generation,
        )


def refused_outcome(error: RefusedError) -> Outcome:
    """Return the outcome of a request that was refused and did not run."""
    return Outcome(
        outcome=REFUSED,
        reason=error.reason,
        retry_after_ms=error.retry_after_ms,
    )


def _cancelled_outcome(execution: Execution) -> Outcome:
    if not execution.dispatched:
        return Outcome(outcome=REFUSED, reason="cancelled")
    if execution.start is None:
        return execution.fail("cancelled", UNKNOWN)
    return execution.fail("cancelled")
