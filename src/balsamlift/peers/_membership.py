"""Membership and load: what the hosts tell each other."""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
from collections.abc import Callable
from typing import Protocol, runtime_checkable

import attrs
import pynng
from loguru import logger

from balsamlift._address import join_address, split_address
from balsamlift._tasks import end_task
from balsamlift.clock import Clock
from balsamlift.exceptions import (
    PeerMessageError,
    PeersAddressError,
    ServiceMissingError,
)
from balsamlift.kernel import Kernel
from balsamlift.metrics import Metrics
from balsamlift.operators import OperatorsServer
from balsamlift.peers._counts import OwnCounts, PeerCounts
from balsamlift.peers._hosts_view import HostsHandler
from balsamlift.peers._link import Draft, Link, Told
from balsamlift.peers._marks import UpstreamState
from balsamlift.peers._members import Members
from balsamlift.peers._messages import (
    Member,
    PeerMessage,
    UpstreamNote,
    decode_message,
)
from balsamlift.peers._notes import NOTE_TTL_MS, Notes
from balsamlift.peers._partners import Partners
from balsamlift.peers._upstreams import PEER_SOURCE, Upstream, Upstreams
from balsamlift.settings import Settings
from balsamlift.timeline import Timeline

log = logger.bind(part="peers")

RECEIVE_BUFFER = 256  # messages
MAX_MESSAGE_BYTES = 1 << 20
RECENT_MEMBERS = 32  # changes that a new link tells; the rest it is asked for
SAMPLE_EVERY = 8  # messages per entry sent in case the peer missed it
FULL_COUNTS_EVERY = 40  # messages


@runtime_checkable
class Configuration(Protocol):
    """Tell how far this host has folded the configuration."""

    offset: int
    caught_up: bool


@attrs.frozen(kw_only=True)
class Peer:
    """Describe one other host as it is known now."""

    host: str
    incarnation: str
    operators_address: str
    callers_address: str
    failure_domain: str
    leaving: bool
    key_prefix: str = ""  # "" until it takes keys
    taken_over: frozenset[str] = frozenset()  # homes whose keys it holds
    offset: int = 0  # of its configuration; 0 until heard directly
    caught_up: bool = False
    last_heard_s: float | None = None  # monotonic; None: known by others


@attrs.define
class _Heard:
    """Hold the latest that one incarnation of a peer told us itself."""

    incarnation: str
    seq: int = 0
    at_s: float = 0.0
    offset: int = 0
    caught_up: bool = False
    chose_us: bool = False
    missed: bool = False


class Peers:
    """Know the other hosts: who lives, and what they have in flight.

    Each host listens on one address and keeps a sending connection to each
    partner. Partners are all hosts up to `fan_out`, else some at random;
    what is known of a host travels on from partner to partner.
    """

    name = "peers"

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        callers_address: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Listen on `settings.peers_address`; see `address` for the port.

        `incarnation` is drawn anew at each start of a daemon, and
        `callers_address` is the bound one. Raises `PeersAddressError`.
        """
        self._settings = settings
        self._clock = clock
        self._random = rng
        self._pull = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER, recv_max_size=MAX_MESSAGE_BYTES
        )
        self.address = _listen(self._pull, settings.peers_address)
        self._members = Members(
            Member(
                host=settings.host,
                incarnation=incarnation,
                epoch=int(clock.now().timestamp() * 1_000),
                version=1,
                state="live",
                operators_address=settings.operators_address,
                callers_address=callers_address,
                peers_address=self.address,
                failure_domain=settings.failure_domain,
            )
        )
        self._seqs = itertools.count(1)
        self._partners = Partners(settings.peers, clock, rng)
        self._links: dict[str, Link] = {}
        self._heard: dict[str, _Heard] = {}
        self._dead_since_s: dict[str, float] = {}
        self._own_counts = OwnCounts()
        self._peer_counts = PeerCounts()
        self._notes = Notes()
        self._on_change: list[Callable[[], None]] = []
        self._configuration: Configuration | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, kernel: Kernel) -> None:
        """Begin to receive, and to send to the hosts on the list."""
        self._kernel = kernel
        self._timeline = kernel.find("timeline", Timeline)
        self._metrics = kernel.find("metrics", Metrics)
        self._upstreams = kernel.find("upstreams", Upstreams)
        operators = kernel.find("operators", OperatorsServer)
        self._members.change_own(operators_address=operators.address)
        arguments = {"peers": self, "upstreams": self._upstreams}
        operators.add_routes([(r"/v1/hosts", HostsHandler, arguments)])
        self._upstreams.on_mark(self._note)
        self._upstreams.on_change(self._apply_notes)
        self._upstreams.share_probes(self._sharers)
        self._tasks = [
            asyncio.create_task(self._keep_receiving()),
            asyncio.create_task(self._keep_links()),
        ]

    async def stop(self) -> None:
        """Close the address and every connection."""
        # First the address: a receive that completes while it is being
        # cancelled swallows the cancellation.
        self._pull.close()
        for task in self._tasks:
            await end_task(task)
        for link in self._links.values():
            await link.stop()

    @property
    def own(self) -> Member:
        """Return this host's own entry."""
        return self._members.own

    @property
    def offset(self) -> int:
        """Return up to where this host has folded the configuration."""
        configuration = self._find_configuration()
        return configuration.offset if configuration else 0

    @property
    def caught_up(self) -> bool:
        """Tell whether this host's configuration is caught up."""
        configuration = self._find_configuration()
        return configuration.caught_up if configuration else False

    def live(self) -> list[Peer]:
        """Return the other hosts that live, the leaving ones too."""
        return [
            self._peer(member)
            for member in self._members.others()
            if member.state != "dead"
        ]

    def find(self, host: str) -> Peer | None:
        """Return another host, if it lives."""
        member = self._members.find(host)
        if member is None or member is self.own or member.state == "dead":
            return None
        return self._peer(member)

    def known_incarnations(self, host: str) -> tuple[str, ...]:
        """Return the incarnations seen of a host, the latest last."""
        return self._members.incarnations(host)

    def in_flight(self, upstream: str) -> int:
        """Return the sum of the live peers' counts for an upstream.

        With more hosts than partners, the partners' sum is scaled up.
        """
        total = self._peer_counts.total(upstream)
        told = self._peer_counts.hosts()
        live = len(self._members) - 1 - len(self._dead_since_s)
        if live <= self._settings.peers.fan_out or not told:
            return total
        return round(total * live / told)

    def set_in_flight(self, upstream: str, n: int) -> None:
        """Tell peers of this host's count with the next heartbeat."""
        self._own_counts.set(upstream, n)

    def note_upstream(self, name: str, state: UpstreamState) -> None:
        """Tell peers at once that an upstream is leaving or dead."""
        upstream = self._upstreams.find(name)
        if upstream is not None and state != "live":
            self._note(attrs.evolve(upstream, state=state))

    def announce_leaving(self) -> None:
        """Tell peers at once that this host is leaving."""
        self._members.change_own(state="leaving")
        self._wake_links()

    @property
    def leaving(self) -> bool:
        """Tell whether this host is leaving."""
        return self._members.own.state == "leaving"

    def set_key_prefix(self, prefix: str) -> None:
        """Tell peers what the keys of this host begin with."""
        if prefix != self._members.own.key_prefix:
            self._members.change_own(key_prefix=prefix)
            self._wake_links()

    def set_taken_over(self, homes: list[str]) -> None:
        """Tell peers at once whose keys this host has taken over."""
        if homes != self._members.own.taken_over:
            self._members.change_own(taken_over=homes)
            self._wake_links()

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after each change of a host."""
        self._on_change.append(callback)

    def _peer(self, member: Member) -> Peer:
        peer = Peer(
            host=member.host,
            incarnation=member.incarnation,
            operators_address=member.operators_address,
            callers_address=member.callers_address,
            failure_domain=member.failure_domain,
            leaving=member.state == "leaving",
            key_prefix=member.key_prefix,
            taken_over=frozenset(member.taken_over),
        )
        heard = self._heard.get(member.host)
        if heard is None or heard.incarnation != member.incarnation:
            return peer
        return attrs.evolve(
            peer,
            offset=heard.offset,
            caught_up=heard.caught_up,
            last_heard_s=heard.at_s,
        )

    def _sharers(self) -> list[str]:
        live = [peer.host for peer in self.live() if not peer.leaving]
        return [self.own.host, *live]

    # Receiving

    async def _keep_receiving(self) -> None:
        while True:
            try:
                data = await self._pull.arecv()
            except pynng.Closed:
                return
            self._metrics.count("peers.messages_received")
            self._metrics.count("peers.bytes_received", len(data))
            try:
                message = decode_message(data)
            except PeerMessageError as error:
                self._metrics.count("peers.messages_void")
                log.warning("void message: {}", error)
                continue
            self._take(message)

    def _take(self, message: PeerMessage) -> None:
        self._timeline.observe(message.stamp)
        if message.host == self.own.host or not self._take_heard(message):
            return
        for member in message.members:
            self._take_member(member)
        self._peer_counts.take(
            message.host, message.counts, full=message.counts_are_full
        )
        self._take_notes(message.notes)
        self._correct(message)
        self._answer(message)

    def _take_heard(self, message: PeerMessage) -> bool:
        """Note that the sender lives; return false for what is outdated."""
        heard = self._heard.get(message.host)
        if heard is None or heard.incarnation != message.incarnation:
            seen = self._members.incarnations(message.host)
            if message.incarnation in seen[:-1]:
                return False  # from before its restart
            heard = _Heard(message.incarnation)
            self._heard[message.host] = heard
            self._peer_counts.drop(message.host)
        elif message.seq <= heard.seq:
            return False
        heard.missed |= message.previous_seq not in (0, heard.seq)
        heard.seq = message.seq
        heard.at_s = self._clock.monotonic()
        heard.offset = message.offset
        heard.caught_up = message.caught_up
        heard.chose_us = message.chosen
        return True

    def _take_member(self, member: Member) -> None:
        link = self._links.get(member.host)
        if member.state == "dead" and link and self._hears(member):
            # Only the host itself can outdo this, so let it know.
            link.extra_members[member.host] = member
            return
        if self._members.merge(member):
            self._member_changed(member.host)

    def _hears(self, member: Member) -> bool:
        heard = self._heard.get(member.host)
        if heard is None or heard.incarnation != member.incarnation:
            return False
        silence_s = self._settings.peers.silence_ms / 1_000
        return self._clock.monotonic() - heard.at_s <= silence_s

    def _take_notes(self, notes: list[UpstreamNote]) -> None:
        now_s = self._clock.monotonic()
        news = [note for note in notes if self._notes.add(note, now_s)]
        if news:
            self._apply_notes()
            self._wake_links()

    def _correct(self, message: PeerMessage) -> None:
        """Let a sender know when our entry for it is not its own."""
        known = self._members.find(message.host)
        if known is None:
            return
        is_other = known.incarnation != message.incarnation
        if is_other or known.state == "dead":
            self._members.touch(message.host)

    def _answer(self, message: PeerMessage) -> None:
        link = self._links.get(message.host)
        if link is not None:
            link.heard(message.acked_seq, message.missed)
            if message.wants_members:
                link.told = attrs.evolve(link.told, members=0)
            return
        address = self._addresses().get(message.host)
        if address and message.chosen:
            self._open_link(message.host, address)

    # Sending

    def _compose(self, link: Link) -> Draft:
        heard = self._heard.get(link.host)
        message = PeerMessage(
            host=self.own.host,
            incarnation=self.own.incarnation,
            seq=next(self._seqs),
            previous_seq=link.last_seq,
            acked_seq=heard.seq if heard else 0,
            missed=heard.missed if heard else False,
            stamp=self._timeline.stamp(),
            offset=self.offset,
            caught_up=self.caught_up,
            chosen=link.host in self._partners.chosen,
            wants_members=self._wants_members(),
            members=self._members_for(link),
            counts=self._counts_for(link),
            counts_are_full=self._is_full_due(link),
            notes=self._notes.changed_since(
                link.told.notes, self._clock.monotonic()
            ),
        )
        if heard:
            heard.missed = False
        told = Told(
            self._members.change, self._own_counts.change, self._notes.change
        )
        return Draft(message, told)

    def _members_for(self, link: Link) -> list[Member]:
        told = link.told.members
        is_new = told is None
        if told is None:
            told = max(0, self._members.change - RECENT_MEMBERS)
        chosen = {m.host: m for m in self._members.changed_since(told)}
        if is_new:
            chosen[self.own.host] = self.own
        elif link.sent % SAMPLE_EVERY == 0:
            sample = self._members.sample(self._random)
            chosen[sample.host] = sample
        chosen.update(link.extra_members)
        return list(chosen.values())

    def _is_full_due(self, link: Link) -> bool:
        return link.told.counts is None or link.sent % FULL_COUNTS_EVERY == 0

    def _counts_for(self, link: Link) -> dict[str, int]:
        if link.told.counts is None or self._is_full_due(link):
            return self._own_counts.full()
        return self._own_counts.changed_since(link.told.counts)

    def _wants_members(self) -> bool:
        """Tell whether this host knows few of the hosts on the list."""
        listed = len(self._upstreams.entry_hosts())
        return len(self._members) * 2 < listed

    def _find_configuration(self) -> Configuration | None:
        """Find the presets late: they are registered after the peers."""
        if self._configuration is None:
            try:
                self._configuration = self._kernel.find(
                    "presets",
                    Configuration,  # type: ignore[type-abstract]
                )
            except ServiceMissingError:
                return None
        return self._configuration

    # Links

    async def _keep_links(self) -> None:
        heartbeat_s = self._settings.peers.heartbeat_ms / 1_000
        while True:
            await self._refresh_links()
            self._forget()
            self._metrics.gauge("peers.live", len(self.live()))
            await self._clock.sleep(heartbeat_s)

    def _addresses(self) -> dict[str, str]:
        """Return where other hosts listen: their own word before the list."""
        addresses = {
            host.host: host.peers_address
            for host in self._upstreams.entry_hosts()
            if host.peers_address
        }
        for member in self._members.others():
            if member.state != "dead":
                addresses[member.host] = member.peers_address
        addresses.pop(self.own.host, None)
        return addresses

    async def _refresh_links(self) -> None:
        addresses = self._addresses()
        self._partners.choose(addresses, frozenset(self._dead_since_s))
        wanted = self._partners.chosen | self._askers()
        for host, link in list(self._links.items()):
            if host not in wanted or link.address != addresses.get(host):
                del self._links[host]
                await link.stop()
        for host in sorted(wanted - self._links.keys()):
            if host in addresses:
                self._open_link(host, addresses[host])

    def _askers(self) -> set[str]:
        """Return the hosts that chose us and were heard just now."""
        since_s = (
            self._clock.monotonic() - self._settings.peers.silence_ms / 1_000
        )
        return {
            host
            for host, heard in self._heard.items()
            if heard.chose_us and heard.at_s >= since_s
        }

    def _open_link(self, host: str, address: str) -> None:
        link = Link(
            host,
            address,
            self._settings.peers,
            self._clock,
            self._random,
            self._metrics,
            self._compose,
            self._silent,
        )
        self._links[host] = link
        link.start()

    def _wake_links(self) -> None:
        for link in self._links.values():
            link.wake()

    def _silent(self, host: str) -> None:
        if host in self._partners.chosen and self._members.declare_dead(host):
            self._member_changed(host)

    def _member_changed(self, host: str) -> None:
        """Report a change of a host's entry and tell of it."""
        member = self._members.find(host)
        if member is None or member is self.own:
            return
        if member.state == "dead":
            self._dead_since_s[host] = self._clock.monotonic()
            self._peer_counts.drop(host)
        else:
            self._dead_since_s.pop(host, None)
        log.info("{} is {} ({})", host, member.state, member.incarnation)
        self._metrics.count(f"peers.{member.state}")
        self._timeline.record(
            "peer.state",
            host_seen=host,
            state=member.state,
            incarnation=member.incarnation,
        )
        self._wake_links()
        for callback in self._on_change:
            callback()

    def _forget(self) -> None:
        """Drop what is too old to matter."""
        now_s = self._clock.monotonic()
        self._notes.expire(now_s)
        told = [link.told.counts or 0 for link in self._links.values()]
        self._own_counts.drop_told(min(told, default=self._own_counts.change))
        keep_s = self._settings.limits.key_lifetime_ms / 1_000
        for host, since_s in list(self._dead_since_s.items()):
            if now_s - since_s > keep_s:
                del self._dead_since_s[host]
                self._heard.pop(host, None)
                self._members.forget(host)

    # Upstreams

    def _note(self, upstream: Upstream) -> None:
        note = UpstreamNote(
            name=upstream.name,
            address=upstream.address,
            state=upstream.state,
            ttl_ms=NOTE_TTL_MS,
        )
        if self._notes.add(note, self._clock.monotonic(), is_own=True):
            self._wake_links()

    def _apply_notes(self) -> None:
        for note in self._notes.to_apply(self._find_address):
            self._upstreams.mark(note.name, note.state, PEER_SOURCE)

    def _find_address(self, name: str) -> str:
        upstream = self._upstreams.find(name)
        return upstream.address if upstream else ""


def _listen(pull: pynng.Pull0, address: str) -> str:
    """Listen and return the bound address."""
    ip, port = split_address(address)
    try:
        listener = pull.listen(f"tcp://{join_address(ip, port)}")
    except pynng.NNGException as error:
        pull.close()
        raise PeersAddressError(address, str(error)) from error
    return join_address(ip, socket.ntohs(listener.local_address.port))
