"""The tasks that this host has on behalf of the others."""

from __future__ import annotations

from balsamlift.peers._host_ranks import (
    HostRank,
    find_rank,
    hosts_for,
    is_reader,
)
from balsamlift.peers._load import Load
from balsamlift.peers._members import Members
from balsamlift.peers._peer_statuses import PeerStatuses
from balsamlift.peers._permits import GrantingHosts
from balsamlift.peers._shared_records import SharedRecords
from balsamlift.peers._upstreams import Upstreams

# All other hosts ask the first one. The second is as up to date and takes over
# when the first is gone.
RECORD_READERS = 2


class HostRoles:
    """Compute this host's rank and tasks from the hosts that it knows."""

    def __init__(
        self,
        members: Members,
        peer_statuses: PeerStatuses,
        load: Load,
        records: SharedRecords,
        max_list_readers: int,
    ) -> None:
        """Read from these tables, which other objects update."""
        self._members = members
        self._peer_statuses = peer_statuses
        self._load = load
        self._records = records
        self._max_list_readers = max_list_readers

    def start(self, upstreams: Upstreams) -> None:
        """Take listed hosts from `upstreams`."""
        self._upstreams = upstreams

    def rank_for(self, subject: str) -> HostRank:
        """Return this host's rank among the live hosts for that subject."""
        return find_rank(self._own_host, self._live_others(), subject)

    def hosts_for(self, subject: str) -> list[str]:
        """Return the live hosts by their rank for that subject."""
        return hosts_for([self._own_host, *self._live_others()], subject)

    def known_rank_for(self, subject: str) -> HostRank:
        """Return this host's rank among all known hosts, also silent ones.

        Hosts on both sides of a network partition still agree on it.
        """
        others = {member.host for member in self._members.others()}
        others |= {host.host for host in self._upstreams.entry_hosts()}
        others.discard(self._own_host)
        return find_rank(self._own_host, others, subject)

    def granting_hosts(self) -> GrantingHosts:
        """Return the live hosts, one of which grants permits."""
        own = self._members.own
        live = [
            member
            for member in self._members.others()
            if member.state == "live" and member.counts_address
        ]
        if own.state == "live" or not live:
            live.append(own)
        return GrantingHosts(
            own=own.host,
            addresses={m.host: m.counts_address for m in live},
            known=self.known_rank_for(own.host).hosts,
        )

    def probing_hosts(self) -> list[str]:
        """Return the hosts that share the probes of upstreams."""
        return [self._own_host, *self._live_others()]

    def reads_list_often(self) -> bool:
        """Return whether to read the list often.

        With many hosts, the source itself waits for changes.
        """
        return not self._load.is_full_mesh or self.reads_for_others()

    @property
    def reads_records(self) -> bool:
        """Return whether this host reads the platform's records itself.

        Where hosts are few, all do. Where they are many, some read for all,
        and so does any host that others ask, whatever rank it computes for
        itself.
        """
        if self._load.is_full_mesh or self._records.has_recent_requests:
            return True
        return self.reads_for_others(RECORD_READERS)

    def reads_for_others(self, max_readers: int | None = None) -> bool:
        """Return whether this host sends changes of the list to the others."""
        readers = [
            member.host
            for member in self._members.others()
            if member.state == "live"
            and not self._peer_statuses.lacks_list(member.host)
        ]
        if max_readers is None:
            max_readers = self._max_list_readers
        return is_reader(self._own_host, readers, max_readers)

    def wants_members(self) -> bool:
        """Return whether this host knows under half of the listed hosts."""
        listed = len(self._upstreams.entry_hosts())
        return len(self._members) * 2 < listed

    @property
    def _own_host(self) -> str:
        return self._members.own.host

    def _live_others(self) -> list[str]:
        return [
            member.host
            for member in self._members.others()
            if member.state == "live"
        ]
