"""Requests with unhomed keys: claimed on the log, then run."""

from __future__ import annotations

import asyncio

import attrs

from balsamlift.exceptions import (
    KeyTooOldError,
    RefusedError,
    RequestError,
)
from balsamlift.requests._dependencies import Dependencies
from balsamlift.requests._execution import Execution
from balsamlift.requests._forwarder import RequestForwarder
from balsamlift.requests._keys import Home, parse_home
from balsamlift.requests._messages import RequestBody
from balsamlift.requests._request_settings import RequestSettings
from balsamlift.requests._runner import Runner, refused_outcome
from balsamlift.streams import REFUSED, UNKNOWN


class ClaimedRequests:
    """Track the requests that this host claimed or tried to claim."""

    def __init__(
        self,
        dependencies: Dependencies,
        home: Home,
        runner: Runner,
        forwarder: RequestForwarder,
    ) -> None:
        """Start without any claims."""
        self._dependencies = dependencies
        self._home = home
        self._runner = runner
        self._forwarder = forwarder
        self._executions: dict[str, Execution] = {}

    def find(self, key: str) -> Execution | None:
        """Return the execution of a key, if this host has one."""
        return self._executions.get(key)

    def submit(self, body: RequestBody) -> Execution:
        """Claim a new key and run its request, or follow the claim's holder.

        Raises `RequestError` for errors in the request itself.
        """
        # Registered before the claim is appended, so that a retry at this
        # host waits for the same claim.
        execution = Execution(body.key, body.workspace, body)
        self._executions[body.key] = execution
        self._runner.registry.add(execution)
        try:
            request_settings = self._runner.resolve_settings(body)
        except RefusedError as error:
            self._refuse(execution, body, error)
            return execution
        except RequestError:
            del self._executions[body.key]
            raise
        claimed = self._claim_and_run(execution, body, request_settings)
        execution.task = asyncio.ensure_future(claimed)
        return execution

    def forget_old(self) -> None:
        """Drop executions that ended longer ago than the key lifetime."""
        now_s = self._dependencies.clock.monotonic()
        keep_s = self._dependencies.settings.limits.key_lifetime_ms / 1_000
        for key, execution in list(self._executions.items()):
            ended = execution.outcome is not None
            if ended and now_s - execution.finished_s > keep_s:
                del self._executions[key]

    async def _claim_and_run(
        self,
        execution: Execution,
        body: RequestBody,
        request_settings: RequestSettings,
    ) -> None:
        try:
            claim = await self._dependencies.presets.claim(body.key)
        except RefusedError as error:
            self._refuse(execution, body, error)
            return
        except KeyTooOldError as error:
            outcome = execution.fail(error.code, UNKNOWN)
            self._runner.finish(execution, outcome)
            return
        except RequestError as error:
            # The key's timestamp is in the future: no host accepts it.
            outcome = execution.fail(error.code, REFUSED)
            self._runner.finish(execution, outcome)
            return
        except asyncio.CancelledError:
            # The claim may be on the log, but this host no longer
            # dispatches. Another host may have run the request after an
            # earlier attempt.
            kind = REFUSED if body.first_attempt else UNKNOWN
            outcome = execution.fail("cancelled", kind)
            self._runner.finish(execution, outcome)
            raise
        if claim:
            await self._runner.run(execution, body, request_settings)
            return
        await self._follow_claim(execution, body, claim.host)

    def _refuse(
        self, execution: Execution, body: RequestBody, error: RefusedError
    ) -> None:
        # The execution is dropped because the caller is asked to retry. If
        # the claim reached the log after all, this host still holds it
        # when the retry arrives.
        del self._executions[execution.key]
        outcome = refused_outcome(error)
        if not body.first_attempt:
            # Another host may have run it after an earlier attempt, so
            # "refused" would be wrong.
            outcome = attrs.evolve(outcome, outcome=UNKNOWN)
        self._runner.finish(execution, outcome)

    async def _follow_claim(
        self, execution: Execution, body: RequestBody, holder: str
    ) -> None:
        """Fetch the answer from the host whose claim came first."""
        home = parse_home(holder)
        if home == self._home:
            # Claimed by this incarnation, whose execution has been dropped.
            outcome = execution.fail("key_retired", UNKNOWN)
            self._runner.finish(execution, outcome)
            return
        await self._forwarder.follow_into(home, execution, body)
