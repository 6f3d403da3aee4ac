"""Test what odd records among sound ones do to a host."""

import json
from typing import Any

import pytest
from test_platform_decode import ENTRY

from balsamlift._address import AddressError, split_address
from balsamlift.platform._decode import (
    HostRecord,
    RecordError,
    decode_host,
    decode_upstream,
)

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
