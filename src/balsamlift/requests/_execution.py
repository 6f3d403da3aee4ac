"""State of one request on this host: its answer, progress and outcome."""

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

_DROPPED_ANSWER = Answer()  # shared by all executions whose answer was dropped


class Execution:
    """Hold the state of one request and notify connections of changes.

    One task writes it; any number of callers' connections read it. A host
    remembers many executions, so an ended one must take little memory.
    """

    __slots__ = (
        "_changed",
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
        """Start without progress; `first_index` is the first token wanted."""
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
        self._changed: asyncio.Event | None = None

    @property
    def is_withheld(self) -> bool:
        """Return whether tokens are withheld until the answer is whole."""
        whole_only = self.body is not None and (
            self.body.delivery == WHOLE_ONLY
        )
        return whole_only and self.outcome is None

    @property
    def changed(self) -> asyncio.Event:
        """Return an event that is set at the next change."""
        if self._changed is None:
            self._changed = asyncio.Event()
        return self._changed

    def notify(self) -> None:
        """Wake all connections that wait for a change."""
        changed = self._changed
        self._changed = None
        if changed is not None:
            changed.set()

    def accept(self, accepted: Accepted) -> None:
        """Record that the request was admitted."""
        self.accepted = accepted
        self.notify()

    def begin(self, start: Start) -> None:
        """Record the generation that the tokens come from."""
        self.start = start
        self.notify()

    def append_tokens(self, frame: Tokens) -> int:
        """Append the new tokens of a frame and return their number."""
        added = self.answer.append(frame)
        if added:
            self.notify()
        return added

    def finish(self, outcome: Outcome, now_s: float) -> None:
        """Record the outcome; later calls have no effect."""
        if self.outcome is not None:
            return
        self.outcome = outcome
        self.finished_s = now_s
        self.answer.compact()
        self.notify()

    def watch(self) -> None:
        """Add a caller's connection to the count of watchers."""
        self.watchers += 1

    def unwatch(self) -> None:
        """Remove a caller's connection; report when none is left."""
        self.watchers -= 1
        if not self.watchers and self.on_unwatched is not None:
            self.on_unwatched(self)

    def drop_answer(self) -> None:
        """Release the tokens and the body; keep the outcome."""
        if self.answer_dropped or self.outcome is None:
            return
        self.answer_dropped = True
        self.answer = _DROPPED_ANSWER
        self.body = None
        self.task = None
        self.accepted = None
        self.start = None
        self.outcome = attrs.evolve(self.outcome, result=None)

    def reset_first_index(self) -> None:
        """Reset an answer that starts past index 0, to read it in full."""
        if self.answer.first_index > 0:
            self.answer = Answer()

    def fail(self, reason: str, kind: str = FAILED) -> Outcome:
        """Return an outcome of this kind for the tokens received so far."""
        return Outcome(
            outcome=kind,
            reason=reason,
            tokens=self.answer.next_index,
            digest="" if self.answer.first_index else self.answer.digest,
        )

    async def wait_settled(self, timeout_s: float) -> None:
        """Wait until admitted or ended, for at most `timeout_s`."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.accepted is None and self.outcome is None:
                    await self.changed.wait()
        except TimeoutError:
            return
