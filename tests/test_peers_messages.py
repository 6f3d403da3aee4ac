"""Messages between hosts: what comes is read whole or not at all."""

from contextlib import suppress
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamlift.exceptions import PeerMessageError
from balsamlift.peers import ListEntry, Record
from balsamlift.peers._follower import TopicUpdate
from balsamlift.peers._messages import (
    CountsSums,
    CountsUpdate,
    Member,
    PeerMessage,
    Shared,
    UpstreamNote,
    decode_message,
    decode_sums,
    decode_update,
    encode_counts,
    encode_message,
)
from balsamlift.peers._shared_records import Position, RecordsAnswer

HEARTBEAT = PeerMessage(
    host="h1",
    incarnation="i1",
    seq=7,
    previous_seq=6,
    acked_seq=3,
    missed=False,
    stamp="1-h1",
    offset=4,
    caught_up=True,
    chosen=False,
    members=[Member("h2", "i2", 1, 2, "leaving", "o", "c", "p", "north")],
    counts={"e1": 3_000},
    notes=[UpstreamNote("e1", "10.0.0.1:80", "dead", 500)],
    shared=Shared(True, b"routes", [ListEntry("e2", "upstream")]),
)
NEWS = TopicUpdate(9, 20, True, [Record("k", None, 8), Record("l", b"v", 7)])
SUMS = CountsSums({"e1": 3}, RecordsAnswer(4, None, b"routes", NEWS))
UPDATE = CountsUpdate("h1", "i1", 5, {"e1": 3}, True, Position(4, None))
MESSAGES = [
    (encode_message(HEARTBEAT), decode_message),
    (encode_counts(SUMS), decode_sums),
    (encode_counts(UPDATE), decode_update),
]


def test_what_is_sent_is_what_comes() -> None:
    assert decode_message(encode_message(HEARTBEAT)) == HEARTBEAT
    assert decode_sums(encode_counts(SUMS)) == SUMS
    assert decode_update(encode_counts(UPDATE)) == UPDATE


def test_fields_that_a_newer_version_adds_are_passed_over() -> None:
    fields = msgspec.msgpack.decode(encode_message(HEARTBEAT))
    data = msgspec.msgpack.encode([*fields, "new", 1])
    assert decode_message(data) == HEARTBEAT


def test_fields_that_an_older_version_lacks_have_their_defaults() -> None:
    fields = msgspec.msgpack.decode(encode_message(HEARTBEAT))
    message = decode_message(msgspec.msgpack.encode(fields[:-1]))
    assert message.evacuations is None
    assert message.members == HEARTBEAT.members


@pytest.mark.parametrize(
    ("place", "value"),
    [
        (0, 1),
        (2, "7"),
        (8, 1),
        (11, [["h2"]]),
        (11, [["h2", "i2", 1, 2, "asleep", "o", "c", "p", "north"]]),
        (12, {"e1": "many"}),
        (14, {}),
    ],
)
def test_a_field_of_another_type_voids_the_message(
    place: int, value: Any
) -> None:
    fields = msgspec.msgpack.decode(encode_message(HEARTBEAT))
    fields[place] = value
    with pytest.raises(PeerMessageError):
        decode_message(msgspec.msgpack.encode(fields))


@given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_an_error_of_ours(data: bytes) -> None:
    for _, decode in MESSAGES:
        with suppress(PeerMessageError):
            decode(data)


@given(st.data())
def test_a_damaged_message_is_a_message_or_an_error_of_ours(
    data: st.DataObject,
) -> None:
    whole, decode = data.draw(st.sampled_from(MESSAGES))
    at = data.draw(st.integers(0, len(whole) - 1))
    cut = data.draw(st.integers(0, 3))
    put = data.draw(st.binary(max_size=4))
    with suppress(PeerMessageError):
        decode(whole[:at] + put + whole[at + cut :])
