"""Process the messages that other hosts send."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs

from balsamlift.peers._links import Links
from balsamlift.peers._load import Load
from balsamlift.peers._members import Members
from balsamlift.peers._messages import Member, PeerMessage
from balsamlift.peers._peer_statuses import PeerStatuses
from balsamlift.peers._reports import Reports
from balsamlift.peers._sharing import Sharing
from balsamlift.peers._upstreams import Upstreams
from balsamlift.timeline import Timeline


@attrs.frozen(kw_only=True)
class Receiver:
    """Pass the contents of each peer message to the objects concerned."""

    _members: Members
    _peer_statuses: PeerStatuses
    _load: Load
    _links: Links
    _reports: Reports
    _sharing: Sharing
    _upstreams: Upstreams
    _timeline: Timeline
    _addresses: Callable[[], Mapping[str, str]]  # of all other hosts
    _on_member: Callable[[str], None]  # after the entry of a host changed
    _on_version: Callable[[int, str], None]  # configuration version, host

    def process(self, message: PeerMessage) -> None:
        """Process one message, unless it is from before a restart."""
        self._timeline.observe(message.stamp)
        is_own = message.host == self._members.own.host
        if is_own or not self._update_sender(message):
            return
        for member in message.members:
            self._merge_member(member)
        self._load.peer_counts.update(
            message.host, message.counts, full=message.counts_are_full
        )
        self._reports.receive(message)
        # Evacuations come before the configuration: a host that has just
        # started must not serve with the configuration alone.
        if message.evacuations is not None:
            self._upstreams.evacuations.offer(message.evacuations, "peer")
        self._on_version(message.offset, message.host)
        self._sharing.apply(message.shared, self._upstreams)
        self._correct(message)
        self._update_link(message)

    def _update_sender(self, message: PeerMessage) -> bool:
        """Update the sender's status; return false for an outdated message."""
        host = message.host
        seen = self._members.incarnations(host)
        if message.incarnation in seen[:-1]:
            return False  # from before its restart
        if not self._peer_statuses.find_incarnation(host, message.incarnation):
            self._load.peer_counts.drop(host)
        return self._peer_statuses.update(message)

    def _merge_member(self, member: Member) -> None:
        link = self._links.find(member.host)
        is_heard = self._peer_statuses.heard_recently(
            member.host, member.incarnation
        )
        if member.state == "dead" and link and is_heard:
            # Only the host itself can supersede this entry, so send it there.
            link.extra_members[member.host] = member
        elif self._members.merge(member):
            self._on_member(member.host)

    def _correct(self, message: PeerMessage) -> None:
        """Send a sender this host's entry for it if that entry is wrong.

        The entry is wrong if it is dead or of another incarnation; the
        sender then supersedes it.
        """
        known = self._members.find(message.host)
        if known is None:
            return
        is_other = known.incarnation != message.incarnation
        if is_other or known.state == "dead":
            self._members.mark_changed(message.host)

    def _update_link(self, message: PeerMessage) -> None:
        link = self._links.find(message.host)
        if link is not None:
            link.receive_ack(message.acked_seq, message.needs_full_state)
            if message.wants_members:
                link.sent_changes = attrs.evolve(link.sent_changes, members=0)
            return
        address = self._addresses().get(message.host)
        if address and message.chosen:
            self._links.open(message.host, address)
