"""Send a generation to an engine whose memory is reserved for it."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import attrs
from loguru import logger

from balsamlift.exceptions import (
    UpstreamBrokenError,
    UpstreamRestrictedError,
    UpstreamUnreachableError,
)
from balsamlift.peers import Upstream
from balsamlift.relay._admission import Admission
from balsamlift.relay._attempt import Attempt
from balsamlift.relay._count_keys import prefill_key
from balsamlift.relay._exchange import Reply
from balsamlift.relay._refusals import give_up
from balsamlift.relay._request import Call, Refusal
from balsamlift.relay.crashes import CRASHING_REQUEST
from balsamlift.relay.generations._backup import Backup
from balsamlift.relay.generations._generation_context import GenerationContext
from balsamlift.relay.generations._job import Job
from balsamlift.relay.generations._memory_allocator import MemoryReservation

log = logger.bind(part="generations")

GATEWAY_TIMEOUT = 504  # from an engine, at the caller's deadline


@attrs.frozen
class StartedGeneration:
    """An engine's response and the memory reserved for the generation."""

    reply: Reply
    reservation: MemoryReservation
    reserved_s: float  # monotonic
    backup: Backup

    @property
    def has_failed(self) -> bool:
        """Return whether another engine might have served the request."""
        status = self.reply.head.status
        return (
            self.reply.disposition == "failure" and status != GATEWAY_TIMEOUT
        )

    def release(self) -> None:
        """Release the memory, also that of the backup."""
        self.reservation.release()
        self.backup.release()


class Sender:
    """Sends generations, each with an engine for its backup."""

    def __init__(
        self, context: GenerationContext, admission: Admission
    ) -> None:
        """Send only what `admission` still allows."""
        self._context = context
        self._admission = admission

    def refusal(self, call: Call, attempt: Attempt) -> Refusal | None:
        """Return the refusal of a call that may not be sent any more."""
        if not self._admission.still_allows(call):
            return give_up(attempt, "configuration changed", 0)
        return self._context.crash_guard.refusal(call, attempt)

    async def send(
        self,
        job: Job,
        attempt: Attempt,
        reservation: MemoryReservation,
        extra: Sequence[tuple[str, str]] = (),
    ) -> StartedGeneration | Refusal:
        """Return the engine's response; release the memory if it has none."""
        reserved_s = asyncio.get_running_loop().time()
        backup = Backup(self._context, job)
        backup.choose(reservation.upstream)
        self._log_placed(job.call, reservation, backup)
        pending_prefill = MemoryReservation(
            self._context.balancer,
            reservation.upstream,
            job.estimate.prompt_tokens,
            prefill_key,
        )
        reading = self._context.allocator.reading
        unread_tokens = reading.unread_tokens(reservation.upstream.name)
        try:
            result = await self._send(
                job.call,
                attempt,
                reservation.upstream,
                [*backup.headers(), *extra],
            )
        except BaseException:
            reservation.release()
            backup.release()
            raise
        finally:
            pending_prefill.release()
        if isinstance(result, Reply):
            if result.is_success:
                took_s = asyncio.get_running_loop().time() - reserved_s
                reading.record(job.scope.pool, unread_tokens, took_s * 1_000)
            return StartedGeneration(result, reservation, reserved_s, backup)
        reservation.release()
        backup.release()
        return result

    def _log_placed(
        self, call: Call, reservation: MemoryReservation, backup: Backup
    ) -> None:
        waited_s = asyncio.get_running_loop().time() - call.request.arrived_s
        balancer = self._context.balancer
        upstream = reservation.upstream.name
        log.bind(
            request=call.request_id,
            upstream=upstream,
            priority=call.priority,
            workspace=call.workspace.name if call.workspace else "",
            tokens=reservation.tokens,
            load=balancer.load(upstream),  # including this call
            unread=balancer.load(prefill_key(upstream)),  # excluding this call
            counts=balancer.counts_basis,
            backup=backup.upstream,
            waited_ms=round(waited_s * 1_000),
            expected_wait_ms=reservation.expected_wait_ms,
            **self._context.paces.describe(reservation.upstream),
        ).info("placed")

    async def _send(
        self,
        call: Call,
        attempt: Attempt,
        upstream: Upstream,
        extra: list[tuple[str, str]],
    ) -> Reply | Refusal:
        balancer = self._context.balancer
        try:
            async with self._context.crash_guard.limit(call):
                reply = await self._context.exchange.send(
                    call, attempt, upstream, extra
                )
        except TimeoutError:  # a part of its prompt was blocked meanwhile
            return CRASHING_REQUEST
        except UpstreamRestrictedError as error:
            return give_up(attempt, f"engine {error.restriction}")
        except (UpstreamUnreachableError, UpstreamBrokenError) as error:
            backoff_s = balancer.eject(upstream.name)
            log.bind(
                request=call.request_id,
                upstream=upstream.name,
                out_ms=round(backoff_s * 1_000),
                may_have_run=attempt.may_have_run,
            ).warning("ejected: {}", error)
            if isinstance(error, UpstreamBrokenError):
                self._context.crash_guard.check_broken_call(
                    call, upstream, had_output=False
                )
            return give_up(attempt, "engine gave no answer")
        if reply.disposition == "not_executed":
            reply.connection.close()
            balancer.abandon_trial(upstream.name)
            log.bind(
                request=call.request_id,
                upstream=upstream.name,
                status=reply.head.status,
                load=balancer.load(upstream.name),
            ).info("engine refused")
            return give_up(attempt, "engines full")
        return reply
