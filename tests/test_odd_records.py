"""Test what odd records among sound ones do to a host."""

import json
from typing import Any

import pytest
from test_platform_decode import ENTRY

from balsamlift._address import AddressError, split_address
from balsamlift.platform._decode import RecordError, decode_upstream

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
