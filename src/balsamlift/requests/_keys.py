"""Request keys: who may dispatch a request can be read off its key.

A homed key is `HOST~INCARNATION~EPOCH.RANDOM`: only that incarnation of
that host may dispatch it. An unhomed key is `TIMESTAMP_MS-RANDOM` and needs
a claim on the log.
"""

from __future__ import annotations

import re
import secrets
from datetime import datetime

import attrs

from balsamlift.requests._errors import BadKeyError

RANDOM_BYTES = 16
_HOMED = re.compile(
    r"(?P<host>[A-Za-z0-9-]{1,64})~(?P<incarnation>[0-9a-f]{1,32})"
    r"~(?P<epoch>[0-9]{1,9})\.[0-9a-f]{32}"
)
_UNHOMED = re.compile(r"(?P<created_ms>[0-9]{1,15})-[0-9a-f]{32}")


@attrs.frozen
class Home:
    """Name one incarnation of one host."""

    host: str
    incarnation: str

    @property
    def name(self) -> str:
        """Return the name under which peers tell of it."""
        return f"{self.host}~{self.incarnation}"


@attrs.frozen
class HomedKey:
    """Hold the parts of a key with a home."""

    text: str
    home: Home
    epoch: int


@attrs.frozen
class UnhomedKey:
    """Hold the parts of a key without a home."""

    text: str
    created_ms: int


Key = HomedKey | UnhomedKey


def parse_key(text: str) -> Key:
    """Return the parts of a key; raise `BadKeyError`."""
    if match := _HOMED.fullmatch(text):
        home = Home(match["host"], match["incarnation"])
        return HomedKey(text, home, int(match["epoch"]))
    if match := _UNHOMED.fullmatch(text):
        return UnhomedKey(text, int(match["created_ms"]))
    raise BadKeyError


def parse_home(name: str) -> Home:
    """Return the home of that name."""
    host, _, incarnation = name.partition("~")
    return Home(host, incarnation)


def key_prefix(home: Home, epoch: int) -> str:
    """Return what keys of this home begin with."""
    return f"{home.name}~{epoch}"


def new_homed_key(prefix: str) -> str:
    """Draw a key under the prefix that a host gave."""
    return f"{prefix}.{secrets.token_hex(RANDOM_BYTES)}"


def new_unhomed_key(now: datetime) -> str:
    """Draw a key that no host is home to."""
    created_ms = int(now.timestamp() * 1_000)
    return f"{created_ms}-{secrets.token_hex(RANDOM_BYTES)}"
