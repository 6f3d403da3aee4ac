"""How a deployment spells what the relay reads and writes on the wire."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Hold the names of the headers that mean something to the relay."""

    request_id: str
    deadline_ms: str
    signature: str  # an upstream's proof that the answer is its own
    workspace: str
    expected_incarnation: str
    not_executed: str  # an upstream's word that the request did not run
    priority: str
    token_usage: str  # prompt tokens and the most output tokens
    length_hint: str  # output tokens that the caller expects
    backup_address: str  # where an engine sends a running request's memory
    resume_source: str  # "IP:port/handle" of memory to go on from
    last_event_id: str
    auth_scheme: str
    # Headers that the relay alone sets: a caller's copy is dropped.
    reserved: frozenset[str]
