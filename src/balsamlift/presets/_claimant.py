"""Claim request keys that name no host, through the log."""

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
from balsamlift.presets._change_notifier import ChangeNotifier
from balsamlift.presets._claims import created_ms
from balsamlift.presets._log import LogClient
from balsamlift.presets._reader import Reader
from balsamlift.presets._records import Claim, new_operation_id

CLAIM_WAIT_S = 5.0
MIN_RETRY_MS = 200
NOT_FOLDED_RETRY_MS = 5_000
MAX_ABANDONED_CLAIMS = 10_000


@attrs.frozen
class ClaimResult:
    """Hold the outcome of a claim.

    `host` made the winning claim; the result is true if this call won.
    """

    state: Literal["won", "lost"]
    host: str
    offset: int

    def __bool__(self) -> bool:
        """Return whether this call may run the request of the key."""
        return self.state == "won"


class Claimant:
    """Claim keys for one host incarnation."""

    def __init__(
        self,
        client: LogClient,
        reader: Reader,
        notifier: ChangeNotifier,
        host: str,
        retry_after_ms: Callable[[], int],
    ) -> None:
        """Start with no abandoned claim.

        `retry_after_ms` returns the time until the log may be available
        again; 0 while it is available.
        """
        self._log = client
        self._reader = reader
        self._notifier = notifier
        self._host = host
        self._retry_after_ms = retry_after_ms
        self._abandoned: dict[str, None] = {}

    async def claim(self, key: str) -> ClaimResult:
        """Claim a key and return who claimed it first.

        Raises `RefusedError` when this call did not win and no winner is
        known, `KeyFormatError` when the key has no valid creation time, and
        `KeyTooOldError` when claims of that age are no longer kept.
        """
        key_ms = created_ms(key)
        if key_ms is None:
            raise KeyFormatError(key)
        self._check_claims_complete(key_ms)
        if self._reader.claims.winner(key) is not None:
            return self._result(key, "")
        self._check_claimable(key, key_ms)
        claim = Claim(new_operation_id(), key, self._host)
        try:
            return await self._append_and_read(claim, key_ms)
        except RefusedError:
            self._abandon(claim.op)
            raise

    async def _append_and_read(self, claim: Claim, key_ms: int) -> ClaimResult:
        """Append the claim, then wait until the reader knows the winner."""
        key = claim.key
        offset = await self._append(claim)
        await self._notifier.wait_until(
            lambda: self._is_decided(key, offset), CLAIM_WAIT_S
        )
        # Check again: the reader may have missed records in the meantime,
        # an earlier claim of the key among them.
        self._check_claims_complete(key_ms)
        if self._reader.claims.winner(key) is not None:
            return self._result(key, claim.op)
        if offset is not None and self._reader.state.offset > offset:
            raise self._rejection_error(key, key_ms)
        raise RefusedError("log_down", self._retry_delay_ms())

    def _check_claims_complete(self, key_ms: int) -> None:
        """Raise `RefusedError` if the reader may lack claims of the key.

        `key_ms` is the creation time of the key.
        """
        if not self._reader.claims.is_complete_for(key_ms):
            raise RefusedError("claims_not_folded", NOT_FOLDED_RETRY_MS)

    def _check_claimable(self, key: str, key_ms: int) -> None:
        """Raise if a claim would be ignored or could not be appended."""
        if self._reader.claims.is_too_old(key_ms):
            raise KeyTooOldError(key)
        if self._retry_after_ms() > 0 or not self._reader.is_up_to_date:
            raise RefusedError("log_down", self._retry_delay_ms())

    async def _append(self, claim: Claim) -> int | None:
        """Append and return the offset, or None if the answer was lost."""
        try:
            [offset] = await self._log.append([claim])
        except LogBlockedError as error:
            raise RefusedError("log_down", error.retry_after_ms) from error
        except LogUnavailableError:
            return None
        return offset

    def _is_decided(self, key: str, offset: int | None) -> bool:
        if self._reader.claims.winner(key) is not None:
            return True
        return offset is not None and self._reader.state.offset > offset

    def _result(self, key: str, op: str) -> ClaimResult:
        winner = self._reader.claims.winner(key)
        assert winner is not None
        won = winner.op == op
        if winner.op in self._abandoned:  # refused earlier, so it never ran
            del self._abandoned[winner.op]
            won = True
        state: Literal["won", "lost"] = "won" if won else "lost"
        return ClaimResult(state, winner.host, winner.offset)

    def _rejection_error(self, key: str, key_ms: int) -> RequestError:
        """Return the error that says why readers ignore a claim of `key`."""
        if self._reader.claims.is_too_new(key_ms):
            return KeyFormatError(key)
        return KeyTooOldError(key)

    def _abandon(self, op: str) -> None:
        self._abandoned[op] = None
        if len(self._abandoned) > MAX_ABANDONED_CLAIMS:
            del self._abandoned[next(iter(self._abandoned))]

    def _retry_delay_ms(self) -> int:
        return max(self._retry_after_ms(), MIN_RETRY_MS)
