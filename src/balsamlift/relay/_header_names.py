"""Names of the HTTP headers that the relay reads and writes."""

from __future__ import annotations

import attrs

# In a refusal to a host that forwarded a request: this one reaches no upstream
# either, and has sent it nowhere.
UNREACHED_HEADER = "Balsamlift-Unreached"
# In a response to a host that forwarded a request: the upstream that it is of.
ANSWERED_BY_HEADER = "Balsamlift-Answered-By"
# Hosts alone set these in responses, for each other.
BETWEEN_HOSTS = frozenset(
    {UNREACHED_HEADER.lower(), ANSWERED_BY_HEADER.lower()}
)


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Header names of a deployment, and its authorization scheme."""

    request_id: str
    deadline_ms: str
    signature: str  # proves that a response is the upstream's own
    workspace: str
    expected_incarnation: str
    not_executed: str  # set if the upstream did not run the request
    rate_limit: str  # requests per second that it takes from all hosts
    leaving: str  # set if the upstream is leaving
    brittle: str  # most requests that it turns away per second and survives
    priority: str
    prompt_parts: str  # ids of the parts of the prompt, in order
    token_usage: str  # prompt tokens and maximum output tokens
    length_hint: str  # output tokens expected by the caller
    backup_address: str  # receives the memory of a running request
    resume_source: str  # "IP:port/handle" of the memory to resume from
    last_event_id: str
    auth_scheme: str
    # Only the relay sets these headers; values from callers are dropped.
    reserved: frozenset[str]
