"""Take in what other hosts tell."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from balsamlift.peers._crash_reports import CrashReports
from balsamlift.peers._heard import HeardPeers
from balsamlift.peers._links import Links
from balsamlift.peers._load import Load
from balsamlift.peers._members import Members
from balsamlift.peers._messages import Member, PeerMessage
from balsamlift.peers._sharing import Sharing
from balsamlift.peers._told import ToldUpstreams
from balsamlift.peers._upstreams import Upstreams
from balsamlift.timeline import Timeline


@attrs.frozen(kw_only=True)
class Receiver:
    """Bring each message of a peer to the parts that it concerns."""

    _members: Members
    _heard: HeardPeers
    _load: Load
    _links: Links
    _told: ToldUpstreams
    _crash_reports: CrashReports
    _sharing: Sharing
    _upstreams: Upstreams
    _timeline: Timeline
    _addresses: Callable[[], Mapping[str, str]]  # of all other hosts
    _on_member: Callable[[str], None]  # after the entry of a host changed
    _on_version: Callable[[int, str], None]  # configuration version, host

    def take(self, message: PeerMessage) -> None:
        """Take one message in, unless it is from before a restart."""
        self._timeline.observe(message.stamp)
        is_own = message.host == self._members.own.host
        if is_own or not self._take_heard(message):
            return
        for member in message.members:
            self._take_member(member)
        self._load.heard.take(
            message.host, message.counts, full=message.counts_are_full
        )
        self._told.take(message.notes)
        self._crash_reports.add(message.crash_reports)
        # Before the configuration: a host that has just started must not
        # serve by that alone.
        if message.evacuations is not None:
            self._upstreams.evacuations.offer(message.evacuations, "peer")
        self._on_version(message.offset, message.host)
        self._sharing.apply(message.shared, self._upstreams)
        self._correct(message)
        self._answer(message)

    def _take_heard(self, message: PeerMessage) -> bool:
        """Note that the sender lives; return false for what is outdated."""
        host = message.host
        seen = self._members.incarnations(host)
        if message.incarnation in seen[:-1]:
            return False  # from before its restart
        if not self._heard.find_incarnation(host, message.incarnation):
            self._load.heard.drop(host)
        return self._heard.take(message)

    def _take_member(self, member: Member) -> None:
        link = self._links.find(member.host)
        is_heard = self._heard.hears(member.host, member.incarnation)
        if member.state == "dead" and link and is_heard:
            # Only the host itself can outdo this, so let it know.
            link.extra_members[member.host] = member
        elif self._members.merge(member):
            self._on_member(member.host)

    def _correct(self, message: PeerMessage) -> None:
        """Let a sender know when our entry for it is not its own."""
        known = self._members.find(message.host)
        if known is None:
            return
        is_other = known.incarnation != message.incarnation
        if is_other or known.state == "dead":
            self._members.touch(message.host)

    def _answer(self, message: PeerMessage) -> None:
        link = self._links.find(message.host)
        if link is not None:
            link.heard(message.acked_seq, message.missed)
            if message.wants_members:
                link.told = attrs.evolve(link.told, members=0)
            return
        address = self._addresses().get(message.host)
        if address and message.chosen:
            self._links.open(message.host, address)
