"""The service that follows the log and provides the preset in force."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from loguru import logger

from balsamlift._back_off import BackOff
from balsamlift._http import HttpClient
from balsamlift._tasks import start_task
from balsamlift.clock import Clock
from balsamlift.exceptions import LogUnavailableError, OffsetGapError
from balsamlift.kernel import Kernel
from balsamlift.operators import OperatorsServer
from balsamlift.presets._change_notifier import ChangeNotifier
from balsamlift.presets._checkpointer import Checkpointer
from balsamlift.presets._claimant import Claimant, ClaimResult
from balsamlift.presets._claims import ClaimBounds
from balsamlift.presets._log import LogClient
from balsamlift.presets._peer_state_fetcher import (
    PeerStateFetcher,
    encode_state,
)
from balsamlift.presets._reader import Reader
from balsamlift.presets._records import Record
from balsamlift.presets._routes import preset_routes
from balsamlift.presets._state import FoldState, LeaseInForce, PresetInForce
from balsamlift.timeline import Timeline

log = logger.bind(part="presets")

READ_WAIT_MS = 2_000
PEER_POLL_INTERVAL_S = 1.0
RETENTION_MS = 600_000


class Presets:
    """Follow the log in a background task; ask peers if it is unreadable."""

    name = "presets"

    def __init__(
        self,
        host: str,
        clock: Clock,
        http: HttpClient,
        *,
        retention_ms: int = RETENTION_MS,
        claim_bounds: ClaimBounds | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Set up the service; `start` looks up what it depends on.

        `host` names the host incarnation that claims keys; `retention_ms`
        is the minimum time for which the log keeps a record.
        """
        self._host = host
        self._clock = clock
        self._http = http
        self._retention_ms = retention_ms
        self._claim_bounds = claim_bounds
        self._rng = rng or random.Random()
        self._notifier = ChangeNotifier()
        self._callbacks: list[Callable[[], None]] = []
        self._back_off = BackOff(self._rng)
        self._next_read_s = 0.0
        self._announced_generation = 0
        self._caught_up = False
        self._task: asyncio.Task[None] | None = None

    async def start(self, kernel: Kernel) -> None:
        """Look up the log and start to follow it."""
        self._log = kernel.find("log", LogClient)
        self._timeline = kernel.find("timeline", Timeline)
        self._reader = Reader(self._log, self._claim_bounds)
        self._peer_state_fetcher = PeerStateFetcher(
            kernel, self._http, self._rng
        )
        self._checkpointer = Checkpointer(
            self._log,
            self._timeline,
            self._clock,
            self._rng,
            self._retention_ms,
        )
        self._claimant = Claimant(
            self._log,
            self._reader,
            self._notifier,
            self._host,
            self._retry_after_ms,
        )
        operators = kernel.find("operators", OperatorsServer)
        operators.add_routes(preset_routes(self))
        self._task = start_task("preset log", self._follow, self._clock)

    async def stop(self) -> None:
        """Stop following the log and cancel a checkpoint in progress."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        await self._checkpointer.stop()

    @property
    def state(self) -> FoldState:
        """Return the state folded so far; callers must not modify it."""
        return self._reader.state

    @property
    def offset(self) -> int:
        """Return the next offset to fold; all before it are folded."""
        return self.state.offset

    @property
    def caught_up(self) -> bool:
        """Return whether this host ever had a complete state of the log.

        True once it has read to the end of the log, or has a state that a
        peer supplied or confirmed while the log could not be read.
        """
        return self._caught_up

    @property
    def log_is_up(self) -> bool:
        """Return whether the last read of the log succeeded."""
        return self._back_off.limit_ms == 0

    def in_force(self) -> PresetInForce | None:
        """Return the preset in force, or None before the first switch."""
        return self.state.in_force

    def lease(self) -> LeaseInForce | None:
        """Return the lease in force on the log, even if it has expired."""
        return self.state.lease

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call `callback` whenever a new generation comes into force."""
        self._callbacks.append(callback)

    async def wait_until_folded(
        self, offset: int, timeout_s: float | None = None
    ) -> bool:
        """Wait until the entry at `offset` is folded; False on timeout."""
        return await self._notifier.wait_until(
            lambda: self.offset > offset, timeout_s
        )

    def encoded_state(self, offset: int = 0) -> bytes | None:
        """Return the state as MessagePack, or None if not beyond `offset`."""
        if self.offset <= offset:
            return None
        return encode_state(self.state)

    async def append(self, record: Record) -> int:
        """Append a record and return its offset.

        It takes effect only once it is folded. Raises `LogUnavailableError`.
        """
        [offset] = await self._log.append([record])
        return offset

    async def claim(self, key: str) -> ClaimResult:
        """Claim a key that names no host and return who claimed it first.

        Raises `RefusedError` (this call did not claim the key; retry
        later), `KeyFormatError` and `KeyTooOldError` (the request of the key
        may have run already).
        """
        return await self._claimant.claim(key)

    async def _follow(self) -> None:
        while True:
            if self._clock.monotonic() >= self._next_read_s:
                await self._read()
            if not self.log_is_up or self._lacks_checkpoint():
                await self._ask_peers()
                pause_s = self._rng.uniform(0.5, 1.0) * PEER_POLL_INTERVAL_S
                await self._clock.sleep(pause_s)

    async def _read(self) -> None:
        wait_ms = READ_WAIT_MS if self.log_is_up else 0
        try:
            await self._reader.poll(wait_ms)
        except (LogUnavailableError, OffsetGapError) as error:
            self._note_log_down(str(error))
            return
        self._note_log_up()
        if self._reader.is_up_to_date:
            self._caught_up = True
            self._checkpointer.append_if_due(self._reader)
        self._notify_changes()

    def _lacks_checkpoint(self) -> bool:
        """Return whether the log has no checkpoint to continue from."""
        return self._reader.scanning and self._reader.at_end

    async def _ask_peers(self) -> None:
        answered, state = await self._peer_state_fetcher.fetch(self.offset)
        if state is not None and self._reader.adopt(state):
            log.info("Adopted the state of a peer at offset {}.", state.offset)
        if answered and self.offset > 0 and not self._lacks_checkpoint():
            self._caught_up = True
        self._notify_changes()

    def _notify_changes(self) -> None:
        """Wake waiting tasks; call the callbacks for a new generation."""
        self._notifier.notify()
        in_force = self.in_force()
        if (
            in_force is None
            or in_force.generation == self._announced_generation
        ):
            return
        self._announced_generation = in_force.generation
        log.info(
            "Preset {} is in force as generation {}.",
            in_force.name,
            in_force.generation,
        )
        self._timeline.record(
            "preset_in_force",
            preset=in_force.name,
            generation=in_force.generation,
            offset=in_force.offset,
        )
        for callback in self._callbacks:
            callback()

    def _note_log_down(self, reason: str) -> None:
        if self.log_is_up:
            log.warning("Cannot read the log: {}.", reason)
            self._timeline.record("log_down", reason=reason)
        delay_s = self._back_off.failed()
        self._next_read_s = self._clock.monotonic() + delay_s

    def _note_log_up(self) -> None:
        if not self.log_is_up:
            log.info("The log is readable again.")
            self._timeline.record("log_up")
        self._back_off.succeeded()

    def _retry_after_ms(self) -> int:
        """Return the time until the log may be available; 0 if it is."""
        return max(self._back_off.limit_ms, self._log.retry_after_ms)
