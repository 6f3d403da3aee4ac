"""Determine which parts of prompts are suspected to crash upstreams.

A crash names the parts of all the requests that the upstream ran, sound ones
among them. A part is cleared of a crash by any request with it that an
upstream runs afterwards, so that parts which many requests share are not
suspected for long.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from balsamlift.peers import PartState

# Upstreams that crash at the same time count as one crash: they may have lost
# their power together, or one request was sent to them in turn.
SIMULTANEOUS_S = 0.2
# Crashes that no other part accounts for, from which a part is suspected, and
# the same if upstreams had run the part before.
SUSPECT_CRASHES, KNOWN_SUSPECT_CRASHES = 2, 4
# Crashes from which no request with a suspected part is tried any more.
BLOCK_CRASHES = 5
# The same if each time the response had only just begun.
CLEAR_BLOCK_CRASHES = 3


@attrs.frozen
class PartCrash:
    """An upstream that crashed while it ran requests with a part."""

    upstream: str
    at_s: float  # monotonic
    state: PartState  # of the request that had got furthest towards output


@attrs.frozen
class PartHistory:
    """The crashes that a part has not been cleared of."""

    crashes: tuple[PartCrash, ...]
    is_known: bool = False  # upstreams had run the part before

    def count(self, state: PartState) -> int:
        """Return the number of crashes in that state."""
        return sum(crash.state is state for crash in self.crashes)


@attrs.frozen
class Suspicion:
    """Why a part is suspected."""

    crashes: int  # that no other part accounts for
    at_head: int  # of these, between the head of a response and any output
    since_s: float  # the latest crash
    is_known: bool

    @property
    def is_blocked(self) -> bool:
        """Return whether no request with the part is to run again."""
        if self.is_known:
            return self.crashes > BLOCK_CRASHES
        if self.at_head >= CLEAR_BLOCK_CRASHES:
            return self.at_head == self.crashes
        return self.crashes >= BLOCK_CRASHES

    @property
    def failed_trials(self) -> int:
        """Return by how many crashes the part is beyond a suspicion."""
        return self.crashes - _threshold(is_known=self.is_known)


def find_suspects(
    histories: Mapping[str, PartHistory],
) -> dict[str, Suspicion]:
    """Return the suspected parts.

    Parts are examined in descending order of crashes at the head of a
    response, then before it, then of all crashes; the crashes of each suspect
    found are not counted against the parts that follow.
    """
    suspects: dict[str, Suspicion] = {}
    explained: set[str] = set()
    ranked = sorted(
        histories,
        key=lambda part: _rank(part, histories[part]),
        reverse=True,
    )
    for part in ranked:
        history = histories[part]
        left = [c for c in history.crashes if c.upstream not in explained]
        separate = _separate(left)
        if len(separate) < _threshold(is_known=history.is_known):
            continue
        suspects[part] = Suspicion(
            crashes=len(separate),
            at_head=sum(
                crash.state is PartState.CRASHED_AFTER_HEAD
                for crash in separate
            ),
            since_s=max(crash.at_s for crash in left),
            is_known=history.is_known,
        )
        explained.update(crash.upstream for crash in history.crashes)
    return suspects


def _threshold(*, is_known: bool) -> int:
    return KNOWN_SUSPECT_CRASHES if is_known else SUSPECT_CRASHES


def _rank(part: str, history: PartHistory) -> tuple[int, int, int, bool, str]:
    return (
        history.count(PartState.CRASHED_AFTER_HEAD),
        history.count(PartState.CRASHED_BEFORE_HEAD),
        len(history.crashes),
        not history.is_known,
        part,  # breaks ties, so that all hosts use the same order
    )


def _separate(crashes: Iterable[PartCrash]) -> list[PartCrash]:
    """Return one of the crashes that happened at the same time.

    Of these, the one with the most advanced state is returned.
    """
    separate: list[PartCrash] = []
    last_s = float("-inf")
    for crash in sorted(crashes, key=lambda crash: crash.at_s):
        if crash.at_s > last_s + SIMULTANEOUS_S:
            last_s = crash.at_s
            separate.append(crash)
        elif crash.state > separate[-1].state:
            separate[-1] = crash
    return separate
