"""What a caller has of one answer, and what hosts tell of it."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import Any

import attrs
import msgspec

from balsamlift.requests import STREAM, HostAddress, new_homed_key
from balsamlift.streams import (
    FAILED,
    REFUSED,
    UNKNOWN,
    WHOLE,
    Accepted,
    Answer,
    FrameError,
    Outcome,
    Start,
    StreamStatusError,
    Tokens,
)

SERVER_ERROR = 500
GONE = 410
NOT_FOUND = 404

OnTokens = Callable[[list[str]], None]
OnKey = Callable[[str], None]


@attrs.frozen(kw_only=True)
class Request:
    """Describe one request, without its key."""

    kind: str
    prompt: str = ""
    prompt_tokens: int | None = None
    prefix: str = ""
    max_tokens: int | None = None
    seed: int | None = None
    idempotent: bool | None = None
    deadline_ms: int | None = None
    delivery: str = STREAM
    payload: Any = None


@attrs.define(eq=False)
class Progress:
    """Hold what the caller has of one answer, whatever host it came from."""

    request: Request
    key: str
    place: HostAddress
    on_tokens: OnTokens | None = None
    on_key: OnKey | None = None
    answer: Answer = attrs.field(factory=Answer)
    accepted: Accepted | None = None
    start: Start | None = None
    sent: bool = False  # whether a byte of this key may have left
    sent_before: bool = False  # the same, before the try that is under way

    def draw_key(self, place: HostAddress) -> None:
        """Take a new key, of which nothing has left, at home at `place`."""
        self.place = place
        self.key = new_homed_key(place.key_prefix)
        if self.on_key is not None:
            self.on_key(self.key)

    def take_start(self, start: Start) -> None:
        """Take tokens of this generation; raise `FrameError` if it can't.

        A second generation is believed only where the host says that it
        repeats every token held.
        """
        held = self.answer.next_index
        same = start.generation == self.answer.generation
        if held and not same and start.verified_tokens < held:
            raise FrameError("another generation in the middle of an answer")
        self.answer.begin(start.generation)
        self.start = start

    def take_tokens(self, frame: Tokens) -> None:
        """Add tokens and pass the new ones on."""
        added = self.answer.append(frame)
        if added and self.on_tokens is not None:
            self.on_tokens(frame.tokens[-added:])


@attrs.frozen(kw_only=True)
class _Error:
    error: str


def checked(progress: Progress, outcome: Outcome) -> Outcome:
    """Return the outcome, checked against the tokens that came.

    Raises `FrameError` while tokens are missing.
    """
    if outcome.outcome != WHOLE:
        return outcome
    if outcome.tokens > progress.answer.next_index:
        raise FrameError("the end counts more tokens than those that came")
    if outcome.digest != _digest(progress, outcome):
        # What was passed on cannot be taken back: no use in asking again.
        return Outcome(
            outcome=FAILED,
            reason="digest_wrong",
            tokens=progress.answer.next_index,
            digest=progress.answer.digest,
        )
    return outcome


def _digest(progress: Progress, outcome: Outcome) -> str:
    if progress.start is not None:
        return progress.answer.digest
    encoded = msgspec.json.encode(outcome.result)
    return hashlib.sha256(encoded).hexdigest()


def status_outcome(
    progress: Progress, error: StreamStatusError
) -> Outcome | None:
    """Return what a status tells, if that is an outcome."""
    try:
        return msgspec.json.decode(error.body, type=Outcome)
    except msgspec.DecodeError:
        pass
    if error.status >= SERVER_ERROR:
        return None
    if error.status == NOT_FOUND and progress.accepted is not None:
        return None
    reason = _error_code(error)
    if error.status == GONE:
        return Outcome(outcome=FAILED, reason=reason)
    # What an earlier try has begun may run, whatever this one was told.
    kind = UNKNOWN if progress.sent_before else REFUSED
    return Outcome(
        outcome=kind, reason=reason, tokens=progress.answer.next_index
    )


def _error_code(error: StreamStatusError) -> str:
    try:
        return msgspec.json.decode(error.body, type=_Error).error
    except msgspec.DecodeError:
        return f"status_{error.status}"


def lost(progress: Progress) -> Outcome:
    """Return the outcome when no host told one in time."""
    return Outcome(
        outcome=UNKNOWN,
        reason="no_answer",
        tokens=progress.answer.next_index,
    )
