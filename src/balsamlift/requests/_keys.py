"""Request keys. The form of a key determines who may dispatch its request.

A homed key is `HOST~INCARNATION~EPOCH.RANDOM`: only that incarnation of
that host, its home, may dispatch it. An unhomed key is
`TIMESTAMP_MS-RANDOM`: a host must claim it on the log first.
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
    """Identify the incarnation of a host that may dispatch a key."""

    host: str
    incarnation: str

    @property
    def name(self) -> str:
        """Return the name that peers use for it, `HOST~INCARNATION`."""
        return f"{self.host}~{self.incarnation}"


@attrs.frozen
class HomedKey:
    """Represent a parsed key that has a home."""

    text: str
    home: Home
    epoch: int


@attrs.frozen
class UnhomedKey:
    """Represent a parsed key that has no home."""

    text: str
    created_ms: int


Key = HomedKey | UnhomedKey


def parse_key(text: str) -> Key:
    """Return the parsed key; raise `BadKeyError` if it has neither form."""
    if match := _HOMED.fullmatch(text):
        home = Home(match["host"], match["incarnation"])
        return HomedKey(text, home, int(match["epoch"]))
    if match := _UNHOMED.fullmatch(text):
        return UnhomedKey(text, int(match["created_ms"]))
    raise BadKeyError


def parse_home(name: str) -> Home:
    """Return the home with the given `HOST~INCARNATION` name."""
    host, _, incarnation = name.partition("~")
    return Home(host, incarnation)


def key_prefix(home: Home, epoch: int) -> str:
    """Return the prefix of keys of this home and epoch."""
    return f"{home.name}~{epoch}"


def new_homed_key(prefix: str) -> str:
    """Return a new random key under a host's prefix."""
    return f"{prefix}.{secrets.token_hex(RANDOM_BYTES)}"


def new_unhomed_key(now: datetime) -> str:
    """Return a new random key without a home."""
    created_ms = int(now.timestamp() * 1_000)
    return f"{created_ms}-{secrets.token_hex(RANDOM_BYTES)}"
