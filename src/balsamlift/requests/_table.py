"""The key table of one home: executions by key, dropped by epoch.

Each key carries an epoch. New keys are accepted in the two newest epochs.
Keys of the epoch before those are remembered, but no new ones are accepted,
so a key that is missing there never ran. Older keys are dropped to bound
the memory; their outcome is reported as "unknown".
"""

from __future__ import annotations

from collections.abc import Iterator

from balsamlift.clock import Clock
from balsamlift.exceptions import BalsamliftError, RefusedError
from balsamlift.requests._errors import BadKeyError
from balsamlift.requests._execution import Execution
from balsamlift.requests._keys import Home, HomedKey, key_prefix

OPEN_EPOCHS = 2


class KeyRetiredError(BalsamliftError):
    """Raise when a key's epoch has been dropped: the key may have run."""

    def __init__(self) -> None:
        """Set the message."""
        super().__init__("the key is too old to be remembered")


class KeyTable:
    """Remember executions by key for as long as the key can be used.

    Holds at most `capacity` keys. A key is accepted for at most
    `lifetime_ms`.
    """

    def __init__(
        self, home: Home, clock: Clock, lifetime_ms: int, capacity: int
    ) -> None:
        """Start in epoch 0 without any keys."""
        self.home = home
        self._clock = clock
        self._epoch_s = lifetime_ms / 1_000 / OPEN_EPOCHS
        self._capacity = capacity
        self._epoch = 0
        self._closed_below = 0
        self._epoch_started_s = clock.monotonic()
        self._by_epoch: dict[int, dict[str, Execution]] = {}
        self._size = 0

    def __len__(self) -> int:
        """Return the number of keys remembered."""
        return self._size

    @property
    def prefix(self) -> str:
        """Return the prefix for new keys."""
        self._advance_epoch()
        return key_prefix(self.home, self._epoch)

    @property
    def oldest_epoch(self) -> int:
        """Return the oldest epoch whose keys are all remembered."""
        self._advance_epoch()
        return max(0, self._epoch - OPEN_EPOCHS)

    def find(self, key: HomedKey) -> Execution | None:
        """Return the execution of a key, if it is remembered."""
        return self._by_epoch.get(key.epoch, {}).get(key.text)

    def check_accepts(self, key: HomedKey) -> None:
        """Raise unless this key, which is not in the table, is accepted.

        Raises `KeyRetiredError` if it may have run, `RefusedError` if it
        did not and never will, and `BadKeyError` if its epoch has not begun.
        """
        self._advance_epoch()
        if key.epoch > self._epoch:
            raise BadKeyError
        if key.epoch < self._epoch - OPEN_EPOCHS:
            raise KeyRetiredError
        if self._size >= self._capacity:
            # A key that is refused because the table is full must not run
            # later, so all epochs up to now are closed to new keys.
            self._closed_below = self._epoch + 1
        lowest_open = max(self._epoch - OPEN_EPOCHS + 1, self._closed_below)
        if key.epoch < lowest_open:
            raise RefusedError("key_closed", self._next_epoch_ms())

    def add(self, key: HomedKey, execution: Execution) -> None:
        """Add the execution of an accepted key."""
        keys = self._by_epoch.setdefault(key.epoch, {})
        keys[key.text] = execution
        self._size += 1

    def executions(self) -> Iterator[Execution]:
        """Yield all executions in the table."""
        for keys in self._by_epoch.values():
            yield from keys.values()

    def _next_epoch_ms(self) -> int:
        if self._closed_below <= self._epoch:
            return 0  # a key with the current prefix is accepted now
        remaining_s = (
            self._epoch_started_s + self._epoch_s - self._clock.monotonic()
        )
        return int(remaining_s * 1_000) + 1

    def _advance_epoch(self) -> None:
        now_s = self._clock.monotonic()
        while now_s - self._epoch_started_s >= self._epoch_s:
            self._epoch_started_s += self._epoch_s
            self._begin_epoch()

    def _begin_epoch(self) -> None:
        self._epoch += 1
        oldest_kept = self._epoch - OPEN_EPOCHS
        for epoch in [e for e in self._by_epoch if e < oldest_kept]:
            self._drop_finished(epoch)

    def _drop_finished(self, epoch: int) -> None:
        keys = self._by_epoch[epoch]
        for text in [k for k, e in keys.items() if e.outcome is not None]:
            del keys[text]
            self._size -= 1
        if not keys:
            del self._by_epoch[epoch]
