"""The service `requests`: take requests, run them, remember outcomes."""

from __future__ import annotations

import asyncio
import hashlib
import hmac

import attrs
from loguru import logger

from balsamlift.exceptions import RefusedError, RequestError
from balsamlift.kernel import Kernel
from balsamlift.operators import OperatorsServer
from balsamlift.placement import Ask
from balsamlift.presets import InForce, KindPreset, WorkspacePreset
from balsamlift.requests._engine import run_on_engines
from balsamlift.requests._errors import (
    KeyMissingError,
    KeyReusedError,
    KindUnknownError,
    TokenWrongError,
    WorkspaceUnknownError,
)
from balsamlift.requests._execution import Execution
from balsamlift.requests._handover import Handover, HandoverHandler
from balsamlift.requests._keys import (
    Home,
    HomedKey,
    UnhomedKey,
    parse_home,
    parse_key,
)
from balsamlift.requests._messages import RequestBody
from balsamlift.requests._parts import Parts
from balsamlift.requests._remote import Remote
from balsamlift.requests._service_call import run_on_services
from balsamlift.requests._table import KeyRetiredError, KeyTable
from balsamlift.requests._work import Work
from balsamlift.streams import (
    REFUSED,
    UNKNOWN,
    Accepted,
    Outcome,
)

log = logger.bind(part="requests")

ANY_WORKSPACE = "*"
CHARACTERS_PER_TOKEN = 4  # a rough guess where the caller gives no count
SWEEP_S = 1.0
NO_PRESET_RETRY_MS = 1_000
ANSWERS_RETRY_MS = 2_000  # two sweeps make room where there can be any


class Requests:
    """Run every request that this host is home to, at most once."""

    name = "requests"

    def __init__(self, parts: Parts, home: Home) -> None:
        """Begin with an empty key table."""
        limits = parts.settings.limits
        self.parts = parts
        self.home = home
        self.table = KeyTable(
            home, parts.clock, limits.key_lifetime_ms, limits.keys
        )
        self.handover = Handover(parts, home)
        self.remote = Remote(parts)
        self.taking = True
        self._claimed: dict[str, Execution] = {}
        self._kept: set[Execution] = set()  # those with a body or answer
        self._answers_bytes = 0
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self, kernel: Kernel) -> None:
        """Begin to sweep; take key tables of leaving hosts."""
        operators = kernel.find("operators", OperatorsServer)
        arguments = {"handover": self.handover}
        operators.add_routes([(r"/v1/peer/keys", HandoverHandler, arguments)])
        self._tell_prefix()
        self._sweeper = asyncio.ensure_future(self._sweep_often())

    async def stop(self) -> None:
        """End every task."""
        tasks = [e.task for e in self.table.executions() if e.task]
        if self._sweeper is not None:
            tasks.append(self._sweeper)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def authorize(self, workspace: str, token: str) -> None:
        """Check that the token is the workspace's.

        Raises `WorkspaceUnknownError` and `TokenWrongError`. While no
        preset is in force nothing is served, and nothing is checked.
        """
        if self.parts.presets.in_force() is None:
            return
        preset = self._workspace(workspace)
        if not preset.token_sha256:
            return
        digest = hashlib.sha256(token.encode()).hexdigest()
        if not hmac.compare_digest(digest, preset.token_sha256):
            raise TokenWrongError("the token is not this workspace's")

    async def submit(self, body: RequestBody, hops: int = 0) -> Execution:
        """Return the execution of a request, begun here or elsewhere.

        Raises `RequestError` for what the caller must mend and
        `RefusedError` where nothing ran.
        """
        key = parse_key(body.key)
        if isinstance(key, UnhomedKey):
            return await self._submit_unhomed(key, body)
        if key.home == self.home:
            return self._submit_here(key, body)
        taken_over = self._taken_over(key, body.workspace)
        if taken_over is not None:
            return taken_over
        return self.remote.submit(key.home, body, hops)

    def follow(
        self,
        key_text: str,
        workspace: str,
        first_index: int,
        engine: tuple[str, str] | None,
        hops: int = 0,
    ) -> Execution:
        """Return the execution of a key, found here or elsewhere.

        `engine` names the upstream and the generation where the caller
        knows them. Raises `KeyMissingError`.
        """
        key = parse_key(key_text)
        if isinstance(key, UnhomedKey):
            return _owned(self._claimed.get(key_text), workspace)
        if key.home == self.home:
            return _owned(self.table.find(key), workspace)
        taken_over = self._taken_over(key, workspace)
        if taken_over is not None:
            return taken_over
        return self.remote.follow(
            key.home, key_text, workspace, first_index, engine, hops
        )

    async def cancel(self, key_text: str, workspace: str) -> None:
        """End a request of this workspace; raise `KeyMissingError`."""
        key = parse_key(key_text)
        if isinstance(key, HomedKey) and key.home != self.home:
            await self.remote.cancel(key.home, key_text, workspace)
            return
        execution = self._find_own(key, workspace)
        if execution.task is not None and execution.outcome is None:
            execution.task.cancel()
            await asyncio.gather(execution.task, return_exceptions=True)

    async def wait_idle(self, bound_s: float) -> bool:
        """Wait until nothing runs and nobody reads; return whether so."""
        try:
            async with asyncio.timeout(bound_s):
                while self._is_busy():
                    await self.parts.clock.sleep(0.05)
        except TimeoutError:
            return False
        return True

    async def hand_over(self) -> None:
        """Give the key table to one successor, once nothing is taken."""
        self.taking = False
        await self.handover.send(
            self.table.executions(), self.table.oldest_epoch
        )

    def _is_busy(self) -> bool:
        executions = [*self.table.executions(), *self._claimed.values()]
        if any(e.outcome is None or e.watchers for e in executions):
            return True
        return self.remote.is_busy()

    def _in_force(self) -> InForce:
        in_force = self.parts.presets.in_force()
        if in_force is None:
            raise RefusedError("no_preset", NO_PRESET_RETRY_MS)
        return in_force

    def _find_own(
        self, key: HomedKey | UnhomedKey, workspace: str
    ) -> Execution:
        if isinstance(key, HomedKey):
            return _owned(self.table.find(key), workspace)
        return _owned(self._claimed.get(key.text), workspace)

    def _taken_over(self, key: HomedKey, workspace: str) -> Execution | None:
        return self.handover.find(key, workspace)

    def _submit_here(self, key: HomedKey, body: RequestBody) -> Execution:
        execution = self.table.find(key)
        if execution is not None:
            return _same(execution, body)
        execution = Execution(body.key, body.workspace, body)
        try:
            self.table.check_takes(key)
        except KeyRetiredError:
            outcome = Outcome(outcome=UNKNOWN, reason="key_retired")
            execution.finish(outcome, self.parts.clock.monotonic())
            return execution
        if not self.taking:
            # Not remembered: from here on no key is taken, ever.
            raise RefusedError("leaving", 0)
        try:
            kind = self._kind(body)
        except RefusedError as error:
            # Remembered, so that a late duplicate is refused as well.
            self.table.add(key, execution)
            self._finish(execution, _refusal(error))
            return execution
        self.table.add(key, execution)
        self._begin(execution, body, kind)
        return execution

    async def _submit_unhomed(
        self, key: UnhomedKey, body: RequestBody
    ) -> Execution:
        execution = self._claimed.get(key.text)
        if execution is not None:
            return _same(execution, body)
        if not self.taking:
            raise RefusedError("leaving", 0)
        # Entered before the claim is appended: a retry at this host waits
        # for the same claim.
        execution = Execution(body.key, body.workspace, body)
        self._claimed[key.text] = execution
        self._kept.add(execution)
        try:
            kind = self._kind(body)
        except RefusedError as error:
            self._finish(execution, _refusal(error))
            return execution
        claimed = self._claim(execution, body, kind)
        execution.task = asyncio.ensure_future(claimed)
        return execution

    async def _claim(
        self, execution: Execution, body: RequestBody, kind: KindPreset
    ) -> None:
        try:
            claim = await self.parts.presets.claim(body.key)
        except RefusedError as error:
            self._finish(execution, _refusal(error))
            return
        except RequestError as error:
            self._finish(execution, execution.fail(error.code, REFUSED))
            return
        if not claim:
            await self._follow_claim(execution, body, claim.host)
            return
        await self._run(execution, body, kind)

    async def _follow_claim(
        self, execution: Execution, body: RequestBody, holder: str
    ) -> None:
        """Bring the answer from the host whose claim came first."""
        home = parse_home(holder)
        if home == self.home:
            # Claimed by this run of the daemon, and forgotten since.
            self._finish(execution, execution.fail("key_retired", UNKNOWN))
            return
        await self.remote.fill(home, execution, body)

    def _kind(self, body: RequestBody) -> KindPreset:
        preset = self._in_force().preset
        if self._answers_bytes > self.parts.settings.limits.answers_bytes:
            raise RefusedError("answers_full", ANSWERS_RETRY_MS)
        kind = preset.kinds.get(body.kind)
        if kind is None:
            raise KindUnknownError(f"no kind {body.kind!r}")
        if kind.pool not in self.parts.settings.pools:
            raise KindUnknownError(f"kind {body.kind!r} has no pool here")
        return kind

    def _begin(
        self, execution: Execution, body: RequestBody, kind: KindPreset
    ) -> None:
        self._kept.add(execution)
        run = self._run(execution, body, kind)
        execution.task = asyncio.ensure_future(run)

    async def _run(
        self, execution: Execution, body: RequestBody, kind: KindPreset
    ) -> None:
        """Take one request from admission to its outcome."""
        try:
            outcome = await self._admit_and_run(execution, body, kind)
        except RefusedError as error:
            outcome = _refusal(error)
        except asyncio.CancelledError:
            self._finish(execution, _cancelled(execution))
            raise
        except Exception as error:
            log.exception("A request ended in an error of ours.")
            reason = f"internal_{type(error).__name__}"
            outcome = execution.fail(reason, UNKNOWN)
        self._finish(execution, outcome)

    async def _admit_and_run(
        self, execution: Execution, body: RequestBody, kind: KindPreset
    ) -> Outcome:
        parts = self.parts
        in_force = self._in_force()
        ask = _ask(body, kind, self._workspace(body.workspace).weight)
        on_services = parts.settings.pools[kind.pool].kind == "service"
        if on_services:
            ask = attrs.evolve(ask, prompt_tokens=0, max_tokens=1)
        ticket = await parts.placement.admit(ask)
        work = Work(
            parts=parts,
            execution=execution,
            body=body,
            ticket=ticket,
            idempotent=_is_idempotent(body, kind),
            max_tokens=ask.max_tokens,
            priority=ask.priority,
            deadline_s=parts.clock.monotonic() + ask.deadline_ms / 1_000,
        )
        accepted = Accepted(
            key=execution.key,
            home=self.home.host,
            preset_generation=in_force.generation,
        )
        execution.accept(accepted)
        work.record(
            "accepted",
            workspace=body.workspace,
            preset_generation=in_force.generation,
        )
        run = run_on_services if on_services else run_on_engines
        try:
            return await run(work)
        finally:
            parts.placement.finished(ticket, execution.answer.next_index)

    def _workspace(self, name: str) -> WorkspacePreset:
        workspaces = self._in_force().preset.workspaces
        preset = workspaces.get(name) or workspaces.get(ANY_WORKSPACE)
        if preset is None:
            raise WorkspaceUnknownError(f"no workspace {name!r}")
        return preset

    def _finish(self, execution: Execution, outcome: Outcome) -> None:
        self._kept.add(execution)
        execution.finish(outcome, self.parts.clock.monotonic())
        self.parts.metrics.count(f"requests.{outcome.outcome}")
        self.parts.timeline.record(
            "outcome",
            request=execution.key,
            outcome=outcome.outcome,
            reason=outcome.reason,
            tokens=outcome.tokens,
        )

    async def _sweep_often(self) -> None:
        while True:
            await self.parts.clock.sleep(SWEEP_S)
            try:
                self._sweep()
            except Exception:
                # Without the sweep memory would grow without bound.
                log.exception("A sweep failed.")

    def _sweep(self) -> None:
        now_s = self.parts.clock.monotonic()
        held_bytes = 0
        for execution in list(self._kept):
            held_bytes += execution.answer.size_bytes
            if execution.outcome is None:
                self._cancel_abandoned(execution, now_s)
            elif self._is_stale(execution, now_s):
                execution.drop_answer()
                self._kept.discard(execution)
        self.parts.metrics.gauge("requests.keys", len(self.table))
        self._answers_bytes = held_bytes
        self.parts.metrics.gauge("requests.answers_bytes", held_bytes)
        self._forget_claims(now_s)
        self.handover.forget_old()
        self._tell_prefix()

    def _tell_prefix(self) -> None:
        self.parts.peers.set_key_prefix(self.table.prefix)

    def _is_stale(self, execution: Execution, now_s: float) -> bool:
        if execution.watchers:
            return False
        limits = self.parts.settings.limits
        if self._answers_bytes > limits.answers_bytes:
            return True
        return now_s - execution.finished_s > limits.answer_keep_ms / 1_000

    def _cancel_abandoned(self, execution: Execution, now_s: float) -> None:
        if execution.watchers or execution.body is None:
            execution.abandoned_s = None
            return
        if execution.abandoned_s is None:
            execution.abandoned_s = now_s
        gone_s = now_s - execution.abandoned_s
        bound_s = self.parts.settings.streams.abandon_ms / 1_000
        if gone_s < bound_s or execution.task is None:
            return
        if self._may_cancel(execution.body):
            execution.task.cancel()

    def _may_cancel(self, body: RequestBody) -> bool:
        # What may not be repeated is left to end by itself.
        in_force = self.parts.presets.in_force()
        if in_force is None or body.kind not in in_force.preset.kinds:
            return False
        return _is_idempotent(body, in_force.preset.kinds[body.kind])

    def _forget_claims(self, now_s: float) -> None:
        keep_s = self.parts.settings.limits.key_lifetime_ms / 1_000
        for text, execution in list(self._claimed.items()):
            ended = execution.outcome is not None
            if ended and now_s - execution.finished_s > keep_s:
                del self._claimed[text]


def _owned(execution: Execution | None, workspace: str) -> Execution:
    if execution is None or execution.workspace != workspace:
        raise KeyMissingError("no such request")
    return execution


def _same(execution: Execution, body: RequestBody) -> Execution:
    _owned(execution, body.workspace)
    if execution.body_digest != body.digest():
        raise KeyReusedError("this key belongs to another request")
    return execution


def _is_idempotent(body: RequestBody, kind: KindPreset) -> bool:
    # A caller may ask for more care than the preset, never for less.
    return kind.idempotent and body.idempotent is not False


def _refusal(error: RefusedError) -> Outcome:
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


def _ask(body: RequestBody, kind: KindPreset, weight: float) -> Ask:
    guess = max(1, len(body.prompt) // CHARACTERS_PER_TOKEN)
    max_tokens = min(body.max_tokens or kind.max_tokens, kind.max_tokens)
    deadline_ms = min(body.deadline_ms or kind.deadline_ms, kind.deadline_ms)
    return Ask(
        key=body.key,
        workspace=body.workspace,
        kind=body.kind,
        pool=kind.pool,
        weight=weight,
        priority=kind.priority,
        prompt_tokens=body.prompt_tokens or guess,
        prefix=body.prefix,
        max_tokens=max_tokens,
        quantile=kind.quantile,
        deadline_ms=deadline_ms,
    )
