"""Which hosts do a thing for all of them."""

from __future__ import annotations

import zlib
from collections.abc import Collection, Iterable


def is_reader(own: str, others: Collection[str], most: int) -> bool:
    """Tell whether `own` reads the platform's list for these hosts."""
    return own in rank_hosts({own, *others})[:most]


def rank_hosts(hosts: Iterable[str]) -> list[str]:
    """Return hosts in an order that is the same on each of them.

    It says nothing of where a host is: names count up within a failure
    domain, which may be lost at once.
    """
    return sorted(hosts, key=_rank)


def _rank(host: str) -> tuple[int, str]:
    return zlib.crc32(host.encode()), host
