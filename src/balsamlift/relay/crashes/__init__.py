"""Requests that crash the upstreams that run them."""

from balsamlift.relay.crashes._crash_guard import (
    CRASHING_REQUEST,
    CrashGuard,
)
from balsamlift.relay.crashes._culprits import CRASH_THRESHOLD
from balsamlift.relay.crashes._fingerprint import fingerprint
from balsamlift.relay.crashes._part_guard import PartGuard

__all__ = [
    "CRASHING_REQUEST",
    "CRASH_THRESHOLD",
    "CrashGuard",
    "PartGuard",
    "fingerprint",
]
