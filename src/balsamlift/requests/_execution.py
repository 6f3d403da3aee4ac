"""One request as this host sees it: its answer, its state, its outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from balsamlift.requests._messages import WHOLE_ONLY, RequestBody
from balsamlift.streams import (
    FAILED,
    Accepted,
    Answer,
    Outcome,
    Start,
    Tokens,
)

_DROPPED = Answer()  # shared by all whose tokens are forgotten


class Execution:
    """Hold what callers' connections wait for.

    Written by one task; read by any number of callers' connections. Many
    are remembered, so what one holds after its end is kept small.
    """

    __slots__ = (
        "_news",
        "abandoned_s",
        "accepted",
        "answer",
        "answer_dropped",
        "body",
        "body_digest",
        "delivered",
        "dispatched",
        "finished_s",
        "key",
        "may_be_abandoned",
        "on_unwatched",
        "outcome",
        "start",
        "task",
        "watchers",
        "workspace",
    )

    def __init__(
        self,
        key: str,
        workspace: str,
        body: RequestBody | None = None,
        first_index: int = 0,
    ) -> None:
        """Begin with nothing known."""
        self.key = key
        self.workspace = workspace
        self.body = body
        self.body_digest = body.digest() if body else b""
        self.answer = Answer(first_index)
        self.accepted: Accepted | None = None
        self.start: Start | None = None
        self.outcome: Outcome | None = None
        self.delivered = first_index
        self.watchers = 0
        self.finished_s = 0.0
        self.abandoned_s: float | None = None
        self.dispatched = False  # whether an upstream may be running it
        self.answer_dropped = False
        self.may_be_abandoned = False  # cancelled when no caller comes back
        self.task: asyncio.Task[None] | None = None
        self.on_unwatched: Callable[[Execution], None] | None = None
        self._news: asyncio.Event | None = None

    @property
    def holds_back(self) -> bool:
        """Return whether no token may leave before the answer is whole."""
        whole_only = self.body is not None and (
            self.body.delivery == WHOLE_ONLY
        )
        return whole_only and self.outcome is None

    @property
    def news(self) -> asyncio.Event:
        """Return the event that is set at the next change."""
        if self._news is None:
            self._news = asyncio.Event()
        return self._news

    def notify(self) -> None:
        """Wake everyone who waits for a change."""
        news = self._news
        self._news = None
        if news is not None:
            news.set()

    def accept(self, accepted: Accepted) -> None:
        """Say that the request was admitted."""
        self.accepted = accepted
        self.notify()

    def begin(self, start: Start) -> None:
        """Say which generation the tokens come from."""
        self.start = start
        self.notify()

    def take(self, frame: Tokens) -> int:
        """Add the new tokens of a frame and return their number."""
        added = self.answer.append(frame)
        if added:
            self.notify()
        return added

    def finish(self, outcome: Outcome, now_s: float) -> None:
        """Say how it ended: the first word stands."""
        if self.outcome is not None:
            return
        self.outcome = outcome
        self.finished_s = now_s
        self.answer.compact()
        self.notify()

    def watch(self) -> None:
        """Count one more caller's connection."""
        self.watchers += 1

    def unwatch(self) -> None:
        """Count one caller's connection less."""
        self.watchers -= 1
        if not self.watchers and self.on_unwatched is not None:
            self.on_unwatched(self)

    def drop_answer(self) -> None:
        """Forget the tokens and the body; the outcome stays."""
        if self.answer_dropped or self.outcome is None:
            return
        self.answer_dropped = True
        self.answer = _DROPPED
        self.body = None
        self.task = None
        self.accepted = None
        self.start = None
        self.outcome = attrs.evolve(self.outcome, result=None)

    def restart_reading(self) -> None:
        """Make room for the tokens before those that were asked for."""
        if self.answer.first_index > 0:
            self.answer = Answer()

    def fail(self, reason: str, kind: str = FAILED) -> Outcome:
        """Return the outcome for an answer that is not whole."""
        return Outcome(
            outcome=kind,
            reason=reason,
            tokens=self.answer.next_index,
            digest="" if self.answer.first_index else self.answer.digest,
        )

    async def wait_settled(self, timeout_s: float) -> None:
        """Wait until admitted, refused or `timeout_s` is over."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.accepted is None and self.outcome is None:
                    await self.news.wait()
        except TimeoutError:
            return
