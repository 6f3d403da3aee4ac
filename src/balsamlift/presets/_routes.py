"""HTTP routes that serve presets to operators and peers."""

from __future__ import annotations

from typing import Protocol

import attrs

from balsamlift._numbers import parse_count
from balsamlift.operators import JsonHandler, Routes
from balsamlift.presets._preset import Preset
from balsamlift.presets._state import AcceptedSwitch, FoldState

NO_CONTENT = 204
BAD_REQUEST = 400


@attrs.frozen
class PublishedView:
    """Hold the newest version of a published preset."""

    name: str
    version: int
    offset: int
    preset: Preset


@attrs.frozen
class PresetsView:
    """Hold all presets known to a host; generation 0: none in force."""

    offset: int
    generation: int
    in_force: str | None
    preset: Preset | None  # its content at the time of the switch
    caught_up: bool
    log_is_up: bool
    presets: list[PublishedView]
    history: list[AcceptedSwitch]


class KnownPresets(Protocol):
    """Provide the presets that the handlers serve."""

    @property
    def state(self) -> FoldState:
        """Return the state folded from the log."""

    @property
    def caught_up(self) -> bool:
        """Return whether the end of the log was once reached."""

    @property
    def log_is_up(self) -> bool:
        """Return whether the last read of the log succeeded."""

    def encoded_state(self, offset: int = 0) -> bytes | None:
        """Return the encoded state, or None if not beyond `offset`."""


def preset_routes(presets: KnownPresets) -> Routes:
    """Return the routes to serve on the operators' address."""
    arguments = {"presets": presets}
    return [
        (r"/v1/presets", PresetsHandler, arguments),
        (r"/v1/peer/fold", PeerFoldHandler, arguments),
    ]


class PresetsHandler(JsonHandler):
    """Answer `GET /v1/presets`."""

    def initialize(self, presets: KnownPresets) -> None:
        """Set the presets to serve."""
        self._presets = presets

    def get(self) -> None:
        """Send the published presets, the one in force and the history."""
        self.reply(_build_view(self._presets))


class PeerFoldHandler(JsonHandler):
    """Answer `GET /v1/peer/fold?from=OFFSET`."""

    def initialize(self, presets: KnownPresets) -> None:
        """Set the presets to serve."""
        self._presets = presets

    def get(self) -> None:
        """Send the state, or 204 if it is not beyond the peer's offset."""
        text = self.get_query_argument("from", "0")
        offset = parse_count(text)
        if offset is None:
            self.reply({"error": "bad_offset"}, BAD_REQUEST)
            return
        body = self._presets.encoded_state(offset)
        if body is None:
            self.set_status(NO_CONTENT)
            self.finish()
            return
        self.set_header("Content-Type", "application/msgpack")
        self.finish(body)


def _build_view(presets: KnownPresets) -> PresetsView:
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
