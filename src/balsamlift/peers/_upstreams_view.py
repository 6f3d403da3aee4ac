"""Serve the list of upstreams to operators."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from balsamlift.operators import JsonHandler
from balsamlift.peers._upstream import Upstream


class UpstreamsHandler(JsonHandler):
    """Handle `GET /v1/upstreams`."""

    def initialize(self, upstreams: Callable[[], Sequence[Upstream]]) -> None:
        """Reply with the result of `upstreams`."""
        self._upstreams = upstreams

    def get(self) -> None:
        """Reply with all upstreams on the list."""
        self.reply(self._upstreams())
