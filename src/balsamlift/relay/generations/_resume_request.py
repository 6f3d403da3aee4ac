"""Ask an engine to go on with a generation whose memory it has."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from contextlib import suppress

import attrs
from loguru import logger

from balsamlift.exceptions import (
    ResponseLimitError,
    UpstreamBrokenError,
    UpstreamRestrictedError,
    UpstreamUnreachableError,
)
from balsamlift.peers import Upstream
from balsamlift.relay._attempt import Attempt
from balsamlift.relay._exchange import Reply
from balsamlift.relay._request import Resume
from balsamlift.relay.forwarding import ForwardedReply
from balsamlift.relay.generations._backup import Backup
from balsamlift.relay.generations._generation_context import GenerationContext
from balsamlift.relay.generations._job import Job
from balsamlift.relay.generations._memory_allocator import MemoryReservation

log = logger.bind(part="generations")

# An engine admits a resumed generation before all other work; one that does
# not respond within this time will not take it.
RESUME_TIMEOUT_S = 1.0
# A generation that waits longer for a permit of its next engine would be late.
MAX_RESUME_WAIT_S = 0.5
# Another host may have to wait for the engine's response too.
CARRIER_TIMEOUT_S = 1.5


@attrs.frozen
class Resumed:
    """The response of the engine that goes on with a generation."""

    reply: Reply
    is_carried: bool = False  # by another host


async def resume_at(
    context: GenerationContext,
    job: Job,
    upstream: Upstream,
    resume: Resume,
    reservation: MemoryReservation,
    backup: Backup,
) -> Resumed | None:
    """Go on at `upstream`, over another host if this one does not reach it.

    The memory reserved for the generation, and for its backup, moves along.
    """
    before = reservation.upstream.name
    backup.choose(upstream)
    reply = None
    carrier = None
    if context.forwarder.is_unreached(upstream.pool):
        carrier = await _request_carrier(context, job, resume)
    else:
        try:
            reply = await send_resume(
                context,
                job,
                upstream,
                resume.source,
                resume.last_event,
                backup.headers(),
            )
        except UpstreamUnreachableError:
            carrier = await _request_carrier(context, job, resume)
    log.bind(
        request=job.request_id,
        upstream=before,
        target=upstream.name,
        event=resume.last_event,
        source=resume.source,
        to_host=carrier.host if carrier else "",
    ).info(
        "resumed on another engine" if reply or carrier else "could not resume"
    )
    if reply is not None:
        reservation.move(upstream)
        return Resumed(reply)
    backup.release()
    if carrier is None:
        return None
    reservation.release()
    carried = Reply(upstream, carrier.connection, carrier.head, "answer")
    return Resumed(carried, is_carried=True)


async def _request_carrier(
    context: GenerationContext, job: Job, resume: Resume
) -> ForwardedReply | None:
    """Ask another host to go on at an engine that this one lost."""
    with suppress(TimeoutError):
        async with asyncio.timeout(CARRIER_TIMEOUT_S):
            return await context.forwarder.resume(job.call, resume)
    return None


async def send_resume(
    context: GenerationContext,
    job: Job,
    upstream: Upstream,
    source: str,
    last_event: int,
    extra: Sequence[tuple[str, str]],
) -> Reply | None:
    """Return the response of the engine, or None if it did not resume.

    Raises `UpstreamUnreachableError` if nothing was sent, perhaps because
    this host has lost its links.
    """
    if not context.crash_guard.may_go_on(job.call):
        return None
    if context.upstreams.is_in_evacuation(upstream):
        return None
    names = context.names
    headers = [(names.resume_source, source), *extra]
    if last_event >= 0:
        headers.append((names.last_event_id, str(last_event)))
    if not await _may_resume_at(context, upstream.name):
        return None
    permit = await context.permits.acquire(
        upstream.name, max_wait_s=MAX_RESUME_WAIT_S, is_resumed=True
    )
    if not permit.is_granted:
        return None
    await asyncio.sleep(permit.wait_s)
    # This is the same execution, stopped on one engine and resumed on the
    # other, so it is not tracked as a second send of the request.
    attempt = Attempt(is_idempotent=False)
    context.balancer.record_send(upstream)
    try:
        async with asyncio.timeout(RESUME_TIMEOUT_S):
            reply = await context.exchange.send(
                job.call, attempt, upstream, headers, path="resumed"
            )
    except ResponseLimitError:
        context.balancer.eject(upstream.name)
        return None
    except (UpstreamRestrictedError, UpstreamBrokenError, TimeoutError):
        return None
    if reply.is_success:
        return reply
    reply.connection.close()
    return None


async def _may_resume_at(context: GenerationContext, upstream: str) -> bool:
    """Return whether an engine takes a resumed generation in time.

    This waits for the end of a short time without requests.
    """
    retry_after = context.retry_after
    if retry_after.take_resume(upstream):
        return True
    wait_s = retry_after.wait_s(upstream)
    if wait_s > MAX_RESUME_WAIT_S:
        return False
    await asyncio.sleep(wait_s)
    return True
