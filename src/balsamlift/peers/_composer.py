"""Compose the messages to peers, each with only what is new to that peer."""

from __future__ import annotations

import itertools
import random

import attrs

from balsamlift.clock import Clock
from balsamlift.peers._counts import OwnCounts
from balsamlift.peers._evacuations import EvacuationSnapshot
from balsamlift.peers._link import Draft, Link, SentChanges
from balsamlift.peers._members import Members
from balsamlift.peers._messages import Member, PeerMessage, SharedPlatformState
from balsamlift.peers._peer_statuses import PeerStatuses
from balsamlift.peers._reports import Reports

RECENT_MEMBERS = 32  # changes sent on a new link; the peer requests the rest
SAMPLE_EVERY = 8  # messages per random entry, sent in case the peer missed it
FULL_COUNTS_EVERY = 40  # messages


@attrs.frozen(kw_only=True)
class OwnStatus:
    """Hold the state of this host that every message carries."""

    stamp: str
    offset: int
    caught_up: bool
    chosen: bool
    wants_members: bool
    shared: SharedPlatformState | None = None
    evacuations: EvacuationSnapshot | None = None


class Composer:
    """Compose messages to peers from the tables of this host."""

    def __init__(
        self,
        members: Members,
        counts: OwnCounts,
        reports: Reports,
        peer_statuses: PeerStatuses,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Read from these tables, which other objects update."""
        self._members = members
        self._counts = counts
        self._reports = reports
        self._peer_statuses = peer_statuses
        self._clock = clock
        self._random = rng
        self._seqs = itertools.count(1)

    def compose(self, link: Link, status: OwnStatus) -> Draft:
        """Return the next message on that link."""
        peer_status = self._peer_statuses.find(link.host)
        own = self._members.own
        sends_full_counts = self._are_full_counts_due(link)
        sent, reports = link.sent_changes.reports, self._reports
        message = PeerMessage(
            host=own.host,
            incarnation=own.incarnation,
            seq=next(self._seqs),
            previous_seq=link.last_seq if link.sent_changes.any_sent else 0,
            acked_seq=peer_status.seq if peer_status else 0,
            needs_full_state=peer_status.needs_full_state
            if peer_status
            else False,
            stamp=status.stamp,
            offset=status.offset,
            caught_up=status.caught_up,
            chosen=status.chosen,
            wants_members=status.wants_members,
            members=self._members_for(link),
            counts=self._counts_for(link, sends_full_counts),
            counts_are_full=sends_full_counts,
            upstream_reports=reports.upstream_states.changed_since(
                sent.upstream_states, self._clock.monotonic()
            ),
            shared=status.shared,
            evacuations=status.evacuations,
            crash_reports=reports.crashes.changed_since(sent.crashes),
            rate_limits=reports.rate_limits.changed_since(sent.rate_limits),
            leaving_notices=reports.leaving_notices.changed_since(
                sent.leaving_notices
            ),
            part_reports=reports.parts.changed_since(sent.parts),
            silence_reports=reports.silences.changed_since(sent.silences),
        )
        sent_changes = SentChanges(
            self._members.change, self._counts.change, reports.change
        )
        return Draft(message, sent_changes)

    def _members_for(self, link: Link) -> list[Member]:
        sent_change = link.sent_changes.members
        is_new = sent_change is None
        if sent_change is None:
            sent_change = max(0, self._members.change - RECENT_MEMBERS)
        entries = {m.host: m for m in self._members.changed_since(sent_change)}
        if is_new:
            entries[self._members.own.host] = self._members.own
        elif link.sent_messages % SAMPLE_EVERY == 0:
            sample = self._members.sample(self._random)
            entries[sample.host] = sample
        entries.update(link.extra_members)
        return list(entries.values())

    def _are_full_counts_due(self, link: Link) -> bool:
        return (
            link.sent_changes.counts is None
            or link.sent_messages % FULL_COUNTS_EVERY == 0
        )

    def _counts_for(
        self, link: Link, sends_full_counts: bool
    ) -> dict[str, int]:
        if sends_full_counts or link.sent_changes.counts is None:
            return self._counts.full()
        return self._counts.changed_since(link.sent_changes.counts)
