"""Test what odd records among sound ones do to a host."""

import json
import random
import time
from typing import Any

import pytest
from loguru import logger
from test_platform_blocked_parts import host as blocked_parts
from test_platform_decode import ENTRY, MANIFEST
from test_platform_store import PACE, run, wait_until

from balsamlift._address import AddressError, split_address
from balsamlift.clock import SystemClock
from balsamlift.kernel import Kernel
from balsamlift.peers import Evacuations, FreshnessLimits
from balsamlift.platform._blocked_parts import PART_CHARACTERS
from balsamlift.platform._decode import (
    HostRecord,
    RecordError,
    decode_configuration,
    decode_host,
    decode_upstream,
)
from balsamlift.platform._names import (
    BLOCKED_PARTS_TOPIC,
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    EVACUATION_PREFIX,
    HOSTS_TOPIC,
    UPSTREAMS_TOPIC,
)
from balsamlift.platform._store import Store
from balsamlift.platform._watch import ConfigurationWatch, UpstreamsSource
from balsamlift.relay import Routing
from balsamlift.relay._routing import pick_service
from balsamlift.testing.platform import KeyedStore

ODD_ADDRESSES = [
    *("", "nowhere", "10.1.0.9", "store.example:80", "999.1.1.1:80"),
    *(f"10.1.0.9:{port}" for port in ("", "-1", "65536", "9" * 5_000)),
    *(
        f"10.1.0.9:{port}"
        for port in ("80\r\n", " 80", "+80", "8_0", "\u0668")
    ),
    *("fe80::1%x\r\nX-Tenant: other:80", "[10.1.0.9:80", "10.1.0.9]:80"),
    *("\u0661.1.1.1:80", "10.1.0.9\x00:80"),
]


HUGE_NUMBERS = {
    "54 bits": 1 << 54,
    "64 bits": 1 << 64,
    "70 bits": 1 << 70,
    "negative": -(1 << 70),
    "400 digits": 10**399,
}


def with_fields(sound: dict[str, Any], **fields: Any) -> bytes:
    return json.dumps({**sound, **fields}).encode()


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_an_address_that_would_change_a_head_is_rejected(address: str) -> None:
    with pytest.raises(AddressError):
        split_address(address)
    with pytest.raises(RecordError):
        decode_upstream("i-1", with_fields(ENTRY, Address=address))


def test_an_upstream_at_port_0_is_rejected() -> None:
    assert split_address("10.1.0.9:0") == ("10.1.0.9", 0)
    with pytest.raises(RecordError):
        decode_upstream("i-1", with_fields(ENTRY, Address="10.1.0.9:0"))


@pytest.mark.parametrize(
    "address", ["10.1.0.9:80", "[fe80::1]:80", "fe80::1:80", "[::1%eth0]:80"]
)
def test_a_sound_address_is_taken(address: str) -> None:
    assert split_address(address)[1] == 80


HOST: dict[str, Any] = {
    "callers_address": "10.1.0.19:80",
    "operators_address": "10.1.0.19:81",
    "peers_address": "10.1.0.19:82",
    "failure_domain": "north",
    "written_s": 1.0,
}


@pytest.mark.parametrize(
    "field", ["callers_address", "operators_address", "peers_address"]
)
@pytest.mark.parametrize("address", [*ODD_ADDRESSES, "10.1.0.9:0"])
def test_a_host_without_a_sound_address_is_not_dialled(
    field: str, address: str
) -> None:
    with pytest.raises(RecordError):
        decode_host("h-1", with_fields(HOST, **{field: address}))


@pytest.mark.parametrize("key", ["", "h 1", "h\ufffd", "h" * 10_000, "h\n"])
def test_a_host_without_a_sound_name_is_not_dialled(key: str) -> None:
    with pytest.raises(RecordError):
        decode_host(key, with_fields(HOST))


def test_a_huge_host_record_is_not_decoded() -> None:
    with pytest.raises(RecordError, match="large"):
        decode_host("h-1", with_fields(HOST, more="x" * 100_000))
    assert decode_host("h-1", with_fields(HOST)) == HostRecord(**HOST)


def number_paths(value: Any, path: tuple[Any, ...] = ()) -> list[Any]:
    """Return the paths of all numbers in a record."""
    if isinstance(value, bool | str | None):
        return []
    if isinstance(value, int | float):
        return [path]
    items = value.items() if isinstance(value, dict) else enumerate(value)
    nested = [number_paths(each, (*path, key)) for key, each in items]
    return [found for each in nested for found in each]


def replace(value: Any, path: tuple[Any, ...], new: Any) -> Any:
    """Return a copy of a record with another value at `path`."""
    if not path:
        return new
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = replace(value[path[0]], path[1:], new)
    return copy


FULL_SERVICE = {
    **{"Name": "model", "MaxConnections": 302, "ColdPerS": 2.0},
    "Engine": {"KvCapacityTokens": 9, "KvTokenBytes": 9, "LinkMbps": 9.0},
}
FULL_MANIFEST = {**MANIFEST, "Services": [FULL_SERVICE]}
NUMBER_PATHS = number_paths(FULL_MANIFEST)


@pytest.mark.parametrize("number", HUGE_NUMBERS.values(), ids=HUGE_NUMBERS)
@pytest.mark.parametrize(
    "path", NUMBER_PATHS, ids=lambda path: ".".join(map(str, path))
)
def test_a_number_that_hosts_cannot_tell_each_other_is_rejected(
    path: tuple[Any, ...], number: int
) -> None:
    manifest = replace(FULL_MANIFEST, path, number)
    with pytest.raises(RecordError):
        decode_configuration(json.dumps(manifest).encode())


def test_an_entry_that_hosts_cannot_tell_each_other_is_rejected() -> None:
    for name in ("Slots", "Sequence", "born", "ColdRemainingMs"):
        with pytest.raises(RecordError):
            decode_upstream("i-1", with_fields(ENTRY, **{name: 1 << 54}))


@pytest.mark.parametrize("name", ["LinkMbps", "ColdPerS"])
def test_a_rate_too_large_to_count_with_is_rejected(name: str) -> None:
    path = ("Services", 0, *(["Engine"] if name == "LinkMbps" else []), name)
    with pytest.raises(RecordError):
        decode_configuration(
            json.dumps(replace(FULL_MANIFEST, path, 1e308)).encode()
        )


@pytest.mark.parametrize("tokens", [0, -1])
def test_a_service_whose_engines_have_no_memory_has_no_engines(
    tokens: int,
) -> None:
    path = ("Services", 0, "Engine", "KvCapacityTokens")
    manifest = replace(FULL_MANIFEST, path, tokens)
    configuration = decode_configuration(json.dumps(manifest).encode())
    assert configuration.services[0].engine is None


def test_requests_are_split_when_a_weight_is_negative() -> None:
    path = ("Routes", 1, "TrafficSplit", 0, "Weight")
    for weight in (-1, -10):
        manifest = replace(FULL_MANIFEST, path, weight)
        configuration = decode_configuration(json.dumps(manifest).encode())
        service = pick_service(configuration.routes[1], random.Random(1))
        assert service == "two"


@pytest.mark.parametrize("name", ["t\r\nX: y", "t\0", "t\x7f", "t\n"])
def test_a_workspace_whose_name_would_change_a_head_is_rejected(
    name: str,
) -> None:
    manifest = replace(MANIFEST, ("Tenants", 0, "Name"), name)
    with pytest.raises(RecordError):
        decode_configuration(json.dumps(manifest).encode())


def test_a_workspace_whose_name_fits_no_header_rejects_no_other() -> None:
    manifest = replace(MANIFEST, ("Tenants", 0, "Name"), "\u2603")
    configuration = decode_configuration(json.dumps(manifest).encode())
    assert configuration.workspaces[0].name == "\u2603"


def odd_entries(sound: dict[str, Any], number: str) -> dict[str, bytes]:
    """Return entries that are invalid; `number` is a field with a number."""
    start = json.dumps(sound)[:-1].encode()
    values = {
        **{"nested": b"[" * 100_000 + b"]" * 100_000, "1e400": b"1e400"},
        **{"NaN": b"NaN", "5000 digits": b"9" * 5_000, "null": b"null"},
        **{"70 bits": str(1 << 70).encode(), "surrogate": b'"\\ud800"'},
        **{"not UTF-8": b'"\xff\xfe"', "list": b"[]", "object": b"{}"},
    }
    entries = {
        name: b'%b, "%b": %b}' % (start, number.encode(), value)
        for name, value in values.items()
        if (number, name) != ("written_s", "70 bits")
    }
    entries["large"] = start + b" " * 70_000 + b"}"
    entries["bytes"], entries["other"] = b"\xff\xfe\x00", b"[1]"
    return entries


ODD_UPSTREAMS = odd_entries(ENTRY, "Slots")
ODD_HOSTS = odd_entries({**HOST, "written_s": time.time()}, "written_s")


async def read_names(source: UpstreamsSource) -> list[str]:
    entries = await source.read()
    assert entries is not None
    return sorted(entry.name for entry in entries)


@pytest.mark.parametrize("odd", ODD_UPSTREAMS.values(), ids=ODD_UPSTREAMS)
def test_an_upstream_stays_when_an_odd_entry_replaces_its_own(
    odd: bytes,
) -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        topic = fake_store.topic(UPSTREAMS_TOPIC)
        for name in ("i-1", "i-2", "i-3"):
            topic.append(name, with_fields(ENTRY))
        source = UpstreamsSource(store, SystemClock(), PACE)
        assert await read_names(source) == ["i-1", "i-2", "i-3"]
        topic.append("i-2", odd)
        topic.append("i-3", odd + b" ")  # a second one at once
        topic.append("i-4", with_fields(ENTRY))
        assert await read_names(source) == ["i-1", "i-2", "i-3", "i-4"]
        topic.append("i-2", with_fields(ENTRY, LifecycleState="draining"))
        entries = await source.read()
        assert entries is not None
        states = {entry.name: entry.state for entry in entries}
        assert states["i-2"] == "leaving"
        topic.append("i-3", b"")
        assert await read_names(source) == ["i-1", "i-2", "i-4"]

    run(test)


@pytest.mark.parametrize("state", ["draining", "unknown"])
def test_an_upstream_goes_when_an_odd_entry_says_it_is_not_ready(
    state: str,
) -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        topic = fake_store.topic(UPSTREAMS_TOPIC)
        topic.append("i-1", with_fields(ENTRY))
        source = UpstreamsSource(store, SystemClock(), PACE)
        assert await read_names(source) == ["i-1"]
        topic.append("i-1", with_fields(ENTRY, LifecycleState=state, Slots=""))
        assert await read_names(source) == []

    run(test)


@pytest.mark.parametrize("odd", ODD_UPSTREAMS.values(), ids=ODD_UPSTREAMS)
def test_an_upstream_that_left_does_not_come_back_as_an_odd_entry(
    odd: bytes,
) -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        topic = fake_store.topic(UPSTREAMS_TOPIC)
        topic.append("i-1", with_fields(ENTRY))
        topic.append("i-2", odd)
        source = UpstreamsSource(store, SystemClock(), PACE)
        assert await read_names(source) == ["i-1"]
        topic.append("i-1", b"")
        assert await read_names(source) == []
        topic.append("i-1", odd)
        assert await read_names(source) == []

    run(test)


@pytest.mark.parametrize("odd", ODD_HOSTS.values(), ids=ODD_HOSTS)
def test_odd_records_hide_no_host(odd: bytes) -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        topic = fake_store.topic(HOSTS_TOPIC)
        sound = with_fields(HOST, written_s=time.time())
        topic.append("h-1", odd)
        topic.append("h-2", sound)
        topic.append("h-3", odd + b" ")
        topic.append("h-4", sound)
        source = UpstreamsSource(store, SystemClock(), PACE)
        assert await read_names(source) == ["h-2", "h-4"]

    run(test)


@pytest.mark.parametrize("position", range(7))
def test_an_odd_entry_between_the_pages_of_a_long_read_hides_no_other(
    position: int,
) -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        topic = fake_store.topic(UPSTREAMS_TOPIC)
        names = [f"i-{number}" for number in range(7)]
        for name in names:
            topic.append(name, with_fields(ENTRY))
        topic.append(names[position], ODD_UPSTREAMS["nested"])
        topic.append(names[position] + "&=\n\0", ODD_UPSTREAMS["NaN"])
        topic.append(names[position] + "\ufffd", with_fields(ENTRY))
        source = UpstreamsSource(store, SystemClock(), PACE)
        del names[position]
        assert await read_names(source) == names

    run(test)


ODD_MANIFESTS = odd_entries({**MANIFEST, "Version": 9}, "Version")
del ODD_MANIFESTS["large"]  # a configuration may be large


@pytest.mark.parametrize("odd", ODD_MANIFESTS.values(), ids=ODD_MANIFESTS)
def test_an_odd_configuration_is_logged_once_and_the_last_one_holds(
    odd: bytes,
) -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        lines: list[str] = []
        sink = logger.add(lines.append, filter=lambda r: r["level"].no >= 40)
        routing, evacuations = Routing(), Evacuations()
        kernel = Kernel()
        kernel.register(routing)
        pace = FreshnessLimits(wait_ms=20, max_age_s=1.5)
        kernel.register(
            ConfigurationWatch(store, SystemClock(), pace, evacuations)
        )
        topic = fake_store.topic(CONFIGURATION_TOPIC)
        topic.append(CONFIGURATION_KEY, with_fields(MANIFEST, Version=3))
        await kernel.start()
        await wait_until(lambda: routing.offset == 3)
        topic.append(CONFIGURATION_KEY, odd)
        topic.append(EVACUATION_PREFIX + "south", odd)
        topic.append("other\0", odd)
        await wait_until(lambda: evacuations.domains == {"south"})
        reads = len(fake_store.calls)
        await wait_until(lambda: len(fake_store.calls) > reads + 5)
        assert routing.offset == 3
        topic.append(CONFIGURATION_KEY, with_fields(MANIFEST, Version=4))
        topic.append(EVACUATION_PREFIX + "south", b"")
        await wait_until(lambda: routing.offset == 4)
        await wait_until(lambda: not evacuations.domains)
        logger.remove(sink)
        await kernel.stop()
        assert len(lines) == 1

    run(test)


ODD_PARTS = odd_entries({"expires_s": 1.0}, "expires_s")
del ODD_PARTS["70 bits"]  # far in the future


@pytest.mark.parametrize("odd", ODD_PARTS.values(), ids=ODD_PARTS)
def test_odd_records_hide_no_blocked_part(odd: bytes) -> None:
    async def test(fake_store: KeyedStore, store: Store) -> None:
        topic = fake_store.topic(BLOCKED_PARTS_TOPIC)
        topic.append("a" * PART_CHARACTERS, odd)
        topic.append("b" * PART_CHARACTERS, b'{"expires_s":1e308}')
        topic.append("c" * PART_CHARACTERS, odd)
        async with blocked_parts(store) as (peers, _):
            await wait_until(peers.blocked)
            assert peers.blocked() == ["b" * PART_CHARACTERS]

    run(test)
