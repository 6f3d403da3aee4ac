"""HTTP handlers of the engine stand-in."""

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
    """Give handlers access to the engine."""

    def initialize(self, engine: Engine) -> None:
        """Store the engine that this handler serves."""
        self._engine = engine


class StreamHandler(EngineHandler):
    """Stream a generation as server-sent events."""

    _reader: Reader | None = None
    _frames = 0
    _closed = False

    async def stream(self, generation: Generation, index: int) -> None:
        """Send tokens from `index` on until the generation or stream ends."""
        reader = Reader(index, self._engine.settings.tokens_per_frame)
        self._reader = reader
        generation.readers.add(reader)
        self.set_header("Content-Type", "text/event-stream")
        try:
            await self._send("start", generation.start)
            await self._send_all(generation, reader)
        except StreamClosedError:
            pass  # the generation continues without this reader
        finally:
            generation.readers.discard(reader)

    def on_connection_close(self) -> None:
        """Wake a stream whose caller has disconnected."""
        self._closed = True
        if self._reader is not None:
            self._reader.stop()

    async def _send_all(self, generation: Generation, reader: Reader) -> None:
        # `Reader.wait` waits for one full frame, but a frame carries every
        # token that is ready by then, up to this limit.
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
    """Handle `POST /v1/generations`."""

    async def post(self) -> None:
        """Queue the request in the body and stream its tokens."""
        request = self.read(GenerationRequest)
        if request is None:
            return
        result = self._engine.submit(request)
        if not isinstance(result, Generation):
            self.refuse(
                503,
                result.reason,
                ran=result.ran,
                retry_after_ms=result.retry_after_ms,
            )
            return
        if self._engine.faults.drop_answers:
            await self._engine.clock.sleep(FOREVER_S)
        await self.stream(result, 0)


class GenerationHandler(StreamHandler):
    """Handle `/v1/generations/NAME`: resume or cancel a generation."""

    async def get(self, name: str) -> None:
        """Stream the tokens from the index in the query on."""
        generation = self._engine.generations.get(name)
        if generation is None:
            self.refuse(404, "generation_missing")
            return
        await self.stream(generation, self.query_int("from", 0))

    def delete(self, name: str) -> None:
        """Cancel the generation."""
        generation = self._engine.generations.get(name)
        if generation is None:
            self.refuse(404, "generation_missing")
            return
        self.reply({"cancelled": self._engine.cancel(generation)})


class KeyHandler(EngineHandler):
    """Handle `GET /v1/keys/KEY`."""

    def get(self, key: str) -> None:
        """Return the state of the key, if the engine exposes key states."""
        if not self._engine.settings.tells_by_key:
            self.refuse(404, "not_told")
            return
        self.reply(self._engine.key_state(key))


class LoadHandler(EngineHandler):
    """Handle `GET /v1/load`."""

    def get(self) -> None:
        """Return the load of `load_lag_ms` ago."""
        self.reply(self._engine.reports.load())


class CacheHandler(EngineHandler):
    """Handle `GET /v1/cache`."""

    def get(self) -> None:
        """Return the events older than the lag, from a sequence number on."""
        self.reply(self._engine.reports.cache_page(self.query_int("from", 0)))


class StateHandler(EngineHandler):
    """Handle `GET /v1/state`."""

    def get(self) -> None:
        """Return the loaded model and the state of the engine."""
        self.reply(self._engine.orders.state)


class OrdersHandler(EngineHandler):
    """Handle `POST /v1/orders`."""

    def post(self) -> None:
        """Accept the order in the body, or refuse one with a stale fence."""
        order = self.read(Order)
        if order is None:
            return
        if self._engine.orders.accept(order):
            self.reply({"accepted": True})
            return
        fence = self._engine.orders.state.fence
        self.refuse(409, "stale_fence", fence=fence)


def engine_routes(engine: Engine) -> Routes:
    """Return the routes of an engine under /v1."""
    arguments = {"engine": engine}
    return [
        (r"/v1/generations", GenerationsHandler, arguments),
        (r"/v1/generations/([^/]+)", GenerationHandler, arguments),
        (r"/v1/keys/([^/]+)", KeyHandler, arguments),
        (r"/v1/load", LoadHandler, arguments),
        (r"/v1/cache", CacheHandler, arguments),
        (r"/v1/state", StateHandler, arguments),
        (r"/v1/orders", OrdersHandler, arguments),
    ]
