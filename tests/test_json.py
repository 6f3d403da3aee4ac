"""Test decoding JSON of other writers."""

import json
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamlift._http import Answer
from balsamlift._json import decode_json_list, repair_json
from balsamlift.exceptions import HostsUnavailableError
from balsamlift.peers import Upstream
from balsamlift.peers._hosts_list import _decode as decode_hosts
from balsamlift.platform._engines import _decode_move_answer
from balsamlift.presets._log import _decode_batch
from balsamlift.relay import CopyError
from balsamlift.requests._upstream_responses import Refusal, decode_refusal

LISTS = b"[" * 100_000 + b"]" * 100_000
OBJECTS = b'{"a":' * 100_000 + b"1" + b"}" * 100_000
NESTED = pytest.mark.parametrize(
    "nested",
    [LISTS, OBJECTS, LISTS[:-1], OBJECTS[:100_000]],
    ids=["lists", "objects", "open list", "cut object"],
)
ODD = {
    "lists": LISTS,
    "objects": OBJECTS,
    "NaN": b"NaN",
    "-Infinity": b"-Infinity",
    "1e400": b"1e400",
    "5000 digits": b"9" * 5_000,
    "lone surrogate": b'"\\udcff"',
    "not UTF-8": b'"\xff\xfe"',
}
UPSTREAM = Upstream(
    name="i-1",
    pool="p",
    kind="engine",
    address="127.0.0.1:9",
    failure_domain="d",
)


@NESTED
def test_nested_answers_raise_the_error_of_their_reader(nested: bytes) -> None:
    answer = Answer(200, {}, b'{"x":' + nested + b"}")
    with pytest.raises(msgspec.MsgspecError):
        answer.decode(Refusal)
    with pytest.raises(CopyError):
        _decode_move_answer(UPSTREAM, answer)
    with pytest.raises(HostsUnavailableError):
        decode_hosts(answer.body)
    assert decode_refusal(answer.body) == Refusal()


def host(**fields: Any) -> bytes:
    return json.dumps(
        {"name": "h-1", "role": "entry", "address": "a", **fields}
    ).encode()


@pytest.mark.parametrize("odd", ODD.values(), ids=ODD)
@pytest.mark.parametrize("field", [b"pool", b"more", b"started_ms", None])
def test_an_odd_host_on_the_list_hides_no_other(
    odd: bytes, field: bytes | None
) -> None:
    entry = odd
    if field is not None:
        entry = host(name="odd")[:-1] + b',"' + field + b'":' + odd + b"}"
    body = b'{"hosts":[' + b",".join([host(), entry, host(name="h-3")]) + b"]}"
    names = [entry.name for entry in decode_hosts(body)]
    assert [name for name in names if name != "odd"] == ["h-1", "h-3"]


@pytest.mark.parametrize("odd", ODD.values(), ids=ODD)
def test_an_odd_record_of_the_log_hides_no_other(odd: bytes) -> None:
    lease = b'{"type":"lease"}'
    records = b",".join(
        b'{"offset":%d,"at_ms":1,"record":%b}' % (offset, record)
        for offset, record in enumerate([lease, odd, lease])
    )
    body = b'{"earliest":0,"next":3,"records":[%b]}' % records
    batch = _decode_batch(Answer(200, {}, body))
    assert [entry.offset for entry in batch.entries] == [0, 1, 2]
    assert batch.entries[1].record is None


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=60) | st.text('[]{}":,\\ue019-NaI', max_size=60))
def test_any_text_is_repaired_or_rejected(data: bytes | str) -> None:
    encoded = data if isinstance(data, bytes) else data.encode()
    try:
        repaired = repair_json(encoded)
    except msgspec.DecodeError:
        return
    msgspec.json.decode(repaired)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.recursive(
        st.none()
        | st.booleans()
        | st.integers(-(1 << 62), 1 << 62)
        | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=10,
    )
)
def test_sound_json_is_not_changed_by_a_repair(value: Any) -> None:
    encoded = msgspec.json.encode(value)
    assert msgspec.json.decode(repair_json(encoded)) == value
    assert decode_json_list(encoded, object) == value
