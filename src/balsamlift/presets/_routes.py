"""What operators and peers read of the presets over HTTP."""

from __future__ import annotations

from typing import Protocol

import attrs

from balsamlift.operators import JsonHandler, Routes
from balsamlift.presets._preset import Preset
from balsamlift.presets._state import Change, FoldState

NO_CONTENT = 204
BAD_REQUEST = 400


@attrs.frozen
class PublishedView:
    """Show one published preset."""

    name: str
    version: int
    offset: int
    preset: Preset


@attrs.frozen
class PresetsView:
    """Show all presets known to a host; generation 0: none in force."""

    offset: int
    generation: int
    in_force: str | None
    preset: Preset | None  # as it was at the switch
    caught_up: bool
    log_is_up: bool
    presets: list[PublishedView]
    history: list[Change]


class KnownPresets(Protocol):
    """Tell what is published and in force."""

    @property
    def state(self) -> FoldState:
        """Return the state that the log's records fold into."""

    @property
    def caught_up(self) -> bool:
        """Tell whether the end of the log was reached."""

    @property
    def log_is_up(self) -> bool:
        """Tell whether the log answers."""

    def fold_bytes(self, offset: int = 0) -> bytes | None:
        """Return the fold encoded, when it is further than `offset`."""


def preset_routes(presets: KnownPresets) -> Routes:
    """Return the routes for the operators' address."""
    arguments = {"presets": presets}
    return [
        (r"/v1/presets", PresetsHandler, arguments),
        (r"/v1/peer/fold", PeerFoldHandler, arguments),
    ]


class PresetsHandler(JsonHandler):
    """Answer `GET /v1/presets`."""

    def initialize(self, presets: KnownPresets) -> None:
        """Keep the service."""
        self._presets = presets

    def get(self) -> None:
        """Show what is published, in force, and was in force."""
        self.reply(_view(self._presets))


class PeerFoldHandler(JsonHandler):
    """Answer `GET /v1/peer/fold?from=OFFSET`."""

    def initialize(self, presets: KnownPresets) -> None:
        """Keep the service."""
        self._presets = presets

    def get(self) -> None:
        """Send the fold when it is further than the peer's offset."""
        text = self.get_query_argument("from", "0")
        if not text.isdecimal():
            self.reply({"error": "bad_offset"}, BAD_REQUEST)
            return
        body = self._presets.fold_bytes(int(text))
        if body is None:
            self.set_status(NO_CONTENT)
            self.finish()
            return
        self.set_header("Content-Type", "application/msgpack")
        self.finish(body)


def _view(presets: KnownPresets) -> PresetsView:
    state = presets.state
    in_force = state.in_force
    return PresetsView(
        offset=state.offset,
        generation=state.generation,
        in_force=in_force.name if in_force else None,
        preset=in_force.preset if in_force else None,
        caught_up=presets.caught_up,
        log_is_up=presets.log_is_up,
        presets=[
            PublishedView(name, one.version, one.offset, one.preset)
            for name, one in state.presets.items()
        ],
        history=list(state.history),
    )
