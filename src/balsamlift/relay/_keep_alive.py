"""For how long a connection to an upstream may be reused."""

from __future__ import annotations

from balsamlift._numbers import parse_count

# Fraction of the upstream's keep-alive timeout within which a connection is
# reused. Close to the timeout, the upstream may close the connection while a
# request is in flight, and it is then unknown whether the request ran.
IDLE_TIMEOUT_FRACTION = 0.5
DEFAULT_IDLE_TIMEOUT_S = 1.0  # without a Keep-Alive header


def parse_idle_timeout_s(text: str) -> float:
    """Return how long a connection may be reused, by a Keep-Alive header."""
    for parameter in text.split(","):
        name, _, value = parameter.strip().partition("=")
        timeout_s = parse_count(value)
        if name.strip().lower() == "timeout" and timeout_s is not None:
            return timeout_s * IDLE_TIMEOUT_FRACTION
    return DEFAULT_IDLE_TIMEOUT_S
