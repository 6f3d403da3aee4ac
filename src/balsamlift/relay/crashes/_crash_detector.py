"""Detect whether an upstream that broke off a call has crashed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

import attrs
from loguru import logger

from balsamlift._tasks import end_task
from balsamlift.clock import Clock
from balsamlift.peers import Upstream, Upstreams
from balsamlift.relay._reaching import try_connection
from balsamlift.relay._request import Call

log = logger.bind(part="crashes")

# A crashed process may still accept connections for a short time.
CHECK_DELAY_S = 0.05
# Of which one has to accept connections; some may have crashed as well.
MAX_OTHERS = 4


@attrs.frozen
class BrokenCall:
    """Identify a call that an upstream broke off."""

    fingerprint: str
    request_id: str
    prompt_parts: tuple[str, ...]
    upstream: str
    had_output: bool
    has_begun: bool  # the head of its response was received


def _ignore(call: BrokenCall) -> None:
    del call


class CrashDetector:
    """Distinguish crashed upstreams from broken connections.

    An upstream that refuses connections after it broke off a call, while
    another accepts them, is considered crashed, unless it was leaving: then
    its end was planned.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        clock: Clock,
        on_crash: Callable[[BrokenCall], None] = _ignore,
        known_crashes: Callable[[], Collection[str]] = frozenset,
    ) -> None:
        """Pass each call that a crashed upstream broke off to `on_crash`.

        `known_crashes` returns the upstreams that are known to have crashed,
        also from other hosts.
        """
        self._known_crashes = known_crashes
        self._upstreams = upstreams
        self._clock = clock
        self._on_crash = on_crash
        # Broken calls of upstreams that are being checked, by upstream name.
        self._pending: dict[str, list[BrokenCall]] = {}
        # By upstream name, whether it has crashed.
        self._checks: dict[str, asyncio.Task[bool]] = {}

    async def stop(self) -> None:
        """Cancel the checks in progress."""
        for task in list(self._checks.values()):
            await end_task(task)

    async def has_crashed(self, upstream: str) -> bool:
        """Return the result of the check in progress; False if there is none.

        Waits for the check.
        """
        check = self._checks.get(upstream)
        return check is not None and await asyncio.shield(check)

    def check_broken_call(
        self,
        call: Call,
        upstream: Upstream,
        *,
        had_output: bool,
        has_begun: bool = False,
    ) -> None:
        """Check whether the upstream that broke off this call has crashed."""
        listed = self._upstreams.find(upstream.name)
        if listed is None or listed.state == "leaving":
            return
        broken = BrokenCall(
            call.fingerprint,
            call.request_id,
            call.prompt_parts,
            upstream.name,
            had_output,
            has_begun or had_output,
        )
        if upstream.name in self._pending:
            self._pending[upstream.name].append(broken)
            return
        self._pending[upstream.name] = [broken]
        check = asyncio.create_task(self._check(upstream))
        self._checks[upstream.name] = check
        check.add_done_callback(lambda _: self._checks.pop(upstream.name))

    async def _check(self, upstream: Upstream) -> bool:
        await self._clock.sleep(CHECK_DELAY_S)
        try:
            is_gone = await try_connection(upstream.address) == "refuses"
            reaches_others = is_gone and await self._reaches_others(upstream)
        finally:
            pending = self._pending.pop(upstream.name)
        for broken in pending if is_gone else ():
            self._report(broken, reaches_others=reaches_others)
        return reaches_others

    async def _reaches_others(self, upstream: Upstream) -> bool:
        """Return whether this host's own links are not what is broken."""
        others = self._find_others(upstream)
        answers = await asyncio.gather(
            *(try_connection(other.address) for other in others)
        )
        return not others or "accepts" in answers

    def _find_others(self, upstream: Upstream) -> list[Upstream]:
        """Return upstreams to which the links are most likely the same.

        A host may reach those of some failure domains only.
        """
        gone = {upstream.name, *self._known_crashes()}
        others = [u for u in self._upstreams.all() if u.name not in gone]
        domain = upstream.failure_domain
        near = [u for u in others if u.failure_domain == domain]
        ranked = sorted(
            near or others,
            key=lambda other: (
                other.state != "live",
                other.pool != upstream.pool,
            ),
        )
        return ranked[:MAX_OTHERS]

    def _report(self, call: BrokenCall, *, reaches_others: bool) -> None:
        bound = log.bind(
            request=call.request_id,
            fingerprint=call.fingerprint,
            upstream=call.upstream,
            had_output=call.had_output,
            has_begun=call.has_begun,
            parts=" ".join(call.prompt_parts),
        )
        if not reaches_others:
            bound.info("not taken for a crash: others refuse as well")
            return
        bound.info("upstream crashed while it ran a request")
        self._on_crash(call)
