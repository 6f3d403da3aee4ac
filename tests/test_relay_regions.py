"""Region restrictions of routes and workspaces."""

import asyncio
import random
from types import SimpleNamespace as Namespace
from typing import cast

import pytest
from _relay_helpers import USAGE, behave_all, run, stream

from balsamlift.kernel import Kernel
from balsamlift.relay import Caller, Directory, Workspace
from balsamlift.relay._scope import intersect_regions
from balsamlift.testing.relay import (
    HEADER_NAMES,
    HOST,
    KEY,
    WORKSPACE,
    RelayHarness,
    ReplicaStandIn,
    route,
)

REGIONS = {"north": "land", "south": "land", "isle": "sea", "far": "abroad"}
SENDS = 12


@pytest.mark.parametrize(
    ("regions", "expected"),
    [
        ([set(), set()], None),
        ([{"land"}, set()], {"land"}),
        ([{"land", "sea"}, {"sea"}], {"sea"}),
        ([{"land"}, {"sea"}], set()),
    ],
)
def test_route_and_workspace_both_restrict_regions(regions, expected) -> None:
    assert intersect_regions(*map(frozenset, regions)) == expected


@pytest.mark.parametrize(
    ("route_regions", "workspace_regions", "allowed"),
    [
        ([], [], {"north", "isle", "far"}),
        (["sea"], [], {"isle"}),
        ([], ["abroad", "sea"], {"isle", "far"}),
        (["land", "sea"], ["sea", "abroad"], {"isle"}),
        (["land"], ["sea"], set()),
    ],
)
@pytest.mark.parametrize("kind", ["idempotent", "stream"])
def test_calls_run_in_permitted_regions_only(
    kind: str,
    route_regions: list[str],
    workspace_regions: list[str],
    allowed: set[str],
) -> None:
    async def test() -> None:
        pool = "model" if kind == "stream" else "plain"
        stand_ins = [
            ReplicaStandIn(
                f"i-{domain}", pool, HEADER_NAMES, failure_domain=domain
            )
            for domain in ("north", "isle", "far")
        ]
        if kind == "stream":
            behave_all(stand_ins, stream)
        bound = route(kind, "/a/", pool, regions=frozenset(route_regions))
        workspace = Workspace(
            name=WORKSPACE, keys=(KEY,), regions=frozenset(workspace_regions)
        )
        async with RelayHarness(stand_ins, regions=REGIONS) as world:
            world.configure(routes=(bound,), workspaces=(workspace,))
            calls = [
                world.call("/a/1", f"r{n}", headers=USAGE)
                for n in range(SENDS)
            ]
            answers = await asyncio.gather(*calls)
        used = {s.failure_domain for s in stand_ins if s.arrivals}
        assert used <= allowed
        expected = 200 if allowed else 503
        assert {answer.status for answer in answers} == {expected}

    run(test())


def directory(domains: list[str], regions: list[str] | None) -> Directory:
    """Return a directory that knows one host for each entry of `domains`."""
    peers = [
        Namespace(
            leaving=False,
            caught_up=True,
            failure_domain=domain,
            callers_address=f"{domain}:{n}",
        )
        for n, domain in enumerate(domains)
    ]
    found = Directory("north", 2_000, random.Random(7), REGIONS)
    services = {
        "peers": Namespace(
            live=lambda: peers,
            leaving=True,
            own=Namespace(callers_address="own"),
        ),
        "routing": Namespace(
            is_configured=True,
            regions_of=lambda host: None if regions is None else set(regions),
        ),
    }
    kernel = Namespace(find=lambda name, kind: services[name])
    asyncio.run(found.start(cast(Kernel, kernel)))
    return found


@pytest.mark.parametrize(
    ("domains", "regions", "caller", "named"),
    [
        # Two hosts in the domain are enough; otherwise those of its region.
        (["north", "north", "south"], None, "north", {"north"}),
        (["north", "south", "isle"], None, "north", {"north", "south"}),
        (["south", "south", "isle"], ["sea"], "north", {"south"}),
        # One host in the region: others only where all calls may run.
        (["north", "isle"], ["land"], "north", {"north"}),
        (
            ["north", "isle", "far"],
            ["land", "sea"],
            "north",
            {"north", "isle"},
        ),
        (["north", "isle"], None, "north", {"north", "isle"}),
        # None in the region: hosts where calls may run, or else any host.
        (["isle", "far"], ["sea"], "north", {"isle"}),
        (["isle", "far"], ["land"], "north", {"isle", "far"}),
    ],
)
def test_callers_get_hosts_of_their_own_or_a_permitted_region(
    domains: list[str], regions: list[str] | None, caller: str, named: set[str]
) -> None:
    answer = directory(domains, regions).find(
        Caller(caller, REGIONS[caller], HOST)
    )
    found = {address.partition(":")[0] for address in answer.addresses}
    assert found == named
