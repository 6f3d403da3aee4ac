"""Which hosts do a thing for all of them."""

from __future__ import annotations

import zlib
from collections.abc import Collection, Iterable

import attrs


def is_reader(own: str, others: Collection[str], most: int) -> bool:
    """Tell whether `own` reads the platform's list for these hosts."""
    return own in rank_hosts({own, *others})[:most]


def rank_hosts(hosts: Iterable[str]) -> list[str]:
    """Return hosts in an order that is the same on each of them.

    It says nothing of where a host is: names count up within a failure
    domain, which may be lost at once.
    """
    return sorted(hosts, key=_rank)


@attrs.frozen
class Place:
    """Hold where a host stands among all live ones, 0 being the first."""

    position: int
    hosts: int


def find_place(own: str, others: Collection[str], subject: str) -> Place:
    """Return this host's place in the order that belongs to `subject`.

    Each subject has an order of its own, the same on all hosts, so that
    what only a few do for each is shared out over all.
    """
    own_rank = _rank_for(own, subject)
    before = sum(_rank_for(other, subject) < own_rank for other in others)
    return Place(before, len(others) + 1)


def _rank_for(host: str, subject: str) -> tuple[int, str]:
    return zlib.crc32(f"{subject}/{host}".encode()), host


def _rank(host: str) -> tuple[int, str]:
    return zlib.crc32(host.encode()), host
