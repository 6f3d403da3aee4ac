"""The `requests` service: accept and run requests, remember outcomes."""

from __future__ import annotations

import asyncio
import contextlib

from balsamlift._tasks import start_task
from balsamlift.exceptions import RefusedError
from balsamlift.kernel import Kernel
from balsamlift.operators import OperatorsServer
from balsamlift.requests._claimed import ClaimedRequests
from balsamlift.requests._dependencies import Dependencies
from balsamlift.requests._errors import KeyMissingError, KeyReusedError
from balsamlift.requests._execution import Execution
from balsamlift.requests._forwarder import RequestForwarder
from balsamlift.requests._handover import Handover, HandoverHandler
from balsamlift.requests._keys import Home, HomedKey, UnhomedKey, parse_key
from balsamlift.requests._messages import RequestBody
from balsamlift.requests._request_settings import authorize
from balsamlift.requests._runner import Runner, refused_outcome
from balsamlift.requests._table import KeyRetiredError, KeyTable
from balsamlift.streams import UNKNOWN, Outcome

MAINTENANCE_INTERVAL_S = 1.0
IDLE_POLL_S = 0.05


class Requests:
    """Run each request that has its home here at most once."""

    name = "requests"

    def __init__(self, dependencies: Dependencies, home: Home) -> None:
        """Start with an empty key table."""
        limits = dependencies.settings.limits
        self.dependencies = dependencies
        self.home = home
        self.table = KeyTable(
            home, dependencies.clock, limits.key_lifetime_ms, limits.keys
        )
        self.handover = Handover(dependencies, home)
        self.forwarder = RequestForwarder(dependencies)
        self.accepting = True
        self._runner = Runner(dependencies, home)
        self._claimed = ClaimedRequests(
            dependencies, home, self._runner, self.forwarder
        )
        self._maintenance: asyncio.Task[None] | None = None

    async def start(self, kernel: Kernel) -> None:
        """Start periodic maintenance; accept key tables of leaving hosts."""
        operators = kernel.find("operators", OperatorsServer)
        arguments = {"handover": self.handover}
        operators.add_routes([(r"/v1/peer/keys", HandoverHandler, arguments)])
        self._runner.registry.start()
        self._maintenance = start_task(
            "request keys", self._maintain, self.dependencies.clock
        )

    async def stop(self) -> None:
        """Cancel maintenance and all running requests."""
        if self._maintenance is not None:
            self._maintenance.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._maintenance
        await self._runner.registry.stop()

    def authorize(self, workspace: str, token: str) -> None:
        """Check that the token belongs to the workspace.

        Raises `WorkspaceUnknownError` and `TokenWrongError`.
        """
        authorize(self.dependencies, workspace, token)

    def submit(self, body: RequestBody, hops: int = 0) -> Execution:
        """Return the execution of a request, started here or at its home.

        Raises `RequestError` for errors in the request itself and
        `RefusedError` if the request did not run.
        """
        key = parse_key(body.key)
        if isinstance(key, UnhomedKey):
            return self._submit_unhomed(key, body)
        if key.home == self.home:
            return self._submit_homed(key, body)
        taken_over = self.handover.find(key, body.workspace)
        if taken_over is not None:
            return taken_over
        return self.forwarder.submit(key.home, body, hops)

    def follow(
        self,
        key_text: str,
        workspace: str,
        first_index: int,
        engine: tuple[str, str] | None,
        hops: int = 0,
    ) -> Execution:
        """Return the execution of a key, from here or from its home.

        `engine` names the upstream and the generation if the caller knows
        them. Raises `KeyMissingError`.
        """
        key = parse_key(key_text)
        if isinstance(key, UnhomedKey):
            return _require_owned(self._claimed.find(key_text), workspace)
        if key.home == self.home:
            return _require_owned(self.table.find(key), workspace)
        taken_over = self.handover.find(key, workspace)
        if taken_over is not None:
            return taken_over
        return self.forwarder.follow(
            key.home, key_text, workspace, first_index, engine, hops
        )

    async def cancel(self, key_text: str, workspace: str) -> bool:
        """Cancel a request; return whether it was cancelled.

        False if it had ended before. Raises `KeyMissingError`.
        """
        key = parse_key(key_text)
        if isinstance(key, HomedKey) and key.home != self.home:
            return await self.forwarder.cancel(key.home, key_text, workspace)
        execution = self._find_own(key, workspace)
        if execution.task is not None and execution.outcome is None:
            execution.task.cancel()
            await asyncio.gather(execution.task, return_exceptions=True)
        outcome = execution.outcome
        return outcome is not None and outcome.reason == "cancelled"

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is running or being read.

        Returns whether that happened within `timeout_s`.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while self._is_busy():
                    await self.dependencies.clock.sleep(IDLE_POLL_S)
        except TimeoutError:
            return False
        return True

    async def hand_over(self) -> None:
        """Stop accepting keys and send the key table to one successor."""
        self.accepting = False
        await self.handover.send(
            self.table.executions(), self.table.oldest_epoch
        )

    def _is_busy(self) -> bool:
        return self._runner.registry.is_busy() or self.forwarder.is_busy()

    def _find_own(
        self, key: HomedKey | UnhomedKey, workspace: str
    ) -> Execution:
        if isinstance(key, HomedKey):
            return _require_owned(self.table.find(key), workspace)
        return _require_owned(self._claimed.find(key.text), workspace)

    def _submit_homed(self, key: HomedKey, body: RequestBody) -> Execution:
        execution = self.table.find(key)
        if execution is not None:
            return _require_same_request(execution, body)
        execution = Execution(body.key, body.workspace, body)
        try:
            self.table.check_accepts(key)
        except KeyRetiredError:
            outcome = Outcome(outcome=UNKNOWN, reason="key_retired")
            execution.finish(outcome, self.dependencies.clock.monotonic())
            return execution
        self._check_accepting()
        try:
            request_settings = self._runner.resolve_settings(body)
        except RefusedError as error:
            # Recorded, so that a late duplicate is refused as well.
            self.table.add(key, execution)
            self._runner.finish(execution, refused_outcome(error))
            return execution
        self.table.add(key, execution)
        self._runner.begin(execution, body, request_settings)
        return execution

    def _submit_unhomed(self, key: UnhomedKey, body: RequestBody) -> Execution:
        execution = self._claimed.find(key.text)
        if execution is not None:
            return _require_same_request(execution, body)
        self._check_accepting()
        return self._claimed.submit(body)

    def _check_accepting(self) -> None:
        if not self.accepting:
            # Need not be recorded: this incarnation accepts no more keys.
            raise RefusedError("leaving", 0)

    async def _maintain(self) -> None:
        while True:
            self.dependencies.peers.set_key_prefix(self.table.prefix)
            self.dependencies.metrics.gauge("requests.keys", len(self.table))
            self._claimed.forget_old()
            self.handover.forget_old()
            await self.dependencies.clock.sleep(MAINTENANCE_INTERVAL_S)


def _require_owned(execution: Execution | None, workspace: str) -> Execution:
    if execution is None or execution.workspace != workspace:
        raise KeyMissingError("no such request")
    return execution


def _require_same_request(
    execution: Execution, body: RequestBody
) -> Execution:
    _require_owned(execution, body.workspace)
    if execution.body_digest != body.digest():
        raise KeyReusedError("this key belongs to another request")
    return execution
