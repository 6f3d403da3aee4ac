"""Serve generations of unknown length on crowded engines.

Only modules that are cheap to import are imported here. The daemon is in
`balsamlift.daemon`, the client library in `balsamlift.client`.
"""

from balsamlift.clock import Clock, SystemClock
from balsamlift.exceptions import (
    BalsamliftError,
    RefusedError,
    SettingsError,
)
from balsamlift.kernel import Kernel, Service
from balsamlift.settings import Settings, load_settings

__all__ = [
    "BalsamliftError",
    "Clock",
    "Kernel",
    "RefusedError",
    "Service",
    "Settings",
    "SettingsError",
    "SystemClock",
    "load_settings",
]
