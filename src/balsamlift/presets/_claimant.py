"""Claim keys without a home through the log."""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal

import attrs

from balsamlift.exceptions import (
    KeyFormatError,
    KeyTooOldError,
    LogBlockedError,
    LogUnavailableError,
    RefusedError,
    RequestError,
)
from balsamlift.presets._claims import created_ms
from balsamlift.presets._log import LogClient
from balsamlift.presets._progress import Progress
from balsamlift.presets._reader import Reader
from balsamlift.presets._records import Claim, new_operation

CLAIM_WAIT_S = 5.0
RETRY_LEAST_MS = 200
NOT_FOLDED_RETRY_MS = 5_000
ABANDONED_KEPT = 10_000


@attrs.frozen
class ClaimResult:
    """Tell who may run a key; `host` is the winner, true if it is us."""

    state: Literal["won", "lost"]
    host: str
    offset: int

    def __bool__(self) -> bool:
        """Return whether this call may run the key."""
        return self.state == "won"


class Claimant:
    """Claim keys for one host incarnation."""

    def __init__(
        self,
        client: LogClient,
        reader: Reader,
        progress: Progress,
        host: str,
        retry_after_ms: Callable[[], int],
    ) -> None:
        """`retry_after_ms` tells when the log may be back; 0: it is up."""
        self._log = client
        self._reader = reader
        self._progress = progress
        self._host = host
        self._retry_after_ms = retry_after_ms
        self._abandoned: dict[str, None] = {}

    async def claim(self, key: str) -> ClaimResult:
        """Return who claimed a key first.

        Raises `RefusedError` when this call did not win and nothing is
        known of the key, `KeyFormatError`, and `KeyTooOldError`.
        """
        key_ms = created_ms(key)
        if key_ms is None:
            raise KeyFormatError(key)
        self._check_complete(key_ms)
        if self._reader.claims.winner(key) is not None:
            return self._result(key, "")
        self._check_open(key, key_ms)
        claim = Claim(new_operation(), key, self._host)
        try:
            return await self._append_and_read(claim, key_ms)
        except RefusedError:
            self._abandon(claim.op)
            raise

    async def _append_and_read(self, claim: Claim, key_ms: int) -> ClaimResult:
        """Append, then read on until the key has a winner."""
        key = claim.key
        offset = await self._append(claim)
        await self._progress.wait_until(
            lambda: self._is_settled(key, offset), CLAIM_WAIT_S
        )
        # Again: this host may have missed records meanwhile, and with them
        # an earlier claim.
        self._check_complete(key_ms)
        if self._reader.claims.winner(key) is not None:
            return self._result(key, claim.op)
        if offset is not None and self._reader.state.offset > offset:
            raise self._void(key, key_ms)
        raise RefusedError("log_down", self._later_ms())

    def _check_complete(self, key_ms: int) -> None:
        """Refuse while a claim of a key of that time may be unknown."""
        if not self._reader.claims.is_complete_for(key_ms):
            raise RefusedError("claims_not_folded", NOT_FOLDED_RETRY_MS)

    def _check_open(self, key: str, key_ms: int) -> None:
        """Refuse what would be void or could not be appended."""
        if self._reader.claims.is_too_old(key_ms):
            raise KeyTooOldError(key)
        if self._retry_after_ms() > 0 or not self._reader.follows:
            raise RefusedError("log_down", self._later_ms())

    async def _append(self, claim: Claim) -> int | None:
        """Append; return the offset, or None when the answer is lost."""
        try:
            [offset] = await self._log.append([claim])
        except LogBlockedError as error:
            raise RefusedError("log_down", error.retry_after_ms) from error
        except LogUnavailableError:
            return None
        return offset

    def _is_settled(self, key: str, offset: int | None) -> bool:
        if self._reader.claims.winner(key) is not None:
            return True
        return offset is not None and self._reader.state.offset > offset

    def _result(self, key: str, op: str) -> ClaimResult:
        winner = self._reader.claims.winner(key)
        assert winner is not None
        won = winner.op == op
        if winner.op in self._abandoned:  # refused before: it never ran
            del self._abandoned[winner.op]
            won = True
        state: Literal["won", "lost"] = "won" if won else "lost"
        return ClaimResult(state, winner.host, winner.offset)

    def _void(self, key: str, key_ms: int) -> RequestError:
        """Return why the log's readers do not count a claim of `key`."""
        if self._reader.claims.is_too_new(key_ms):
            return KeyFormatError(key)
        return KeyTooOldError(key)

    def _abandon(self, op: str) -> None:
        self._abandoned[op] = None
        if len(self._abandoned) > ABANDONED_KEPT:
            del self._abandoned[next(iter(self._abandoned))]

    def _later_ms(self) -> int:
        return max(self._retry_after_ms(), RETRY_LEAST_MS)
