"""One soak run: hosts, upstreams and callers under the faults of a seed."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from pathlib import Path

import attrs

from balsamlift.platform._names import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    UPSTREAMS_TOPIC,
)
from balsamlift.testing._cuts import CUTS
from balsamlift.testing.platform import KeyedStore
from soak.callers import CallerRequest, Callers, send
from soak.configuration import (
    STABLE_KEY,
    configuration,
    version_key,
    version_path,
)
from soak.contact import ContactChecker
from soak.crashing_parts import CrashingParts
from soak.departures import Departures, Entries
from soak.exits import ExitChecker
from soak.guarantees import GuaranteeChecker
from soak.host_links import HostLinks
from soak.hosts import ROOT, STAND_INS, Host, host_ip
from soak.load import DENSE, Load
from soak.network import Network
from soak.plan import (
    LINK_FAULTS,
    PLANNED,
    RATE_LIMITS_PER_S,
    SERVICE_FAULTS,
    SLOW_FACTORS,
    STORE_FAULTS,
    Fault,
    Plan,
    draw_plan,
)
from soak.processes import LoopLateness, describe_machine
from soak.rate_limits import RateLimitChecker
from soak.retries import RetryChecker
from soak.statements import StatementChecker
from soak.upstreams import CHECK_PREFIX, EVENT_GAP_S, UPSTREAMS, Upstreams

HOSTS = 4
PLANNED_KINDS = {
    *PLANNED,
    "term_again",
    "upstream_notice",
    "departure",
    # Upstreams may be as slow as they like.
    "upstreams_slow",
    "upstream_silent",
}
# Of faults of one service; most hit the one that has fewer upstreams.
SERVICE_TARGETS = ("plain", "plain", "model")
FLOODING_CALLERS = 16  # twice of what the engines have memory for
START_S = 30.0
# The longest that the store and the hosts may need to reconnect after the last
# fault, on a machine that is busy with other work.
RECOVERY_S = 20.0
ENTRY_TTL_S = 1.5  # of the entry of an upstream that has crashed
LEAVING_S = 2.5  # that an upstream keeps serving after it announces to leave


@attrs.frozen(kw_only=True)
class Fleet:
    """The hosts of a run."""

    hosts: int = HOSTS
    load: Load = DENSE
    tree: Path = ROOT  # source tree that the hosts run
    other_tree: Path | None = None  # the same of every second host

    def tree_of(self, number: int) -> Path:
        """Return the source tree that a host runs."""
        if self.other_tree is not None and number % 2:
            return self.other_tree
        return self.tree


@attrs.frozen(kw_only=True)
class Result:
    """The result of one run."""

    plan: Plan
    violations: list[str]
    requests: int
    served: int
    lateness_s: float  # at most, of the event loop of callers and upstreams


class Run:
    """The processes, callers and faults of one run."""

    def __init__(self, plan: Plan, folder: Path, fleet: Fleet) -> None:
        """Prepare the run; `run` starts the processes."""
        self._plan = plan
        self._fleet = fleet
        self._folder = folder
        self._random = random.Random(plan.seed)
        self._guarantees = GuaranteeChecker()
        if plan.streams is not None:
            self._guarantees.last_event = plan.streams.last_event
        self._network = Network()
        self._store = KeyedStore(self._network.ip(STAND_INS))
        self._rate_limits = RateLimitChecker(self._guarantees.report_violation)
        self._statements = StatementChecker(self._guarantees.report_violation)
        self._contact = ContactChecker(
            [host_ip(self._network, n) for n in range(fleet.hosts)],
            self._guarantees.report_violation,
        )
        self._retries = RetryChecker(
            fleet.load.extra_retries, self._guarantees.report_violation
        )
        self._crashing_parts = CrashingParts(
            plan.seed, self._guarantees.report_violation
        )
        self._exits = ExitChecker(
            fleet.load.grace_s, self._guarantees.report_violation
        )
        self._upstreams = Upstreams(
            self._guarantees,
            self._rate_limits,
            self._statements,
            self._retries,
            self._crashing_parts,
            self._random,
            self._network,
            self._start_crash,
            self._exits,
            plan.max_work_s,
            EVENT_GAP_S if plan.streams is None else plan.streams.gap_s,
        )
        self._departures = Departures(
            self._upstreams,
            Entries(self._register, self._remove_entry),
            self._add_successor,
        )
        self._version = 1
        self._updates = itertools.count(1)
        self._faults: set[asyncio.Task[None]] = set()
        self._crashes: set[asyncio.Task[None]] = set()
        self._lateness = LoopLateness()

    async def run(self) -> Result:
        """Start all processes, inject the faults and check the recovery."""
        self._lateness.start()
        await self._store.start()
        fleet = self._fleet
        self._hosts = [self._prepare_host(n) for n in range(fleet.hosts)]
        self._upstreams.host_links = [
            host.links for host in self._hosts if host.links is not None
        ]
        for service, number in fleet.load.services.items():
            for _ in range(number):
                await self._add_upstream(service)
        self._configure()
        try:
            for host in self._hosts:
                await host.start()
            if await self._check_served("start", START_S):
                await self._run_callers_with_faults()
                await self._check_recovery()
        finally:
            for host in self._hosts:
                await host.stop()
            if self._crashes:
                await asyncio.wait(self._crashes)
            await self._upstreams.stop_all()
            await self._store.stop()
            self._network.release()
            self._lateness.stop()
        self._report_supervisors()
        outcomes = self._guarantees.outcomes
        return Result(
            plan=self._plan,
            violations=self._guarantees.violations,
            requests=len(outcomes),
            served=sum(o.status == 200 and o.is_whole for o in outcomes),
            lateness_s=self._lateness.max_s,
        )

    def _prepare_host(self, number: int) -> Host:
        """Return a host, with links of its own where these will be cut."""
        links = None
        if any(fault.kind == "host_cut" for fault in self._plan.faults):
            links = HostLinks(
                number,
                self._folder,
                self._network,
                self._network.ip(UPSTREAMS),
            )
        return Host(
            number,
            self._folder,
            self._store,
            self._network,
            self._fleet.tree_of(number),
            self._fleet.load,
            links,
        )

    def _report_supervisors(self) -> None:
        """Report processes that could not be started."""
        for host in self._hosts:
            for error in host.history.errors:
                self._guarantees.report_violation("supervisor", "", error)

    async def _run_callers_with_faults(self) -> None:
        callers = Callers(
            self._hosts,
            self._guarantees,
            self._rate_limits,
            self._statements,
            self._retries,
            self._contact,
            self._crashing_parts,
            self._exits,
            self._plan,
            self._fleet.load,
            self._random,
            self._check_interrupted,
        )
        load = self._fleet.load
        callers.start(
            int(self._fleet.hosts * load.callers_per_host),
            streaming=int(self._fleet.hosts * load.stream_callers_per_host),
            flooding=FLOODING_CALLERS if self._plan.has_flood else 0,
        )
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for fault in self._plan.faults:
            await asyncio.sleep(began_s + fault.start_s - loop.time())
            task = asyncio.create_task(self._inject(fault))
            self._faults.add(task)
        await asyncio.gather(*self._faults)
        await callers.stop()
        self._rate_limits.check()
        self._retries.check()
        self._contact.check()
        self._crashing_parts.check()
        self._exits.check(self._lateness.max_s)

    def _check_interrupted(self, request_id: str) -> None:
        """Report a request that a planned operation interrupted.

        Requests that reached an upstream are exempt, as the upstream may
        itself have broken them off, and so is every stream: engines break
        some streams off.
        """
        outcome = self._guarantees.outcomes[-1]
        if not self._plan.is_planned_only or outcome.is_stream:
            return
        if not self._guarantees.runs[request_id]:
            self._guarantees.report_violation(
                "lost",
                request_id,
                "was interrupted and never executed "
                f"({self._exits.describe(request_id)})",
            )

    # Faults

    async def _inject(self, fault: Fault) -> None:
        if fault.kind in PLANNED_KINDS:
            await self._inject_fault(fault)
            return
        end_impairment = self._exits.begin_impairment()
        await self._inject_fault(fault)
        end_impairment()

    async def _inject_fault(self, fault: Fault) -> None:
        host = self._hosts[fault.target_number % len(self._hosts)]
        names = self._targets(fault)
        name = names[fault.target_number % len(names)]
        link = LINK_FAULTS[fault.variant_number % len(LINK_FAULTS)]
        match fault.kind:
            case "kill":
                self._exempt(host)
                host.kill()
            case "freeze":
                self._exempt(host)
                await host.freeze(fault.duration_s)
                self._exempt(host)
            case "term":
                self._exempt(host)
                if not host.is_leaving:
                    self._exits.record_signal(host.ip)
                await host.terminate()
                self._exempt(host)
            case "term_again":
                host.terminate_again()
            case "hup":
                host.reload_settings()
            case "store_fault":
                self._store.fault = STORE_FAULTS[fault.variant_number % 4]
                await asyncio.sleep(fault.duration_s)
                self._store.fault = ""
            case "store_forgets":
                self._store.drop_history(CONFIGURATION_TOPIC)
                self._store.drop_history(UPSTREAMS_TOPIC)
            case "store_link":
                host.set_link(link)
                await asyncio.sleep(fault.duration_s)
                host.set_link({})
            case "upstream_link":
                self._upstreams.set_link(name, link)
                await asyncio.sleep(fault.duration_s)
                self._upstreams.set_link(name, {})
            case "upstream_crash":
                await self._replace(name, after_s=0.0)
            case "upstream_leaves":
                self._register(name, "draining")
                await self._replace(name, after_s=LEAVING_S)
            case "host_cut":
                await self._cut_hosts(fault)
            case "herd_kill":
                for each in self._hosts:
                    self._exempt(each)
                    each.kill()
            case "crashing_part":
                part = f"c0de{fault.variant_number}"
                self._crashing_parts.begin(part)
                await asyncio.sleep(fault.duration_s)
                self._crashing_parts.end(part)
            case "configuration":
                self._version += 1
                self._configure()
            case "rate_limit":
                number = fault.variant_number % len(RATE_LIMITS_PER_S)
                self._upstreams.set_rate_limit(name, RATE_LIMITS_PER_S[number])
                await asyncio.sleep(fault.duration_s)
                self._upstreams.set_rate_limit(name, None)
            case "upstream_notice":
                self._upstreams.give_notice(name)
                await asyncio.sleep(fault.duration_s)
                if name in self._upstreams.live:
                    self._register(name, "draining")
                    await self._replace(name, after_s=LEAVING_S)
            case "upstream_refuses":
                self._upstreams.refuse(name, fault.duration_s)
            case "departure":
                await self._departures.leave(
                    name, fault.duration_s, fault.variant_number
                )
            case "upstream_hangs":
                self._upstreams.hang(name, fault.duration_s)
            case "upstreams_slow":
                number = fault.variant_number % len(SLOW_FACTORS)
                self._upstreams.slow_down(
                    SLOW_FACTORS[number], fault.duration_s
                )
            case "upstream_silent":
                self._upstreams.be_silent(name, fault.duration_s)
            case "upstream_floods":
                self._upstreams.flood(
                    name, fault.duration_s, fault.variant_number
                )
            case "pool_refuses":
                for each in names:
                    self._upstreams.refuse(each, fault.duration_s)

    def _targets(self, fault: Fault) -> list[str]:
        """Return the upstreams that a fault may hit: all, or of a service."""
        names = sorted(self._upstreams.live)
        if fault.kind not in SERVICE_FAULTS:
            return names
        services = SERVICE_TARGETS
        service = services[fault.variant_number % len(services)]
        return [n for n in names if self._upstreams.service(n) == service]

    async def _cut_hosts(self, fault: Fault) -> None:
        """Cut some hosts off from all upstreams for a while."""
        cut = CUTS[fault.variant_number % len(CUTS)]
        hosts = self._hosts_to_cut(fault)
        links = [host.links for host in hosts if host.links is not None]
        numbers = [each.cut(cut) for each in links]
        period = self._contact.begin_cut(host.ip for host in hosts)
        await asyncio.sleep(fault.duration_s)
        self._contact.end_cut(period)
        for each, number in zip(links, numbers, strict=True):
            each.mend(number)

    def _hosts_to_cut(self, fault: Fault) -> list[Host]:
        """Return one host, a failure domain, all but one, or all hosts."""
        first = fault.target_number % len(self._hosts)
        turned = self._hosts[first:] + self._hosts[:first]
        domain = [h for h in self._hosts if h.domain == turned[0].domain]
        scopes = (turned[:1], domain, turned[:-1], turned)
        return scopes[fault.variant_number // len(CUTS) % len(scopes)]

    def _exempt(self, host: Host) -> None:
        self._contact.exempt_host(host.ip)
        self._rate_limits.exempt_host(host.ip)
        self._statements.exempt_host(host.ip)
        self._crashing_parts.exempt_host(host.ip)

    async def _replace(self, name: str, after_s: float) -> None:
        """Start a new upstream, then stop an old one and remove its entry."""
        await self._add_successor(name)
        await asyncio.sleep(after_s)
        if name in self._upstreams.live:
            await self._upstreams.stop(name)
        self._remove_entry(name)

    def _start_crash(self, name: str) -> None:
        """Let an engine end that begins to answer a prompt."""
        task = asyncio.create_task(self._crash(name))
        self._crashes.add(task)
        task.add_done_callback(self._crashes.discard)

    async def _crash(self, name: str) -> None:
        """Stop an upstream; another one is there some seconds later."""
        if name not in self._upstreams.live:
            return
        await self._upstreams.stop(name)
        await asyncio.sleep(ENTRY_TTL_S)
        self._remove_entry(name)
        await self._add_successor(name)

    def _remove_entry(self, name: str) -> None:
        self._store.topic(UPSTREAMS_TOPIC).append(name, b"")

    async def _add_successor(self, name: str) -> None:
        await self._add_upstream(self._upstreams.service(name))

    async def _add_upstream(self, service: str) -> None:
        self._register(await self._upstreams.add(service), "ready")

    def _register(self, name: str, state: str) -> None:
        if name not in self._upstreams.live:
            return
        fields = {
            "Service": self._upstreams.service(name),
            "Address": self._upstreams.address(name),
            "Zone": "north",
            "Version": "v1",
            "Slots": 24,
            "LifecycleState": state,
            "Sequence": next(self._updates),
            "ColdRemainingMs": 0,
        }
        entry = json.dumps(fields).encode()
        self._store.topic(UPSTREAMS_TOPIC).append(name, entry)

    def _configure(self) -> None:
        self._store.topic(CONFIGURATION_TOPIC).append(
            CONFIGURATION_KEY,
            configuration(
                self._version,
                self._fleet.load.times,
                has_engines=self._plan.has_engines,
            ),
        )

    # Recovery

    async def _check_recovery(self) -> None:
        """Check that every host serves only the newest configuration."""
        self._upstreams.is_fault_free = True
        self._version += 1
        self._configure()
        await self._check_served("recovery", RECOVERY_S)

    async def _check_served(self, promise: str, timeout_s: float) -> bool:
        """Report the states of the hosts if one does not serve in time."""
        try:
            await self._wait_until_served(timeout_s)
        except TimeoutError:
            machine = describe_machine()
            states = [await host.dump_stacks() for host in self._hosts]
            self._guarantees.report_violation(
                promise,
                "",
                "not every host serves the newest configuration "
                f"({'; '.join(states)}; {machine}; the loop of this run was "
                f"late by up to {self._lateness.max_s:.2f} s)",
            )
            return False
        return True

    async def _wait_until_served(self, timeout_s: float) -> None:
        async with asyncio.timeout(timeout_s):
            for host in self._hosts:
                while not await self._serves(host):
                    await asyncio.sleep(0.1)

    async def _serves(self, host: Host) -> bool:
        """Return whether a host applies only the current version.

        The route and key of the version before must no longer be valid.
        """
        path = version_path(self._version) + "x"
        statuses = [
            await self._status(host, version_key(self._version), path),
            await self._status(host, STABLE_KEY, path),
            await self._status(host, version_key(self._version - 1), path),
            await self._status(
                host, STABLE_KEY, version_path(self._version - 1)
            ),
        ]
        return statuses == [200, 200, 401, 404]

    async def _status(self, host: Host, key: str, path: str) -> int:
        ip, port = host.address("Frontend").split(":")
        request = CallerRequest(
            f"{CHECK_PREFIX}{self._random.randrange(1 << 60)}",
            "non_idempotent",
        )
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port))
        except (OSError, TimeoutError):
            return 0
        outcome, _ = await send(request, reader, writer, key, path)
        writer.close()
        return outcome.status


async def run_seed(
    seed: int, length_s: float, folder: Path, fleet: Fleet | None = None
) -> Result:
    """Run one seed; the logs of the hosts stay in `folder`."""
    return await run_plan(draw_plan(seed, length_s), folder, fleet)


async def run_plan(
    plan: Plan, folder: Path, fleet: Fleet | None = None
) -> Result:
    """Run a plan; the logs of the hosts stay in `folder`."""
    return await Run(plan, folder, fleet or Fleet()).run()
