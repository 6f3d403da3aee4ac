"""Draft the messages to peers: only what is news to each."""

from __future__ import annotations

import itertools
import random

import attrs

from balsamlift.clock import Clock
from balsamlift.peers._counts import OwnCounts
from balsamlift.peers._crash_reports import CrashReports
from balsamlift.peers._evacuations import EvacuationSnapshot
from balsamlift.peers._heard import HeardPeers
from balsamlift.peers._link import Draft, Link, Told
from balsamlift.peers._members import Members
from balsamlift.peers._messages import Member, PeerMessage, Shared
from balsamlift.peers._notes import Notes

RECENT_MEMBERS = 32  # changes that a new link tells; the rest it is asked for
SAMPLE_EVERY = 8  # messages per entry sent in case the peer missed it
FULL_COUNTS_EVERY = 40  # messages


@attrs.frozen(kw_only=True)
class Status:
    """Hold what every message says of this host now."""

    stamp: str
    offset: int
    caught_up: bool
    chosen: bool
    wants_members: bool
    shared: Shared | None = None
    evacuations: EvacuationSnapshot | None = None


class Composer:
    """Draft messages from what this host knows."""

    def __init__(
        self,
        members: Members,
        counts: OwnCounts,
        notes: Notes,
        crash_reports: CrashReports,
        heard: HeardPeers,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Read from the tables that others keep."""
        self._members = members
        self._counts = counts
        self._notes = notes
        self._crash_reports = crash_reports
        self._heard = heard
        self._clock = clock
        self._random = rng
        self._seqs = itertools.count(1)

    def compose(self, link: Link, status: Status) -> Draft:
        """Return the next message on that link."""
        heard = self._heard.find(link.host)
        own = self._members.own
        is_full = self._is_full_due(link)
        now_s = self._clock.monotonic()
        message = PeerMessage(
            host=own.host,
            incarnation=own.incarnation,
            seq=next(self._seqs),
            previous_seq=link.last_seq if link.told.is_any else 0,
            acked_seq=heard.seq if heard else 0,
            missed=heard.missed if heard else False,
            stamp=status.stamp,
            offset=status.offset,
            caught_up=status.caught_up,
            chosen=status.chosen,
            wants_members=status.wants_members,
            members=self._members_for(link),
            counts=self._counts_for(link, is_full),
            counts_are_full=is_full,
            notes=self._notes.changed_since(link.told.notes, now_s),
            shared=status.shared,
            evacuations=status.evacuations,
            crash_reports=self._crash_reports.changed_since(
                link.told.crash_reports
            ),
        )
        told = Told(
            self._members.change,
            self._counts.change,
            self._notes.change,
            self._crash_reports.change,
        )
        return Draft(message, told)

    def _members_for(self, link: Link) -> list[Member]:
        told = link.told.members
        is_new = told is None
        if told is None:
            told = max(0, self._members.change - RECENT_MEMBERS)
        chosen = {m.host: m for m in self._members.changed_since(told)}
        if is_new:
            chosen[self._members.own.host] = self._members.own
        elif link.sent % SAMPLE_EVERY == 0:
            sample = self._members.sample(self._random)
            chosen[sample.host] = sample
        chosen.update(link.extra_members)
        return list(chosen.values())

    def _is_full_due(self, link: Link) -> bool:
        return link.told.counts is None or link.sent % FULL_COUNTS_EVERY == 0

    def _counts_for(self, link: Link, is_full: bool) -> dict[str, int]:
        if is_full or link.told.counts is None:
            return self._counts.full()
        return self._counts.changed_since(link.told.counts)
