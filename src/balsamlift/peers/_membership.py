"""Cluster membership and in-flight counts, exchanged between hosts."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any

import attrs
from loguru import logger

from balsamlift._tasks import end_task, start_task
from balsamlift.clients import ClientMemory
from balsamlift.clock import Clock
from balsamlift.kernel import Kernel
from balsamlift.metrics import Metrics
from balsamlift.operators import OperatorsServer
from balsamlift.peers._composer import Composer, OwnStatus
from balsamlift.peers._configuration import ConfigurationFinder
from balsamlift.peers._host_absences import HostAbsences
from balsamlift.peers._host_ranks import HostRank
from balsamlift.peers._host_roles import HostRoles
from balsamlift.peers._hosts_view import HostsHandler
from balsamlift.peers._link import Draft, Link
from balsamlift.peers._links import Links
from balsamlift.peers._listener import Listener
from balsamlift.peers._load import CountsBasis, Load, ip_of
from balsamlift.peers._members import Members, peer_addresses
from balsamlift.peers._messages import Member
from balsamlift.peers._observed_states import UpstreamState
from balsamlift.peers._peer import Peer, describe
from balsamlift.peers._peer_statuses import PeerStatuses
from balsamlift.peers._permits import Permits, SocketTransport
from balsamlift.peers._receiver import Receiver
from balsamlift.peers._reports import Reports
from balsamlift.peers._shared_records import SharedRecords
from balsamlift.peers._sharing import Sharing
from balsamlift.peers._upstreams import Upstreams
from balsamlift.settings import Settings
from balsamlift.timeline import Timeline

log = logger.bind(part="peers")


class Peers:
    """Track the other hosts: which are live, and their in-flight counts.

    Each host listens on one address and keeps a sending connection to each
    partner. Up to `fan_out` other hosts, all are partners; beyond that, some
    are chosen at random, and partners forward what they know of a host.
    """

    name = "peers"

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        callers_address: str,
        clock: Clock,
        rng: random.Random,
        forwarding_address: str = "",
        memory: ClientMemory | None = None,
    ) -> None:
        """Bind `settings.peers_address`; see `address` for the port.

        `incarnation` is generated at each start of a daemon;
        `callers_address` and `forwarding_address` are bound ones. `memory` is
        shared with other listeners; the default is its own. Raises
        `PeersAddressError`.
        """
        memory = memory or ClientMemory(clock=clock)
        self._settings = settings
        self._clock = clock
        self._listener = Listener(settings.peers_address, clock, memory)
        self.address = self._listener.address
        self.records = SharedRecords(clock)
        self._load = Load(
            settings,
            incarnation,
            ip_of(self.address),
            clock,
            self.records,
            memory,
        )
        self.counts_under = self._load.others_under
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
                counts_address=self._load.address,
                forwarding_address=forwarding_address,
            )
        )
        self._absences = HostAbsences(clock)
        self._reports = Reports(clock)
        self.crash_reports = self._reports.crashes
        self.part_reports = self._reports.parts
        self.silence_reports = self._reports.silences
        self.rate_limits = self._reports.rate_limits
        silence_s = settings.peers.silence_ms / 1_000
        self._peer_statuses = PeerStatuses(clock, silence_s)
        self._roles = HostRoles(
            self._members,
            self._peer_statuses,
            self._load,
            self.records,
            settings.platform.hosts_readers,
        )
        self.permits = Permits(
            self.rate_limits,
            self._roles.granting_hosts,
            SocketTransport(),
            clock,
        )
        self._composer = Composer(
            self._members,
            self._load.own,
            self._reports,
            self._peer_statuses,
            clock,
            rng,
        )
        self._links = Links(
            settings.peers, clock, rng, self._compose, self._handle_silence
        )
        self._on_change: list[Callable[[], None]] = []
        self._on_version: list[Callable[[int, str], None]] = []
        self._configuration = ConfigurationFinder()
        self.sharing = Sharing(clock)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, kernel: Kernel) -> None:
        """Start receiving, and sending to the hosts on the list."""
        self._configuration.start(kernel)
        self._timeline = kernel.find("timeline", Timeline)
        self._metrics = kernel.find("metrics", Metrics)
        self._upstreams = kernel.find("upstreams", Upstreams)
        operators = kernel.find("operators", OperatorsServer)
        self._members.change_own(operators_address=operators.address)
        arguments = {"peers": self, "upstreams": self._upstreams}
        operators.add_routes([(r"/v1/hosts", HostsHandler, arguments)])
        self._links.start(self._metrics)
        self._load.start(self._members, self._links.wake, self._metrics)
        self._reports.start(self._upstreams, self._links.wake, self._metrics)
        self.permits.start(self._metrics)
        self._load.answer_permits(self.permits.grant)
        self._roles.start(self._upstreams)
        self._upstreams.share_probes(self._roles.probing_hosts)
        self._upstreams.share_reading(self._roles.reads_list_often)
        self._receiver = Receiver(
            members=self._members,
            peer_statuses=self._peer_statuses,
            load=self._load,
            links=self._links,
            reports=self._reports,
            sharing=self.sharing,
            upstreams=self._upstreams,
            timeline=self._timeline,
            addresses=self._addresses,
            on_member=self._member_changed,
            on_version=self._handle_version,
        )
        self._listener.start(self._receiver.process, self._metrics)
        self._tasks = [
            start_task("links to peers", self._keep_links, self._clock),
        ]

    async def stop(self) -> None:
        """Close the listening address and every connection."""
        await self._listener.stop()
        for task in self._tasks:
            await end_task(task)
        self.permits.close()
        await self._load.stop()
        await self._links.stop()

    @property
    def is_started(self) -> bool:
        """Return whether this host exchanges messages with others."""
        return bool(self._tasks)

    @property
    def own(self) -> Member:
        """Return this host's own membership entry."""
        return self._members.own

    @property
    def offset(self) -> int:
        """Return the configuration offset that this host has applied."""
        return self._configuration.find().offset

    @property
    def caught_up(self) -> bool:
        """Return whether this host's configuration is caught up."""
        return self._configuration.find().caught_up

    def live(self) -> list[Peer]:
        """Return the other hosts that are not dead, also leaving ones."""
        return [
            self._peer(member)
            for member in self._members.others()
            if member.state != "dead"
        ]

    def find(self, host: str) -> Peer | None:
        """Return another host unless it is unknown or dead."""
        member = self._members.find(host)
        if member is None or member is self.own or member.state == "dead":
            return None
        return self._peer(member)

    def known_incarnations(self, host: str) -> tuple[str, ...]:
        """Return the known incarnations of a host, the latest last."""
        return self._members.incarnations(host)

    def in_flight(self, upstream: str) -> int:
        """Return the sum of the other hosts' counts for an upstream."""
        return self._load.others(upstream)

    def set_in_flight(self, upstream: str, n: int) -> None:
        """Set this host's count, to be sent with the next heartbeat."""
        self._load.own.set(upstream, n)

    def send_counts(self) -> None:
        """Send this host's counts to peers at once."""
        self._load.send()

    async def refresh_counts(self) -> None:
        """Fetch current counts where not all hosts send to each other."""
        await self._load.refresh()

    @property
    def counts_basis(self) -> CountsBasis:
        """Return how `in_flight` is obtained."""
        return self._load.basis

    @property
    def is_full_mesh(self) -> bool:
        """Return whether each host exchanges messages with all others."""
        return self._load.is_full_mesh

    def rank_for(self, subject: str) -> HostRank:
        """Return this host's rank among the live hosts for that subject."""
        return self._roles.rank_for(subject)

    def hosts_for(self, subject: str) -> list[str]:
        """Return the live hosts, including this one, by their rank."""
        return self._roles.hosts_for(subject)

    def known_rank_for(self, subject: str) -> HostRank:
        """Return this host's rank among all known hosts, also silent ones."""
        return self._roles.known_rank_for(subject)

    def report_upstream(self, name: str, state: UpstreamState) -> None:
        """Report to peers at once that an upstream is leaving or dead."""
        upstream = self._upstreams.find(name)
        if upstream is not None and state != "live":
            self._reports.gossip.publish(attrs.evolve(upstream, state=state))

    def announce_leaving(self) -> None:
        """Announce to peers at once that this host is leaving."""
        self._change_own(state="leaving")

    def set_key_prefix(self, key_prefix: str) -> None:
        """Announce at once which keys this host is the home of."""
        self._change_own(key_prefix=key_prefix)

    def set_taken_over(self, homes: Sequence[str]) -> None:
        """Announce at once the homes whose keys this host took over."""
        self._change_own(taken_over=list(homes))

    def set_unreached_pools(self, pools: Sequence[str]) -> None:
        """Announce at once of which pools this host reaches no upstream."""
        self._change_own(unreached_pools=list(pools))

    @property
    def leaving(self) -> bool:
        """Return whether this host is leaving."""
        return self._members.own.state == "leaving"

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after each change of another host's entry."""
        self._on_change.append(callback)

    def on_version(self, callback: Callable[[int, str], None]) -> None:
        """Call back with each configuration version received and its host."""
        self._on_version.append(callback)

    def _handle_version(self, version: int, host: str) -> None:
        for callback in self._on_version:
            callback(version, host)

    def _peer(self, member: Member) -> Peer:
        peer_status = self._peer_statuses.find_incarnation(
            member.host, member.incarnation
        )
        return describe(member, peer_status)

    def _change_own(self, **fields: Any) -> None:
        if self._members.change_own(**fields):
            self._links.wake()

    @property
    def reads_records(self) -> bool:
        """Return whether this host reads the platform's records itself."""
        return self._roles.reads_records

    def reads_for_others(self) -> bool:
        """Return whether this host sends changes of the list to the others."""
        return self._roles.reads_for_others()

    # Sending

    def _compose(self, link: Link) -> Draft:
        peer_status = self._peer_statuses.find(link.host)
        shared = self.sharing.compose(
            link.host, peer_status, self.offset, self._upstreams
        )
        status = OwnStatus(
            stamp=self._timeline.stamp(),
            offset=self.offset,
            caught_up=self.caught_up,
            chosen=link.host in self._links.chosen,
            wants_members=self._roles.wants_members(),
            shared=shared,
            evacuations=self._upstreams.evacuations.snapshot,
        )
        return self._composer.compose(link, status)

    # Links

    async def _keep_links(self) -> None:
        heartbeat_s = self._settings.peers.heartbeat_ms / 1_000
        while True:
            closed = await self._links.refresh(
                self._addresses(),
                self._absences.dead,
                self._peer_statuses.inbound_partners(),
            )
            for host in closed:
                self._drop_counts(host)
            self._drop_expired()
            self._metrics.gauge("peers.live", self._members.live_others)
            self._metrics.gauge("peers.missing", len(self._absences.dead))
            await self._clock.sleep(heartbeat_s * self._links.interval_factor)

    def _addresses(self) -> dict[str, str]:
        return peer_addresses(self._members, self._upstreams.entry_hosts())

    def _handle_silence(self, host: str) -> None:
        if host in self._links.chosen and self._members.declare_dead(host):
            self._member_changed(host)

    def _member_changed(self, host: str) -> None:
        """Record a change of a host's entry and send it to the peers."""
        member = self._members.find(host)
        if member is None or member is self.own:
            return
        state_before = self._absences.record(host, member.state)
        if member.state == "dead":
            self._drop_counts(host)
        log.bind(state_before=state_before).info(
            "{} is {} ({})", host, member.state, member.incarnation
        )
        self._metrics.count(f"peers.{member.state}")
        self._timeline.record(
            "peer_state",
            host_seen=host,
            state=member.state,
            incarnation=member.incarnation,
        )
        self._links.wake()
        for callback in self._on_change:
            callback()

    def _drop_counts(self, host: str) -> None:
        """Drop a host's counts and request all of them again."""
        self._load.peer_counts.drop(host)
        self._peer_statuses.request_full_state(host)

    def _drop_expired(self) -> None:
        """Drop expired reports, sent zero counts and hosts long dead."""
        self._reports.expire()
        sent_change = self._links.sent_counts_change(
            default=self._load.own.change
        )
        self._load.own.drop_sent_zeros(sent_change)
        keep_s = self._settings.limits.key_lifetime_ms / 1_000
        for host in self._absences.expired(keep_s):
            self._peer_statuses.forget(host)
            self._members.forget(host)
