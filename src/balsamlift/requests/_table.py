"""The key table of one home: what became of every key it may dispatch.

Keys carry an epoch. New keys are taken under the two newest epochs; the
keys of one older are remembered but taken no more, so that a key that is
not there certainly never ran; keys older than that are forgotten, and asked
about, the answer is "unknown". That bounds the memory.
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
    """Tell that the key is too old to be remembered: it may have run."""

    def __init__(self) -> None:
        """Give the one reason."""
        super().__init__("the key is too old to be remembered")


class KeyTable:
    """Remember executions by key for as long as a key can be used."""

    def __init__(
        self, home: Home, clock: Clock, lifetime_ms: int, capacity: int
    ) -> None:
        """Begin in epoch 0 with no key."""
        self.home = home
        self._clock = clock
        self._epoch_s = lifetime_ms / 1_000 / OPEN_EPOCHS
        self._capacity = capacity
        self._epoch = 0
        self._closed_below = 0
        self._turned_s = clock.monotonic()
        self._by_epoch: dict[int, dict[str, Execution]] = {}
        self._size = 0

    def __len__(self) -> int:
        """Return the number of keys remembered."""
        return self._size

    @property
    def prefix(self) -> str:
        """Return the prefix that new keys shall have."""
        self._turn()
        return key_prefix(self.home, self._epoch)

    @property
    def oldest_epoch(self) -> int:
        """Return the oldest epoch of which every key is remembered."""
        self._turn()
        return max(0, self._epoch - OPEN_EPOCHS)

    def find(self, key: HomedKey) -> Execution | None:
        """Return what is remembered of a key."""
        return self._by_epoch.get(key.epoch, {}).get(key.text)

    def check_takes(self, key: HomedKey) -> None:
        """Raise unless the key, not remembered, may be taken.

        `KeyRetiredError`: it may have run. `RefusedError`: it did not and
        will not.
        """
        self._turn()
        if key.epoch > self._epoch:
            raise BadKeyError
        if key.epoch < self._epoch - OPEN_EPOCHS:
            raise KeyRetiredError
        if self._size >= self._capacity:
            # What is refused for want of room must not run later: no key
            # of the epochs so far is taken any more.
            self._closed_below = self._epoch + 1
        lowest_open = max(self._epoch - OPEN_EPOCHS + 1, self._closed_below)
        if key.epoch < lowest_open:
            raise RefusedError("key_closed", self._next_turn_ms())

    def add(self, key: HomedKey, execution: Execution) -> None:
        """Remember an execution."""
        keys = self._by_epoch.setdefault(key.epoch, {})
        keys[key.text] = execution
        self._size += 1

    def executions(self) -> Iterator[Execution]:
        """Yield all that is remembered."""
        for keys in self._by_epoch.values():
            yield from keys.values()

    def _next_turn_ms(self) -> int:
        if self._closed_below <= self._epoch:
            return 0  # a new key may be drawn now
        left_s = self._turned_s + self._epoch_s - self._clock.monotonic()
        return int(left_s * 1_000) + 1

    def _turn(self) -> None:
        now_s = self._clock.monotonic()
        while now_s - self._turned_s >= self._epoch_s:
            self._turned_s += self._epoch_s
            self._begin_epoch()

    def _begin_epoch(self) -> None:
        self._epoch += 1
        oldest_kept = self._epoch - OPEN_EPOCHS
        for epoch in [e for e in self._by_epoch if e < oldest_kept]:
            self._forget(epoch)

    def _forget(self, epoch: int) -> None:
        keys = self._by_epoch[epoch]
        for text in [k for k, e in keys.items() if e.outcome is not None]:
            del keys[text]
            self._size -= 1
        if not keys:
            del self._by_epoch[epoch]
