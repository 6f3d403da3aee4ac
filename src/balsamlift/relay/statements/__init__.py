"""What upstreams say about themselves in responses, and what it forbids."""

from balsamlift.relay.statements._brittle_pools import (
    BrittlePools,
    no_brittle_pools,
)
from balsamlift.relay.statements._reader import (
    MISDIRECTED_REQUEST,
    StatementDecoders,
    StatementReader,
)
from balsamlift.relay.statements._restrictions import (
    Restriction,
    Restrictions,
    no_restrictions,
)
from balsamlift.relay.statements._retry_after import RetryAfterTracker
from balsamlift.relay.statements._send_audit import SendAudit, SendPath

__all__ = [
    "MISDIRECTED_REQUEST",
    "BrittlePools",
    "Restriction",
    "Restrictions",
    "RetryAfterTracker",
    "SendAudit",
    "SendPath",
    "StatementDecoders",
    "StatementReader",
    "no_brittle_pools",
    "no_restrictions",
]
