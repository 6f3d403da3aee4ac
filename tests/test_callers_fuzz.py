"""Fuzz the callers' address: responses are typed and nothing crashes."""

import http.client
import json
from contextlib import ExitStack
from urllib.parse import quote

import pytest
from _callers_deployment import Deployment, ask, events_in
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

TIMEOUT_S = 20  # far more than a valid request takes
OUTCOMES = {"whole", "refused", "failed", "unknown"}
FUZZ = settings(
    max_examples=60,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


@pytest.fixture(scope="module")
def deployment():
    with ExitStack() as stack:
        deployment = Deployment(stack)
        yield deployment
        # After all tests: the host still serves requests and has logged no
        # internal error.
        body = deployment.body(prompt="[length=40]")
        assert ask(deployment.hosts[0], body)[-1][1]["outcome"] == "whole"
        for process in deployment.processes:
            assert "Traceback" not in process.output


@pytest.fixture(scope="module")
def prefix(deployment):
    return deployment.prefix()


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
random_parts = st.text("0123456789abcdef", min_size=32, max_size=32)
valid_fields = {
    "workspace": st.sampled_from(["museum", "rival", "nobody"]),
    "kind": st.sampled_from(["report", "lookup", "poem"]),
    "prompt": st.just("[length=2]"),
}
optional_fields = {
    "prompt_tokens": st.integers(1, 50),
    "prefix": st.text(max_size=5),
    "max_tokens": st.integers(1, 50),
    "seed": st.integers(-(2**70), 2**70),
    "idempotent": st.booleans(),
    "deadline_ms": st.integers(1, 5_000),
    "delivery": st.sampled_from(["stream", "whole", "parts"]),
    "payload": values,
}
FIELDS = [*valid_fields, *optional_fields, "key"]


def send_request(address, method, path, body=None):
    """Return the status, the content type and the body of one response."""
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    connection.request(method, path, body)
    answer = connection.getresponse()
    found = answer.status, answer.getheader("Content-Type"), answer.read()
    connection.close()
    return found


def check_answer(status, kind, text):
    """Check for a stream with its end, an outcome or a typed error."""
    if kind == "text/event-stream":
        assert status == 200
        name, data = events_in(text)[-1]
        assert name == "end"
        assert data["outcome"] in OUTCOMES
        return
    assert kind == "application/json"
    response = json.loads(text)
    if status >= 500:
        expected = {503: "refused", 504: "unknown"}[status]
        assert response["outcome"] == expected
    elif status >= 400:
        assert set(response) == {"error", "message"}
    else:
        assert response == {"cancelled": True}


@FUZZ
@given(body=st.binary(max_size=200) | values.map(json.dumps))
def test_arbitrary_bytes_as_a_body(deployment, body):
    sent = body.encode() if isinstance(body, str) else body
    answer = send_request(deployment.hosts[0], "POST", "/v1/requests", sent)
    assert answer[0] == 400
    check_answer(*answer)


@FUZZ
@given(
    fields=st.fixed_dictionaries(valid_fields, optional=optional_fields),
    random_part=random_parts,
    invalid_field=st.dictionaries(st.sampled_from(FIELDS), values, max_size=1),
)
@example(
    fields={"workspace": "museum"}, random_part="0" * 32, invalid_field={}
)
def test_requests_with_an_invalid_field(
    deployment, prefix, fields, random_part, invalid_field
):
    body = {"key": f"{prefix}.{random_part}", **fields, **invalid_field}
    sent = json.dumps(body).encode()
    check_answer(
        *send_request(deployment.hosts[0], "POST", "/v1/requests", sent)
    )


@FUZZ
@given(
    method=st.sampled_from(["GET", "DELETE"]),
    key=st.text(min_size=1, max_size=40) | random_parts,
    homed=st.booleans(),
    query=st.dictionaries(
        st.sampled_from(["workspace", "from", "upstream", "generation"]),
        st.text(max_size=12) | st.integers().map(str),
        max_size=4,
    ),
)
def test_arbitrary_keys_and_queries(
    deployment, prefix, method, key, homed, query
):
    text = f"{prefix}.{key}" if homed else key
    pairs = [f"{name}={quote(value)}" for name, value in query.items()]
    path = f"/v1/requests/{quote(text, safe='')}?{'&'.join(pairs)}"
    check_answer(*send_request(deployment.hosts[0], method, path))
