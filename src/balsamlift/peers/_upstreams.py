"""Track upstreams and entry hosts, as listed and as observed by hosts."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Sequence

import attrs
from loguru import logger

from balsamlift._http import HttpClient
from balsamlift.clock import Clock
from balsamlift.kernel import Kernel
from balsamlift.metrics import Metrics
from balsamlift.operators import OperatorsServer
from balsamlift.peers._evacuations import Evacuations
from balsamlift.peers._hosts_list import ENTRY_ROLE, HostsList, ListEntry
from balsamlift.peers._known_upstream import KnownUpstream
from balsamlift.peers._leaving_notices import LeavingNotices
from balsamlift.peers._list_reader import ListReader, UpstreamList
from balsamlift.peers._observed_states import UpstreamState
from balsamlift.peers._probes import Probes
from balsamlift.peers._unlisted_upstreams import UnlistedUpstreams
from balsamlift.peers._upstream import (
    EntryHost,
    Upstream,
    build_entry_host,
)
from balsamlift.peers._upstream_table import UpstreamTable
from balsamlift.peers._upstreams_view import UpstreamsHandler
from balsamlift.settings import Settings
from balsamlift.timeline import Timeline

log = logger.bind(part="upstreams")

PEER_SOURCE = "peer"  # the source of a state reported by a peer
LIST_SOURCE = "list"
NOTICE_SOURCE = "notice"  # its own answers say that it is leaving
LIST_TIMEOUT_MS = 2_000


def _unknown_age_s() -> float:
    return math.inf


class Upstreams:
    """Track which upstreams may take new work.

    The state of an upstream is the most pessimistic of the list, its own
    answers, failed connections and reports by peers. Upstreams in evacuated
    failure domains get no new work.
    """

    name = "upstreams"

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        http: HttpClient,
        source: UpstreamList | None = None,
    ) -> None:
        """Read from `source`, or from the list that the settings name.

        Upstreams from `source` are not probed: only upstreams with the API
        of this project answer `/v1/state`.
        """
        self._clock = clock
        self._is_probing = source is None
        # Replaced in `start`; evacuations may arrive earlier.
        self._metrics = Metrics()
        self._random = random.Random(settings.seed or None)
        self._reader = ListReader(
            source
            or HostsList(
                http, settings.platform.hosts_address, LIST_TIMEOUT_MS
            ),
            settings.platform,
            clock,
            self._random,
            self._apply_reading,
        )
        self.leaving_notices = LeavingNotices(clock)
        self.evacuations = Evacuations()
        self.evacuations.on_change(self._apply_evacuations)
        self.leaving_notices.on_notice(self._apply_notice)
        self.leaving_notices.on_discard(self._apply_notice)
        self._unlisted = UnlistedUpstreams(self._reader.grace)
        self._entries: list[ListEntry] = []  # all but entry hosts
        self._table = UpstreamTable(
            settings.pools, self.evacuations, self.leaving_notices, clock
        )
        self._entry_hosts: list[EntryHost] = []
        self._on_change: list[Callable[[], None]] = []
        self._on_mark: list[Callable[[Upstream], None]] = []
        self._probing_hosts: Callable[[], Sequence[str]] = self._listed_hosts
        self._age_source: Callable[[], float] = _unknown_age_s
        self.max_age_s = math.inf
        self._probes = Probes(self, clock, http, self._random, settings.host)

    async def start(self, kernel: Kernel) -> None:
        """Read the list once, then keep reading it."""
        self._timeline = kernel.find("timeline", Timeline)
        self._metrics = kernel.find("metrics", Metrics)
        self.leaving_notices.start(self._metrics)
        self._unlisted.start(self._metrics)
        operators = kernel.find("operators", OperatorsServer)
        arguments = {"upstreams": self.all}
        operators.add_routes([(r"/v1/upstreams", UpstreamsHandler, arguments)])
        await self._reader.start(self._timeline, self._metrics)
        if self._is_probing:
            self._probes.start()

    async def stop(self) -> None:
        """Stop reading the list and probing."""
        await self._probes.stop()
        await self._reader.stop()

    def all(self) -> list[Upstream]:
        """Return all upstreams on the list, in any state."""
        return [known.upstream for known in self._table.all()]

    def find(self, name: str) -> Upstream | None:
        """Return the upstream of that name, or None if it is not listed."""
        known = self._table.find(name)
        return known.upstream if known else None

    def in_pool(self, pool: str) -> list[Upstream]:
        """Return the upstreams of a pool that may take new work.

        If none is live, returns those that only peers report as dead: a peer
        that is cut off from a whole pool must not stop the work of all hosts.
        """
        return self._table.in_pool(pool)

    def leaving_by_notice(self, pool: str) -> list[Upstream]:
        """Return the upstreams of a pool that have given notice."""
        return self._table.leaving_by_notice(pool)

    def last_resorts(self, pool: str, max_age_s: float) -> list[Upstream]:
        """Return the upstreams that gave notice at most that long ago.

        They are otherwise live, and still work for a while.
        """
        return self._table.last_resorts(pool, max_age_s)

    def evacuated(self, pool: str) -> list[Upstream]:
        """Return the upstreams that only evacuations keep from new work."""
        return self._table.evacuated(pool)

    def is_in_evacuation(self, upstream: Upstream) -> bool:
        """Return whether its failure domain is evacuated, listed or not."""
        return self.evacuations.covers(upstream.failure_domain)

    def is_leaving(self, name: str) -> bool:
        """Return whether it is leaving, or no longer listed."""
        upstream = self.find(name)
        return upstream is None or upstream.state == "leaving"

    def may_take_work(self, name: str) -> bool:
        """Return whether it is listed, not leaving and not evacuated."""
        upstream = self.find(name)
        return (
            upstream is not None
            and upstream.state != "leaving"
            and not upstream.is_evacuated
        )

    def entry_hosts(self) -> list[EntryHost]:
        """Return the entry hosts on the list, this one among them."""
        return list(self._entry_hosts)

    def mark(self, name: str, state: UpstreamState, source: str) -> None:
        """Record an observed state of an upstream.

        `source` says how it was observed, e.g. "refusal", "connection" or
        `PEER_SOURCE`. "leaving" holds until the list shows a new
        incarnation, or the upstream answers after a hold time that it is not
        draining. "dead" holds until the upstream answers; "live" clears
        "dead".
        """
        known = self._table.find(name)
        if known is None:
            return
        by_peer = source == PEER_SOURCE
        is_new = known.observed.add(state, by_peer, self._clock.monotonic())
        self._refresh(known, source)
        if is_new and not by_peer:
            self._notify_mark(known.listed, state)

    def record_answer(self, name: str, draining: bool | None) -> None:
        """Record that the upstream answered a probe of this host."""
        known = self._table.find(name)
        if known is None:
            return
        is_new = known.observed.record_answer(
            draining, self._clock.monotonic()
        )
        self._refresh(known, "probe")
        if is_new:
            self._notify_mark(known.listed, "leaving")

    @property
    def age_s(self) -> float:
        """Return the time since the list was confirmed as current."""
        return self._age_source()

    def set_age_source(
        self, age_s: Callable[[], float], max_age_s: float
    ) -> None:
        """Read the age of the list from `age_s`.

        A list older than `max_age_s` may be outdated.
        """
        self._age_source = age_s
        self.max_age_s = max_age_s

    def read_soon(self) -> None:
        """Read the list without a pause, unless the last read has failed."""
        self._reader.read_soon()

    @property
    def is_list_unavailable(self) -> bool:
        """Return whether the last read of the list failed."""
        return self._reader.is_unavailable

    def suspend_removals(self) -> None:
        """Keep upstreams that are missing from the list for a grace period.

        After a restore of the store, live upstreams write their entries again.
        """
        self._reader.grace.begin()

    @property
    def is_list_complete(self) -> bool:
        """Return whether the list is complete.

        It is not during an outage, and during the grace period after it.
        """
        return not self.is_list_unavailable and self._reader.grace.is_over

    def entries_to_share(self) -> list[ListEntry]:
        """Return the upstream entries for a peer that cannot read the list.

        Returns an empty list if this host cannot read it either, because its
        entries are outdated.
        """
        return [] if self.is_list_unavailable else list(self._entries)

    def apply_peer_list(self, entries: list[ListEntry]) -> None:
        """Apply the list that a peer read, if this host cannot read it.

        Upstreams that are missing from it are kept: peers report those that
        are no longer listed as leaving.
        """
        if not self.is_list_unavailable:
            return
        changed = self._apply_listed(self._table.build(entries))
        self._table.record_renewals(entries)
        if changed:
            self._notify_change()

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change of the list or of a state."""
        self._on_change.append(callback)

    def on_mark(self, callback: Callable[[Upstream], None]) -> None:
        """Call `callback` with each upstream observed as leaving or dead.

        The upstream has the state that this host observed. "live" is not
        reported, because another host may be cut off from the upstream.
        """
        self._on_mark.append(callback)

    def share_probes(self, probing_hosts: Callable[[], Sequence[str]]) -> None:
        """Share probing with these hosts, which include this one."""
        self._probing_hosts = probing_hosts

    def share_reading(self, reads_for_others: Callable[[], bool]) -> None:
        """Read the list less often while `reads_for_others()` is false.

        Other hosts then report its changes.
        """
        self._reader.share(reads_for_others)

    def probing_hosts(self) -> Sequence[str]:
        """Return the hosts that probe, including this one."""
        return self._probing_hosts()

    def _listed_hosts(self) -> list[str]:
        return [host.host for host in self._entry_hosts]

    def _refresh(self, known: KnownUpstream, source: str) -> None:
        """Recompute the state of `known`; log, record and notify changes."""
        if not self._table.refresh(known):
            return
        upstream = known.upstream
        log.info("{} is {} ({})", upstream.name, upstream.state, source)
        self._metrics.count(f"upstreams.{upstream.state}")
        self._timeline.record(
            "upstream_state",
            upstream=upstream.name,
            state=upstream.state,
            source=source,
        )
        self._notify_change()

    def _apply_evacuations(self) -> None:
        self._table.refresh_all()
        domains = self.evacuations.domains
        self._metrics.gauge("upstreams.evacuated_domains", len(domains))
        self._notify_change()

    def _apply_notice(self, name: str) -> None:
        known = self._table.find(name)
        if known is not None:
            self._refresh(known, NOTICE_SOURCE)

    def _notify_change(self) -> None:
        for callback in self._on_change:
            callback()

    def _notify_mark(self, listed: Upstream, state: UpstreamState) -> None:
        upstream = attrs.evolve(listed, state=state)
        for callback in self._on_mark:
            callback(upstream)

    # Reading the list

    def _apply_reading(self, entries: list[ListEntry] | None) -> None:
        """Apply one reading of the list; None: it has not changed."""
        if entries is not None:
            self._apply_list(entries)
        self._remove(self._unlisted.removable())
        if not self._is_probing:
            self._clear_outdated_observations()
        if self.is_list_complete:
            self.leaving_notices.prune(self._table.find_written)
        self._notify_listed_states()

    def _notify_listed_states(self) -> None:
        """Report listed states other than live to peers.

        Peers may be unable to read the list. This is repeated after each
        read, also of an unchanged list, because reports to peers expire.
        """
        for known in self._table.all():
            if known.listed.state != "live":
                self._notify_mark(known.listed, known.listed.state)

    def _apply_list(self, entries: list[ListEntry]) -> None:
        hosts = [build_entry_host(e) for e in entries if e.role == ENTRY_ROLE]
        self._entries = [e for e in entries if e.role != ENTRY_ROLE]
        changed = hosts != self._entry_hosts
        self._entry_hosts = hosts
        listed = self._table.build(entries)
        changed |= self._apply_listed(listed)
        renewed = self._table.record_renewals(self._entries)
        self._unlisted.record_renewed(renewed)
        self._unlisted.replace(self._table.missing_from(listed))
        if changed:
            self._notify_change()

    def _apply_listed(self, listed: Iterable[Upstream]) -> bool:
        """Apply the latest incarnations; return whether any is new."""
        changes = self._table.apply(listed)
        for known in changes.changed:
            self._refresh(known, LIST_SOURCE)
        # A restarted upstream keeps nothing of its previous incarnation.
        self._remove(changes.replaced)
        return changes.has_new

    def _clear_outdated_observations(self) -> None:
        """Clear older observations of upstreams that are listed as live."""
        now_s = self._clock.monotonic()
        for known in self._table.all():
            if known.listed.name in self._unlisted:
                continue
            if known.observed.worst != "live" and known.listed.state == "live":
                known.observed.record_listed_live(now_s)
                self._refresh(known, LIST_SOURCE)

    def _remove(self, names: Iterable[str]) -> None:
        """Remove incarnations that are gone, and report them as leaving."""
        removed = self._table.remove(names)
        for listed in removed:
            self._notify_mark(listed, "leaving")
            log.bind(list_age_ms=self._age_ms).info(
                "{} is no longer listed", listed.name
            )
        self._unlisted.discard({listed.name for listed in removed})
        if removed:
            self._notify_change()

    @property
    def _age_ms(self) -> int | None:
        """Return the age of the list; None: unknown."""
        age_s = self._age_source()
        return None if math.isinf(age_s) else round(age_s * 1_000)
