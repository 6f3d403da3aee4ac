"""What one generation asks of its engines."""

from __future__ import annotations

import attrs

from balsamlift.relay._configuration import EngineTraits
from balsamlift.relay._needs import Need
from balsamlift.relay._request import Call
from balsamlift.relay._scope import Scope


@attrs.frozen
class Job:
    """Hold a call for a generation, and what it takes to run it."""

    call: Call
    need: Need
    traits: EngineTraits  # of the engines of its service

    @property
    def request_id(self) -> str:
        """Return the id under which engines know it."""
        return self.call.request_id

    @property
    def scope(self) -> Scope:
        """Return which engines may run it."""
        return self.call.scope

    @property
    def tokens(self) -> int:
        """Return the memory to expect at its end."""
        return self.need.tokens
