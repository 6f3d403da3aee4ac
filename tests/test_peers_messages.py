"""Encoding of messages between hosts: each decodes as a whole or fails."""

from contextlib import suppress
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamlift.exceptions import PeerMessageError
from balsamlift.peers import ListEntry, Record
from balsamlift.peers._messages import (
    CountsSums,
    CountsUpdate,
    LeavingReport,
    Member,
    PeerMessage,
    PermitAnswer,
    PermitRequest,
    RateLimitReport,
    SharedPlatformState,
    SilenceReport,
    UpstreamReport,
    decode_message,
    decode_permit_answer,
    decode_permit_request,
    decode_sums,
    decode_update,
    encode_counts,
    encode_message,
    encode_permit,
)
from balsamlift.peers._shared_records import Position, RecordsAnswer
from balsamlift.peers._topic_update import TopicUpdate

HEARTBEAT = PeerMessage(
    host="h1",
    incarnation="i1",
    seq=7,
    previous_seq=6,
    acked_seq=3,
    needs_full_state=False,
    stamp="1-h1",
    offset=4,
    caught_up=True,
    chosen=False,
    members=[Member("h2", "i2", 1, 2, "leaving", "o", "c", "p", "north")],
    counts={"e1": 3_000},
    upstream_reports=[UpstreamReport("e1", "10.0.0.1:80", "dead", 500)],
    shared=SharedPlatformState(True, b"routes", [ListEntry("e2", "upstream")]),
    leaving_notices=[LeavingReport("e1", 700)],
    silence_reports=[SilenceReport("e1", 400)],
)
TOPIC_UPDATE = TopicUpdate(
    9, 20, True, [Record("k", None, 8), Record("l", b"v", 7)]
)
SUMS = CountsSums({"e1": 3}, RecordsAnswer(4, None, b"routes", TOPIC_UPDATE))
UPDATE = CountsUpdate("h1", "i1", 5, {"e1": 3}, True, Position(4, None))
PERMIT = PermitRequest(RateLimitReport("e1", 2.4, 7), 100, True, False)
MESSAGES = [
    (encode_message(HEARTBEAT), decode_message),
    (encode_counts(SUMS), decode_sums),
    (encode_counts(UPDATE), decode_update),
    (encode_permit(PERMIT), decode_permit_request),
    (encode_permit(PermitAnswer(True, 5)), decode_permit_answer),
]


def test_messages_round_trip() -> None:
    assert decode_message(encode_message(HEARTBEAT)) == HEARTBEAT
    assert decode_sums(encode_counts(SUMS)) == SUMS
    assert decode_update(encode_counts(UPDATE)) == UPDATE


def test_fields_added_by_a_newer_version_are_ignored() -> None:
    fields = msgspec.msgpack.decode(encode_message(HEARTBEAT))
    data = msgspec.msgpack.encode([*fields, "new", 1])
    assert decode_message(data) == HEARTBEAT


def test_fields_missing_from_an_older_version_get_defaults() -> None:
    fields = msgspec.msgpack.decode(encode_message(HEARTBEAT))
    message = decode_message(msgspec.msgpack.encode(fields[:-1]))
    assert message.evacuations is None
    assert message.members == HEARTBEAT.members


@pytest.mark.parametrize(
    ("index", "value"),
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
def test_a_field_of_a_wrong_type_is_rejected(index: int, value: Any) -> None:
    fields = msgspec.msgpack.decode(encode_message(HEARTBEAT))
    fields[index] = value
    with pytest.raises(PeerMessageError):
        decode_message(msgspec.msgpack.encode(fields))


@given(st.binary(max_size=200))
def test_arbitrary_bytes_decode_or_raise_peer_message_error(
    data: bytes,
) -> None:
    for _, decode in MESSAGES:
        with suppress(PeerMessageError):
            decode(data)


@given(st.data())
def test_a_corrupted_message_decodes_or_raises_peer_message_error(
    data: st.DataObject,
) -> None:
    encoded, decode = data.draw(st.sampled_from(MESSAGES))
    start = data.draw(st.integers(0, len(encoded) - 1))
    removed = data.draw(st.integers(0, 3))
    inserted = data.draw(st.binary(max_size=4))
    with suppress(PeerMessageError):
        decode(encoded[:start] + inserted + encoded[start + removed :])


def integer_paths(value: Any, path: tuple[Any, ...] = ()) -> list[Any]:
    """Return the paths of all integers in a message."""
    if isinstance(value, int) and not isinstance(value, bool):
        return [path]
    if not isinstance(value, dict | list):
        return []
    items = value.items() if isinstance(value, dict) else enumerate(value)
    nested = [integer_paths(each, (*path, key)) for key, each in items]
    return [found for each in nested for found in each]


def replace(value: Any, path: tuple[Any, ...], new: Any) -> Any:
    if not path:
        return new
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = replace(value[path[0]], path[1:], new)
    return copy


INTEGERS = [
    pytest.param(number, path, id=f"{number}-{'.'.join(map(str, path))}")
    for number, (encoded, _) in enumerate(MESSAGES)
    for path in integer_paths(msgspec.msgpack.decode(encoded))
]


@pytest.mark.parametrize(("message", "path"), INTEGERS)
@pytest.mark.parametrize("integer", [(1 << 64) - 1, 1 << 62, -(1 << 63)])
def test_a_number_whose_successor_cannot_be_sent_is_rejected(
    message: int, path: tuple[Any, ...], integer: int
) -> None:
    encoded, decode = MESSAGES[message]
    fields = replace(msgspec.msgpack.decode(encoded), path, integer)
    with pytest.raises(PeerMessageError):
        decode(msgspec.msgpack.encode(fields))


NESTED_FIELD = b"\x91" * 100_000 + b"\xc0"


@pytest.mark.parametrize("message", range(len(MESSAGES)))
def test_a_deeply_nested_message_raises_peer_message_error(
    message: int,
) -> None:
    encoded, decode = MESSAGES[message]
    fields = msgspec.msgpack.decode(encoded)
    marker = msgspec.msgpack.encode("marker")
    known = [
        replace(fields, (key,), "marker")
        for key in (fields if isinstance(fields, dict) else range(len(fields)))
    ]
    new = (
        {**fields, "new": "marker"}
        if isinstance(fields, dict)
        else [*fields, *[None] * 20, "marker"]
    )
    for changed in [*known, new, "marker"]:
        data = msgspec.msgpack.encode(changed)
        with pytest.raises(PeerMessageError):
            decode(data.replace(marker, NESTED_FIELD))
