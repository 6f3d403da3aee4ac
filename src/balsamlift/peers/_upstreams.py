"""The upstreams and entry hosts: the platform's list and our marks."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence

import attrs
from loguru import logger

from balsamlift._http import HttpClient
from balsamlift.clock import Clock
from balsamlift.kernel import Kernel
from balsamlift.metrics import Metrics
from balsamlift.operators import JsonHandler, OperatorsServer
from balsamlift.peers._evacuations import Evacuations
from balsamlift.peers._hosts_list import (
    ENTRY_ROLE,
    HostsList,
    ListEntry,
)
from balsamlift.peers._incarnations import take_latest
from balsamlift.peers._list_reader import ListReader, UpstreamList
from balsamlift.peers._marks import Marks, UpstreamState, worse
from balsamlift.peers._probes import Probes
from balsamlift.peers._upstream import (
    EntryHost,
    Upstream,
    incarnation_name,
    join_entry_host,
    join_upstream,
)
from balsamlift.settings import Settings
from balsamlift.timeline import Timeline

log = logger.bind(part="upstreams")

PEER_SOURCE = "peer"  # the source of a mark that is a peer's word
LIST_SOURCE = "list"
LIST_TIMEOUT_MS = 2_000


@attrs.define
class _Known:
    """Hold what the list says of an upstream, and the marks on it."""

    listed: Upstream
    evacuations: Evacuations
    cold_until_s: float = 0.0
    written: int | None = None  # when that was told
    marks: Marks = attrs.field(factory=Marks)
    upstream: Upstream = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.refresh()

    def refresh(self) -> bool:
        """Work the state out anew; tell whether it has changed."""
        state = worse(self.listed.state, self.marks.worst)
        before = getattr(self, "upstream", None)
        self.upstream = attrs.evolve(
            self.listed,
            state=state,
            is_evacuated=self.evacuations.covers(self.listed.failure_domain),
            cold_until_s=self.cold_until_s,
        )
        return self.upstream != before


class Upstreams:
    """Know which upstreams may take new work.

    The list, the upstream's own word, failed connections and peers' words
    all count at once, and the most pessimistic wins. None in an evacuated
    failure domain may.
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

        Upstreams of another source are not probed: only those of our own
        interface tell their state by key.
        """
        self._settings = settings
        self._clock = clock
        self._is_probing = source is None
        self._metrics = Metrics()  # until `start`: evacuations may come first
        self._random = random.Random(settings.seed or None)
        self._reader = ListReader(
            source
            or HostsList(
                http, settings.platform.hosts_address, LIST_TIMEOUT_MS
            ),
            settings.platform,
            clock,
            self._random,
            self._take_reading,
        )
        self.evacuations = Evacuations()
        self.evacuations.on_change(self._take_evacuations)
        self._lapsed: set[str] = set()
        self._entries: list[ListEntry] = []  # of upstreams, as last read
        self._known: dict[str, _Known] = {}
        self._usable: dict[str, list[Upstream]] = {}
        self._entry_hosts: list[EntryHost] = []
        self._on_change: list[Callable[[], None]] = []
        self._on_mark: list[Callable[[Upstream], None]] = []
        self._sharers: Callable[[], Sequence[str]] = self._listed_hosts
        self._probes = Probes(self, clock, http, self._random, settings.host)

    async def start(self, kernel: Kernel) -> None:
        """Read the list once, then keep reading it."""
        self._timeline = kernel.find("timeline", Timeline)
        self._metrics = kernel.find("metrics", Metrics)
        operators = kernel.find("operators", OperatorsServer)
        arguments = {"upstreams": self}
        operators.add_routes([(r"/v1/upstreams", UpstreamsHandler, arguments)])
        await self._reader.start(self._timeline, self._metrics)
        if self._is_probing:
            self._probes.start()

    async def stop(self) -> None:
        """End reading the list and probing."""
        await self._probes.stop()
        await self._reader.stop()

    def all(self) -> list[Upstream]:
        """Return every upstream on the list, whatever its state."""
        return [known.upstream for known in self._known.values()]

    def find(self, name: str) -> Upstream | None:
        """Return the upstream of that name, if it is on the list."""
        known = self._known.get(name)
        return known.upstream if known else None

    def in_pool(self, pool: str) -> list[Upstream]:
        """Return the upstreams that may take new work.

        When none is live, those that are dead by peers' word alone: a peer
        cut from a whole pool must not stop everybody's work.
        """
        usable = self._usable.get(pool)
        if usable is None:
            usable = self._work_out_usable(pool)
            self._usable[pool] = usable
        return list(usable)

    def evacuated(self, pool: str) -> list[Upstream]:
        """Return those that evacuations alone keep from new work."""
        return [
            known.upstream
            for known in self._known.values()
            if known.listed.pool == pool
            and known.upstream.is_evacuated
            and known.upstream.state == "live"
        ]

    def is_in_evacuation(self, upstream: Upstream) -> bool:
        """Tell whether its failure domain is evacuated, listed or not."""
        return self.evacuations.covers(upstream.failure_domain)

    def may_take_work(self, name: str) -> bool:
        """Tell whether an upstream is there, stays and is not evacuated."""
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
        """Take in what was seen of an upstream.

        `source` says who saw it, e.g. "refusal", "connection" or
        `PEER_SOURCE`. "leaving" stays until the list shows a new
        incarnation, or the upstream itself takes it back after a while;
        "dead" until it answers; "live" takes back "dead".
        """
        known = self._known.get(name)
        if known is None:
            return
        by_peer = source == PEER_SOURCE
        is_new = known.marks.add(state, by_peer, self._clock.monotonic())
        self._refresh(known, source)
        if is_new and not by_peer:
            self._tell_mark(known.listed, state)

    def answered(self, name: str, draining: bool | None) -> None:
        """Take in that the upstream answered a probe of ours."""
        known = self._known.get(name)
        if known is None:
            return
        is_new = known.marks.answered(draining, self._clock.monotonic())
        self._refresh(known, "probe")
        if is_new:
            self._tell_mark(known.listed, "leaving")

    @property
    def is_cut_off(self) -> bool:
        """Tell whether this host cannot read the list."""
        return self._reader.is_down

    def suspend_removals(self) -> None:
        """Keep upstreams that are missing from the list for a short time.

        After a restore of the store, live upstreams write their entries again.
        """
        self._reader.suspend_removals()

    @property
    def is_settled(self) -> bool:
        """Tell whether this host's list is whole: read, and not just back."""
        return not self.is_cut_off and self._reader.can_remove

    def to_share(self) -> list[ListEntry]:
        """Return the upstreams, for a peer that cannot read the list.

        None where this host cannot read it either: what it knows is old.
        """
        return [] if self.is_cut_off else list(self._entries)

    def take_from_peer(self, entries: list[ListEntry]) -> None:
        """Take in the list that a peer read, while this host cannot.

        It only adds: what is not listed any more, peers tell as leaving.
        """
        if not self.is_cut_off:
            return
        changed = self._take_listed(self._join(entries))
        self._take_cold(entries)
        if changed:
            self._tell_change()

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after each change of the list or of a state."""
        self._on_change.append(callback)

    def on_mark(self, callback: Callable[[Upstream], None]) -> None:
        """Call back with each upstream that this host saw leave or die.

        Its state is the one seen. "live" is not told: another host may
        well be cut from the upstream.
        """
        self._on_mark.append(callback)

    def share_probes(self, sharers: Callable[[], Sequence[str]]) -> None:
        """Share probing with these hosts, this one among them."""
        self._sharers = sharers

    def share_reading(self, reads_for_others: Callable[[], bool]) -> None:
        """Read the list less often while others tell of its changes."""
        self._reader.share(reads_for_others)

    def sharers(self) -> Sequence[str]:
        """Return the hosts that probing is shared with."""
        return self._sharers()

    def _listed_hosts(self) -> list[str]:
        return [host.host for host in self._entry_hosts]

    def _work_out_usable(self, pool: str) -> list[Upstream]:
        members = [
            known
            for known in self._known.values()
            if known.listed.pool == pool and not known.upstream.is_evacuated
        ]
        live = [k.upstream for k in members if k.upstream.state == "live"]
        return live or [
            k.upstream
            for k in members
            if k.listed.state == "live" and k.marks.dead_by_peers_alone
        ]

    def _refresh(self, known: _Known, source: str) -> None:
        """Work out the state of `known`; report and tell of a change."""
        self._usable.pop(known.listed.pool, None)
        if not known.refresh():
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
        self._tell_change()

    def _take_evacuations(self) -> None:
        for known in self._known.values():
            known.refresh()
        domains = self.evacuations.domains
        self._metrics.gauge("upstreams.evacuated_domains", len(domains))
        self._tell_change()

    def _tell_change(self) -> None:
        self._usable.clear()
        for callback in self._on_change:
            callback()

    def _tell_mark(self, listed: Upstream, state: UpstreamState) -> None:
        upstream = attrs.evolve(listed, state=state)
        for callback in self._on_mark:
            callback(upstream)

    # Taking in the list

    def _take_reading(self, entries: list[ListEntry] | None) -> None:
        """Take in one reading of the list; None: it has not changed."""
        if entries is not None:
            self._take_list(entries)
        if self._reader.can_remove:
            self._drop(self._lapsed)
        if not self._is_probing:
            self._trust_list()
        self._tell_listed()

    def _tell_listed(self) -> None:
        """Tell peers that cannot read the list what it says.

        After each read, also of a list that has not changed, for a note
        lives a limited time.
        """
        for known in self._known.values():
            if known.listed.state != "live":
                self._tell_mark(known.listed, known.listed.state)

    def _take_list(self, entries: list[ListEntry]) -> None:
        hosts = [join_entry_host(e) for e in entries if e.role == ENTRY_ROLE]
        self._entries = [e for e in entries if e.role != ENTRY_ROLE]
        changed = hosts != self._entry_hosts
        self._entry_hosts = hosts
        listed = self._join(entries)
        changed |= self._take_listed(listed)
        self._take_cold(self._entries)
        ids = {upstream.id for upstream in listed}
        self._lapsed = {
            name
            for name, known in self._known.items()
            if known.listed.id not in ids
        }
        if changed:
            self._tell_change()

    def _take_cold(self, entries: Iterable[ListEntry]) -> None:
        """Take in for how long upstreams are cold, from when it is heard."""
        now_s = self._clock.monotonic()
        names = {incarnation_name(entry): entry for entry in entries}
        for name in self._known.keys() & names.keys():
            known, entry = self._known[name], names[name]
            if known.written == entry.written:
                continue
            known.written = entry.written
            known.cold_until_s = now_s + entry.cold_ms / 1_000
            known.refresh()
            self._usable.pop(known.listed.pool, None)

    def _join(self, entries: Iterable[ListEntry]) -> list[Upstream]:
        joined = [join_upstream(e, self._settings.pools) for e in entries]
        return [upstream for upstream in joined if upstream is not None]

    def _take_listed(self, listed: Iterable[Upstream]) -> bool:
        """Take in the latest incarnations; tell whether any is new."""
        known = [known.listed for known in self._known.values()]
        latest = take_latest(listed, known)
        changed = False
        for upstream in latest:
            changed |= self._take_upstream(upstream)
        ids = {upstream.id for upstream in latest}
        names = {upstream.name for upstream in latest}
        # An upstream that has started again holds nothing of before.
        self._drop(
            {u.name for u in known if u.id in ids and u.name not in names}
        )
        return changed

    def _trust_list(self) -> None:
        """Let the list outlive what was seen before."""
        now_s = self._clock.monotonic()
        for known in list(self._known.values()):
            if known.marks.worst != "live" and known.listed.state == "live":
                known.marks.listed_live(now_s)
                self._refresh(known, LIST_SOURCE)

    def _drop(self, names: Iterable[str]) -> None:
        """Drop incarnations that are gone, and tell peers."""
        dropped = self._known.keys() & set(names)
        for name in dropped:
            listed = self._known.pop(name).listed  # its marks go too
            self._tell_mark(listed, "leaving")
            log.info("{} is no longer listed", name)
        self._lapsed -= dropped
        if dropped:
            self._tell_change()

    def _take_upstream(self, listed: Upstream) -> bool:
        """Take in one entry; tell whether it is another incarnation."""
        known = self._known.get(listed.name)
        if known is None or known.listed.address != listed.address:
            self._known[listed.name] = _Known(listed, self.evacuations)
            return True
        if known.listed != listed:
            known.listed = listed
            self._refresh(known, LIST_SOURCE)
        return False


class UpstreamsHandler(JsonHandler):
    """Answer `GET /v1/upstreams` with a list of upstreams."""

    def initialize(self, upstreams: Upstreams) -> None:
        """Keep the upstreams to read."""
        self._upstreams = upstreams

    def get(self) -> None:
        """Answer with every upstream on the list."""
        self.reply(self._upstreams.all())
