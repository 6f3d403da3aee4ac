"""Whatever callers send, a host answers in a typed way and stays well."""

import http.client
import json
from contextlib import ExitStack
from urllib.parse import quote

import pytest
from _callers_world import Deployment, ask, events_in
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

BOUND_S = 20  # a good request takes far less
OUTCOMES = {"whole", "refused", "failed", "unknown"}
FUZZ = settings(
    max_examples=60,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


@pytest.fixture(scope="module")
def world():
    with ExitStack() as stack:
        deployment = Deployment(stack)
        yield deployment
        # At the end of all: the host is well, and has had no error of ours.
        body = deployment.body(prompt="[length=40]")
        assert ask(deployment.hosts[0], body)[-1][1]["outcome"] == "whole"
        for process in deployment.processes:
            assert "Traceback" not in process.output


@pytest.fixture(scope="module")
def prefix(world):
    return world.prefix()


values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4)
    ),
    max_leaves=8,
)
randoms = st.text("0123456789abcdef", min_size=32, max_size=32)
good = {
    "workspace": st.sampled_from(["museum", "rival", "nobody"]),
    "kind": st.sampled_from(["report", "lookup", "poem"]),
    "prompt": st.just("[length=2]"),
}
optional = {
    "prompt_tokens": st.integers(1, 50),
    "prefix": st.text(max_size=5),
    "max_tokens": st.integers(1, 50),
    "seed": st.integers(-(2**70), 2**70),
    "idempotent": st.booleans(),
    "deadline_ms": st.integers(1, 5_000),
    "delivery": st.sampled_from(["stream", "whole", "parts"]),
    "payload": values,
}
FIELDS = [*good, *optional, "key"]


def exchange(address, method, path, body=None):
    """Return the status and the bytes of one answer."""
    connection = http.client.HTTPConnection(address, timeout=BOUND_S)
    connection.request(method, path, body)
    answer = connection.getresponse()
    found = answer.status, answer.getheader("Content-Type"), answer.read()
    connection.close()
    return found


def check_answer(status, kind, text):
    """Accept a stream with its end, an outcome, or a typed error."""
    if kind == "text/event-stream":
        assert status == 200
        name, data = events_in(text)[-1]
        assert name == "end"
        assert data["outcome"] in OUTCOMES
        return
    assert kind == "application/json"
    told = json.loads(text)
    if status >= 500:
        expected = {503: "refused", 504: "unknown"}[status]
        assert told["outcome"] == expected
    elif status >= 400:
        assert set(told) == {"error", "message"}
    else:
        assert told == {"cancelled": True}


@FUZZ
@given(body=st.binary(max_size=200) | values.map(json.dumps))
def test_any_bytes_as_a_body(world, body):
    sent = body.encode() if isinstance(body, str) else body
    answer = exchange(world.hosts[0], "POST", "/v1/requests", sent)
    assert answer[0] == 400
    check_answer(*answer)


@FUZZ
@given(
    fields=st.fixed_dictionaries(good, optional=optional),
    random=randoms,
    wrong=st.dictionaries(st.sampled_from(FIELDS), values, max_size=1),
)
@example(fields={"workspace": "museum"}, random="0" * 32, wrong={})
def test_requests_with_a_field_wrong(world, prefix, fields, random, wrong):
    body = {"key": f"{prefix}.{random}", **fields, **wrong}
    sent = json.dumps(body).encode()
    check_answer(*exchange(world.hosts[0], "POST", "/v1/requests", sent))


@FUZZ
@given(
    method=st.sampled_from(["GET", "DELETE"]),
    key=st.text(min_size=1, max_size=40) | randoms,
    homed=st.booleans(),
    query=st.dictionaries(
        st.sampled_from(["workspace", "from", "upstream", "generation"]),
        st.text(max_size=12) | st.integers().map(str),
        max_size=4,
    ),
)
def test_any_key_and_query(world, prefix, method, key, homed, query):
    text = f"{prefix}.{key}" if homed else key
    pairs = [f"{name}={quote(value)}" for name, value in query.items()]
    path = f"/v1/requests/{quote(text, safe='')}?{'&'.join(pairs)}"
    check_answer(*exchange(world.hosts[0], method, path))
