"""One generation: its frames, its tokens so far and its readers."""

from __future__ import annotations

import asyncio

import attrs


@attrs.frozen(kw_only=True)
class GenerationRequest:
    """Hold the body of `POST /v1/generations`."""

    key: str
    workspace: str = ""
    kind: str = ""
    prompt: str = ""
    prompt_tokens: int | None = None  # None: estimated from the prompt
    prefix: str | None = None
    max_tokens: int | None = None
    priority: int = 0  # higher goes first
    model: str = ""  # an engine that runs another refuses; "": any
    seed: int | None = None  # None: the key is the seed


@attrs.frozen(kw_only=True)
class StartFrame:
    """Hold the first frame of a stream."""

    generation: str
    key: str
    workspace: str
    model: str
    version: str


@attrs.frozen(kw_only=True)
class TokenFrame:
    """Carry tokens from `index` on."""

    generation: str
    index: int
    tokens: list[str]


@attrs.frozen(kw_only=True)
class EndFrame:
    """End a stream; `tokens` counts all tokens of the generation."""

    generation: str
    tokens: int
    reason: str


@attrs.frozen(kw_only=True)
class KeyState:
    """Answer `GET /v1/keys/K`; `state` is running, done or absent."""

    state: str
    generation: str = ""
    tokens: int = 0
    reason: str = ""


@attrs.frozen(kw_only=True)
class Refusal:
    """Hold why a request was refused; a refused request never ran."""

    reason: str
    retry_after_ms: int
    ran: bool = False


class Reader:
    """Wait for tokens of one generation, several at a time."""

    def __init__(self, index: int, batch: int) -> None:
        """Read from `index` on, `batch` tokens in a full frame."""
        self.index = index
        self.silent = False
        self._batch = batch
        self._waiter: asyncio.Future[None] | None = None

    def notify(self, count: int, ended: bool) -> None:
        """Wake the waiter if a full frame is ready or no more will come."""
        if ended or count - self.index >= self._batch:
            self.stop()

    def stop(self) -> None:
        """Wake the waiter at once."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def wait(self, timeout_s: float) -> None:
        """Wait to be woken, for `timeout_s` at most."""
        # `asyncio.wait_for` would create a task for each token.
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = loop.call_later(timeout_s, self.stop)
        try:
            await self._waiter
        finally:
            timer.cancel()


class Generation:
    """Hold the tokens, the end and the readers of one generation."""

    def __init__(
        self, name: str, request: GenerationRequest, start: StartFrame
    ) -> None:
        """Start without tokens."""
        self.name = name
        self.request = request
        self.start = start
        self.salt = name
        self.expected_end_reason = "stop"
        self.tokens: list[str] = []
        self.started = False
        self.end_reason = ""
        self.stalled_at: float | None = None
        self.readers: set[Reader] = set()

    def append(self, token: str) -> None:
        """Add one token."""
        self.tokens.append(token)
        self._notify()

    def end(self, reason: str) -> None:
        """End the generation; a reason set before stays."""
        self.end_reason = self.end_reason or reason
        self._notify()

    def key_state(self) -> KeyState:
        """Return whether the generation runs and its tokens so far."""
        return KeyState(
            state="done" if self.end_reason else "running",
            generation=self.name,
            tokens=len(self.tokens),
            reason=self.end_reason,
        )

    def end_frame(self) -> EndFrame:
        """Return the last frame of every stream."""
        return EndFrame(
            generation=self.name,
            tokens=len(self.tokens),
            reason=self.end_reason,
        )

    def frame(self, index: int, limit: int) -> TokenFrame:
        """Return up to `limit` tokens from `index` on."""
        return TokenFrame(
            generation=self.name,
            index=index,
            tokens=self.tokens[index : index + limit],
        )

    def _notify(self) -> None:
        for reader in self.readers:
            reader.notify(len(self.tokens), bool(self.end_reason))
