"""The HTTP calls of an engine."""

from __future__ import annotations

from typing import Any

import msgspec
from tornado.iostream import StreamClosedError

from balsamlift.testing._engine import Engine
from balsamlift.testing._generation import (
    Generation,
    GenerationRequest,
    Reader,
)
from balsamlift.testing._orders import Order
from balsamlift.testing._platform import FOREVER_S
from balsamlift.testing._stand_in import JsonHandler, Routes

_HEARTBEAT_S = 1.0
_FRAME_TOKENS = 64
_NO_DATA: dict[str, Any] = {}


class EngineHandler(JsonHandler):
    """Know the engine."""

    def initialize(self, engine: Engine) -> None:
        """Keep the engine."""
        self._engine = engine


class StreamHandler(EngineHandler):
    """Stream a generation as server-sent events."""

    _reader: Reader | None = None
    _frames = 0
    _closed = False

    async def stream(self, generation: Generation, index: int) -> None:
        """Send tokens from `index` on, until the end or a closed stream."""
        reader = Reader(index, self._engine.settings.tokens_per_frame)
        self._reader = reader
        generation.readers.add(reader)
        self.set_header("Content-Type", "text/event-stream")
        try:
            await self._send("start", generation.start)
            await self._send_all(generation, reader)
        except StreamClosedError:
            pass  # the generation goes on without this reader
        finally:
            generation.readers.discard(reader)

    def on_connection_close(self) -> None:
        """End the wait of a stream whose caller has gone."""
        self._closed = True
        if self._reader is not None:
            self._reader.stop()

    async def _send_all(self, generation: Generation, reader: Reader) -> None:
        # Waits are for a full frame, but all that is ready goes together.
        limit = max(_FRAME_TOKENS, self._engine.settings.tokens_per_frame)
        sent_at = self._engine.clock.monotonic()
        while not self._closed:
            if reader.silent:
                await self._engine.clock.sleep(FOREVER_S)
            now = self._engine.clock.monotonic()
            if reader.index < len(generation.tokens):
                await self._send_tokens(generation, reader, limit)
                sent_at = now
            elif generation.end_reason:
                await self._send("end", generation.end_frame())
                return
            elif now - sent_at >= _HEARTBEAT_S:
                await self._send("heartbeat", _NO_DATA)
                sent_at = now
            if reader.index >= len(generation.tokens):
                await self._wait(generation, reader)

    async def _wait(self, generation: Generation, reader: Reader) -> None:
        if generation.end_reason:
            return
        batched = self._engine.settings.tokens_per_frame > 1
        flush_s = self._engine.settings.flush_ms / 1_000
        await reader.wait(flush_s if batched else _HEARTBEAT_S)

    async def _send_tokens(
        self, generation: Generation, reader: Reader, limit: int
    ) -> None:
        frame = generation.frame(reader.index, limit)
        reader.index += len(frame.tokens)
        self._frames += 1
        await self._send("token", frame)
        if self._engine.faults.duplicate_frames and self._frames % 2:
            await self._send("token", frame)

    async def _send(self, event: str, data: Any) -> None:
        body = msgspec.json.encode(data)
        self.write(b"event: %b\ndata: %b\n\n" % (event.encode(), body))
        await self.flush()


class GenerationsHandler(StreamHandler):
    """Start generations."""

    async def post(self) -> None:
        """Queue the request of the body and stream its tokens."""
        request = self.read(GenerationRequest)
        if request is None:
            return
        found = self._engine.submit(request)
        if not isinstance(found, Generation):
            self.refuse(
                503,
                found.reason,
                ran=found.ran,
                retry_after_ms=found.retry_after_ms,
            )
            return
        if self._engine.faults.drop_answers:
            await self._engine.clock.sleep(FOREVER_S)
        await self.stream(found, 0)


class GenerationHandler(StreamHandler):
    """Resume and cancel one generation."""

    async def get(self, name: str) -> None:
        """Stream the tokens from the asked index on."""
        generation = self._engine.generations.get(name)
        if generation is None:
            self.refuse(404, "generation_missing")
            return
        await self.stream(generation, self.number("from", 0))

    def delete(self, name: str) -> None:
        """Cancel the generation."""
        generation = self._engine.generations.get(name)
        if generation is None:
            self.refuse(404, "generation_missing")
            return
        self.reply({"cancelled": self._engine.cancel(generation)})


class KeyHandler(EngineHandler):
    """Tell what became of a key."""

    def get(self, key: str) -> None:
        """Return the state of the key, if the engine tells it."""
        if not self._engine.settings.tells_by_key:
            self.refuse(404, "not_told")
            return
        self.reply(self._engine.key_state(key))


class LoadHandler(EngineHandler):
    """Tell the load."""

    def get(self) -> None:
        """Return the load as it was a while ago."""
        self.reply(self._engine.reports.load())


class CacheHandler(EngineHandler):
    """Tell cache events."""

    def get(self) -> None:
        """Return the late events from the asked one on."""
        self.reply(self._engine.reports.cache_page(self.number("from", 0)))


class StateHandler(EngineHandler):
    """Tell the state."""

    def get(self) -> None:
        """Return what is loaded now."""
        self.reply(self._engine.orders.state)


class OrdersHandler(EngineHandler):
    """Take orders."""

    def post(self) -> None:
        """Begin to carry out the order of the body."""
        order = self.read(Order)
        if order is None:
            return
        if self._engine.orders.take(order):
            self.reply({"accepted": True})
            return
        fence = self._engine.orders.state.fence
        self.refuse(409, "stale_fence", fence=fence)


def engine_routes(engine: Engine) -> Routes:
    """Return the routes under /v1."""
    mine = {"engine": engine}
    return [
        (r"/v1/generations", GenerationsHandler, mine),
        (r"/v1/generations/([^/]+)", GenerationHandler, mine),
        (r"/v1/keys/([^/]+)", KeyHandler, mine),
        (r"/v1/load", LoadHandler, mine),
        (r"/v1/cache", CacheHandler, mine),
        (r"/v1/state", StateHandler, mine),
        (r"/v1/orders", OrdersHandler, mine),
    ]
