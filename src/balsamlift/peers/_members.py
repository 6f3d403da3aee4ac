"""The membership table, merged from the entries that hosts send."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Any

import msgspec

from balsamlift.peers._messages import Member
from balsamlift.peers._upstream import EntryHost

MAX_INCARNATIONS = 16  # kept per host


class Members:
    """Hold the newest entry of each host and the order of changes.

    Changes are numbered from 1, so that a link can send only what changed
    since its last message.
    """

    def __init__(self, own: Member) -> None:
        """Start with the entry of this host alone."""
        self.own = own
        self.change = 0
        self._members: dict[str, Member] = {}
        self._changes: dict[str, int] = {}  # by host, oldest first
        self._incarnations: dict[str, list[str]] = {}
        self._dead: set[str] = set()
        self._put(own)

    def __len__(self) -> int:
        """Return the number of entries, including this host's."""
        return len(self._members)

    @property
    def live_others(self) -> int:
        """Return the number of other hosts that are not dead."""
        return len(self._members) - 1 - len(self._dead)

    def find(self, host: str) -> Member | None:
        """Return the entry of a host."""
        return self._members.get(host)

    def others(self) -> list[Member]:
        """Return the entries of all other hosts, whatever their state."""
        return [m for m in self._members.values() if m is not self.own]

    def incarnations(self, host: str) -> tuple[str, ...]:
        """Return the known incarnations of a host, the latest last."""
        return tuple(self._incarnations.get(host, ()))

    def merge(self, member: Member) -> bool:
        """Merge a received entry; return whether it changed the table."""
        if member.host == self.own.host:
            return self._refute(member)
        known = self._members.get(member.host)
        if known is None and member.state == "dead":
            return False
        if known is not None and known.order >= member.order:
            return False
        self._put(member)
        return True

    def change_own(self, **fields: Any) -> bool:
        """Change fields of this host's entry; return whether any differ."""
        if msgspec.structs.replace(self.own, **fields) == self.own:
            return False
        self._put_own(version=self.own.version + 1, **fields)
        return True

    def declare_dead(self, host: str) -> bool:
        """Mark a known host as dead; return whether it was not before."""
        known = self._members.get(host)
        if known is None or known.state == "dead":
            return False
        self._put(msgspec.structs.replace(known, state="dead"))
        return True

    def mark_changed(self, host: str) -> None:
        """Mark the entry of a host as changed, so that it is sent again."""
        if host in self._members:
            self._record_change(host)

    def forget(self, host: str) -> None:
        """Drop the entry and the incarnations of a host."""
        self._members.pop(host, None)
        self._changes.pop(host, None)
        self._incarnations.pop(host, None)
        self._dead.discard(host)

    def changed_since(self, change: int) -> list[Member]:
        """Return the entries that changed after that change number."""
        changed = []
        for host, number in reversed(self._changes.items()):
            if number <= change:
                break
            changed.append(self._members[host])
        return changed

    def sample(self, rng: random.Random) -> Member:
        """Return one entry at random."""
        return rng.choice(list(self._members.values()))

    def _refute(self, member: Member) -> bool:
        """Supersede a different entry that others hold of this host."""
        own = self.own
        if member.order < own.order or member == own:
            return False
        if member.incarnation != own.incarnation:
            self._put_own(epoch=member.epoch + 1)
            return True
        # An entry that differs only in its version is this host's own,
        # returned by a peer.
        self._put_own(version=member.version + 1)
        return True

    def _put_own(self, **changes: Any) -> None:
        self.own = msgspec.structs.replace(self.own, **changes)
        self._put(self.own)

    def _put(self, member: Member) -> None:
        self._members[member.host] = member
        if member.state == "dead":
            self._dead.add(member.host)
        else:
            self._dead.discard(member.host)
        self._record_change(member.host)
        seen = self._incarnations.setdefault(member.host, [])
        if member.incarnation in seen:
            seen.remove(member.incarnation)
        seen.append(member.incarnation)
        del seen[:-MAX_INCARNATIONS]

    def _record_change(self, host: str) -> None:
        self.change += 1
        self._changes.pop(host, None)
        self._changes[host] = self.change


def peer_addresses(
    members: Members, listed: Iterable[EntryHost]
) -> dict[str, str]:
    """Return the peer addresses of the other hosts that are not dead.

    A host's own entry takes precedence over the platform's list.
    """
    addresses = {
        host.host: host.peers_address for host in listed if host.peers_address
    }
    for member in members.others():
        if member.state != "dead":
            addresses[member.host] = member.peers_address
    addresses.pop(members.own.host, None)
    return addresses
