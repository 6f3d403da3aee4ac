"""The preset in force on this host, as the log has it."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from loguru import logger

from balsamlift._back_off import BackOff
from balsamlift._http import HttpClient
from balsamlift.clock import Clock
from balsamlift.exceptions import LogUnavailableError, OffsetGapError
from balsamlift.kernel import Kernel
from balsamlift.operators import OperatorsServer
from balsamlift.presets._checkpointer import Checkpointer
from balsamlift.presets._claimant import Claimant, ClaimResult
from balsamlift.presets._claims import ClaimBounds
from balsamlift.presets._log import LogClient
from balsamlift.presets._peer_folds import PeerFolds, encode_fold
from balsamlift.presets._progress import Progress
from balsamlift.presets._reader import Reader
from balsamlift.presets._records import Record
from balsamlift.presets._routes import preset_routes
from balsamlift.presets._state import FoldState, InForce, LeaseInForce
from balsamlift.timeline import Timeline

log = logger.bind(part="presets")

READ_WAIT_MS = 2_000
ASK_PEERS_S = 1.0
RETENTION_MS = 600_000


class Presets:
    """Fold the log in one task; ask peers while it cannot be read."""

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
        """`host` names this incarnation; `retention_ms` is the log's."""
        self._host = host
        self._clock = clock
        self._http = http
        self._retention_ms = retention_ms
        self._claim_bounds = claim_bounds
        self._rng = rng or random.Random()
        self._progress = Progress()
        self._callbacks: list[Callable[[], None]] = []
        self._back_off = BackOff(self._rng)
        self._read_at_s = 0.0
        self._announced = 0  # generation
        self._caught_up = False
        self._task: asyncio.Task[None] | None = None

    async def start(self, kernel: Kernel) -> None:
        """Find the log and begin to follow it."""
        self._log = kernel.find("log", LogClient)
        self._timeline = kernel.find("timeline", Timeline)
        self._reader = Reader(self._log, self._claim_bounds)
        self._peer_folds = PeerFolds(kernel, self._http, self._rng)
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
            self._progress,
            self._host,
            self._retry_after_ms,
        )
        operators = kernel.find("operators", OperatorsServer)
        operators.add_routes(preset_routes(self))
        self._task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """End the task."""
        if self._task is None:
            return
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        await self._checkpointer.stop()

    @property
    def state(self) -> FoldState:
        """Return the state folded so far; not to be changed."""
        return self._reader.state

    @property
    def offset(self) -> int:
        """Return the next offset to fold: all before it are folded."""
        return self.state.offset

    @property
    def caught_up(self) -> bool:
        """Return whether this host has once had all that the log said.

        True from when it read to the end of the log, or took over what a
        peer knew while the log could not be read.
        """
        return self._caught_up

    @property
    def log_is_up(self) -> bool:
        """Return whether the log could be read last time."""
        return self._back_off.limit_ms == 0

    def in_force(self) -> InForce | None:
        """Return the preset in force, or None before the first switch."""
        return self.state.in_force

    def lease(self) -> LeaseInForce | None:
        """Return the lease in force by the log, however old."""
        return self.state.lease

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call `callback` whenever another generation is in force."""
        self._callbacks.append(callback)

    async def wait_offset(
        self, offset: int, timeout_s: float | None = None
    ) -> bool:
        """Wait until the entry at `offset` is folded; false: timed out."""
        return await self._progress.wait_until(
            lambda: self.offset > offset, timeout_s
        )

    def fold_bytes(self, offset: int = 0) -> bytes | None:
        """Return the state as msgpack, or None when it is no further."""
        if self.offset <= offset:
            return None
        return encode_fold(self.state)

    async def append(self, record: Record) -> int:
        """Append a record and return its offset.

        It counts only once it is folded. Raises `LogUnavailableError`.
        """
        [offset] = await self._log.append([record])
        return offset

    async def claim(self, key: str) -> ClaimResult:
        """Return who claimed a key without home first.

        Raises `RefusedError` (the key was not claimed by this call; come
        back), `KeyFormatError`, `KeyTooOldError` (it may have run).
        """
        return await self._claimant.claim(key)

    async def _follow(self) -> None:
        while True:
            if self._clock.monotonic() >= self._read_at_s:
                await self._read()
            if not self.log_is_up or self._is_stuck():
                await self._ask_peers()
                pause_s = self._rng.uniform(0.5, 1.0) * ASK_PEERS_S
                await self._clock.sleep(pause_s)

    async def _read(self) -> None:
        wait_ms = READ_WAIT_MS if self.log_is_up else 0
        try:
            await self._reader.step(wait_ms)
        except (LogUnavailableError, OffsetGapError) as error:
            self._note_log_down(str(error))
            return
        self._note_log_up()
        if self._reader.follows:
            self._caught_up = True
            self._checkpointer.consider(self._reader)
        self._announce()

    def _is_stuck(self) -> bool:
        """Return whether the log lacks what this host needs to go on."""
        return self._reader.scanning and self._reader.at_end

    async def _ask_peers(self) -> None:
        answered, state = await self._peer_folds.fetch(self.offset)
        if state is not None and self._reader.adopt(state):
            log.info("Took over a peer's fold at offset {}.", state.offset)
        if answered and self.offset > 0 and not self._is_stuck():
            self._caught_up = True
        self._announce()

    def _announce(self) -> None:
        """Tell tasks and callbacks of what was folded."""
        self._progress.notify()
        in_force = self.in_force()
        if in_force is None or in_force.generation == self._announced:
            return
        self._announced = in_force.generation
        log.info(
            "Preset {} is in force, generation {}.",
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
            log.warning("The log cannot be read: {}.", reason)
            self._timeline.record("log_down", reason=reason)
        delay_s = self._back_off.failed()
        self._read_at_s = self._clock.monotonic() + delay_s

    def _note_log_up(self) -> None:
        if not self.log_is_up:
            log.info("The log can be read again.")
            self._timeline.record("log_up")
        self._back_off.succeeded()

    def _retry_after_ms(self) -> int:
        """Return when the log may be back; 0 while it is up."""
        return max(self._back_off.limit_ms, self._log.retry_after_ms)
