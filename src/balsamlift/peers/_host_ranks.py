"""Select the hosts that do a task on behalf of all."""

from __future__ import annotations

import zlib
from collections.abc import Collection, Iterable

import attrs


def is_reader(own: str, others: Collection[str], max_readers: int) -> bool:
    """Return whether `own` reads the platform's list for these hosts."""
    return own in rank_hosts({own, *others})[:max_readers]


def rank_hosts(hosts: Iterable[str]) -> list[str]:
    """Return hosts in an order that is the same on each of them.

    The order is by a hash of the name. Names are numbered within a failure
    domain, so sorted by name, the first hosts could all fail at once.
    """
    return sorted(hosts, key=_rank)


def first_host(hosts: Iterable[str], subject: str) -> str:
    """Return the host with position 0 in the order for `subject`."""
    return min(hosts, key=lambda host: _rank_for(host, subject))


def hosts_for(hosts: Iterable[str], subject: str) -> list[str]:
    """Return hosts in the order for `subject`, the same on each of them."""
    return sorted(hosts, key=lambda host: _rank_for(host, subject))


@attrs.frozen
class HostRank:
    """Hold the position of a host among all live ones, counted from 0."""

    position: int
    hosts: int


def find_rank(own: str, others: Collection[str], subject: str) -> HostRank:
    """Return the rank of `own` in the order of hosts for `subject`.

    Each subject has its own order (rendezvous hashing), the same on all
    hosts. This distributes tasks that only a few hosts do for each subject
    over all hosts.
    """
    own_rank = _rank_for(own, subject)
    before = sum(_rank_for(other, subject) < own_rank for other in others)
    return HostRank(before, len(others) + 1)


def _rank_for(host: str, subject: str) -> tuple[int, str]:
    return zlib.crc32(f"{subject}/{host}".encode()), host


def _rank(host: str) -> tuple[int, str]:
    return zlib.crc32(host.encode()), host
