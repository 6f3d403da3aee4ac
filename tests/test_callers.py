"""Host processes against invalid callers' input and faulty upstreams."""

import json
import socket
from contextlib import ExitStack
from functools import partial

import pytest
from _callers_deployment import (
    BODY_BYTES,
    STREAMS,
    TOKEN,
    Deployment,
    ask,
    digest,
    end_frame,
    event,
    follow,
    start_frame,
    token_frame,
    tokens_in,
)
from _stand_in_calls import Stream, call, eventually

RANDOM = "0" * 32


@pytest.fixture(scope="module")
def deployment():
    with ExitStack() as stack:
        yield Deployment(stack)


def post(body=None, **fields):
    """Return a case that posts `body`, or a valid body with other fields."""

    def send(deployment):
        sent = deployment.body(**fields) if body is None else body
        if isinstance(sent, dict):
            sent = {k: v for k, v in sent.items() if v != "MISSING"}
        return ask(deployment.hosts[0], sent)

    return send


def chunked(deployment):
    pieces = iter([b"x" * BODY_BYTES] * 2)
    return ask(deployment.hosts[0], pieces)


def plain_request(method, path, body=None):
    def send(deployment):
        return ask(
            deployment.hosts[0],
            body,
            method,
            path.format(key=deployment.key()),
        )

    return send


def with_token(token):
    def send(deployment):
        headers = {"Authorization": f"Bearer {token}"}
        body = deployment.body(workspace="guarded")
        return ask(deployment.hosts[0], body, headers=headers)

    return send


def reused_key(deployment):
    body = deployment.body(prompt="[length=1]")
    ask(deployment.hosts[0], body)
    return ask(deployment.hosts[0], body | {"prompt": "[length=2]"})


def from_other_workspace(method):
    def send(deployment):
        body = deployment.body(prompt="[length=1]")
        ask(deployment.hosts[0], body)
        path = f"/v1/requests/{body['key']}?workspace=rival"
        return ask(deployment.hosts[0], None, method, path)

    return send


def past_end(deployment):
    body = deployment.body(prompt="[length=3]")
    ask(deployment.hosts[0], body)
    return follow(deployment.hosts[0], body["key"], 4)


KEY = "/v1/requests/{key}?workspace=museum"
NESTED_200 = json.loads("[" * 200 + "]" * 200)
DEEP_BODY = b'{"key":"a","workspace":"w","kind":"k","payload":%b%b}'
CASES = {
    "no json": (post(b"nonsense"), 400, "bad_body"),
    "empty": (post(b""), 400, "bad_body"),
    "a list": (post(b"[]"), 400, "bad_body"),
    "not utf-8": (post(b'{"key":"\xff"}'), 400, "bad_body"),
    "too deep": (
        post(DEEP_BODY % (b"[" * 30_000, b"]" * 30_000)),
        400,
        "bad_body",
    ),
    "rather deep": (post(payload=NESTED_200), 400, "bad_body"),
    "wrong type": (post(prompt=7), 400, "bad_body"),
    "field missing": (post(kind="MISSING"), 400, "bad_body"),
    "no workspace": (post(workspace=""), 400, "bad_body"),
    "negative": (post(max_tokens=-1), 400, "bad_body"),
    "huge count": (post(max_tokens=10**30), 400, "bad_body"),
    "huge seed": (post(seed=10**30), 400, "bad_body"),
    "bad delivery": (post(delivery="parts"), 400, "bad_body"),
    "bad key": (post(key="../etc"), 400, "bad_key"),
    "unknown epoch": (
        post(key=f"host-1~{'0' * 16}~0.{RANDOM}x"),
        400,
        "bad_key",
    ),
    "unknown workspace": (post(workspace="nobody"), 403, "workspace_unknown"),
    "unknown kind": (post(kind="poem"), 400, "kind_unknown"),
    "too large": (post(prompt="x" * BODY_BYTES), 413, "body_too_large"),
    "far too large": (
        post(prompt="x" * BODY_BYTES * 3),
        413,
        "body_too_large",
    ),
    "too large in chunks": (chunked, 413, "body_too_large"),
    "no token": (post(workspace="guarded"), 401, "token_wrong"),
    "wrong token": (with_token("guess"), 401, "token_wrong"),
    "key reused": (reused_key, 409, "key_reused"),
    "foreign read": (from_other_workspace("GET"), 404, "key_missing"),
    "foreign cancel": (from_other_workspace("DELETE"), 404, "key_missing"),
    "unknown read": (plain_request("GET", KEY), 404, "key_missing"),
    "unknown cancel": (plain_request("DELETE", KEY), 404, "key_missing"),
    "past the end": (past_end, 416, "index_past_end"),
    "negative index": (
        plain_request("GET", KEY + "&from=-1"),
        400,
        "bad_query",
    ),
    "huge index": (
        plain_request("GET", KEY + "&from=" + "9" * 5_000),
        400,
        "bad_query",
    ),
    "workspace not said": (
        plain_request("GET", "/v1/requests/{key}"),
        400,
        "bad_query",
    ),
    "query not utf-8": (plain_request("GET", KEY + "%ff"), 400, "bad_request"),
    "key not utf-8": (
        plain_request("GET", "/v1/requests/%ff?workspace=museum"),
        400,
        "bad_request",
    ),
    "unknown route": (
        plain_request("GET", "/v2/anything"),
        404,
        "route_missing",
    ),
    "peers' read": (
        plain_request("GET", "/v1/peer/requests/{key}?workspace=museum"),
        404,
        "route_missing",
    ),
    "peers' post": (
        plain_request("POST", "/v1/peer/requests", b"{}"),
        404,
        "route_missing",
    ),
    "peers' keys": (
        plain_request("POST", "/v1/peer/keys", b"{}"),
        404,
        "route_missing",
    ),
    "peers' fold": (
        plain_request("GET", "/v1/peer/fold"),
        404,
        "route_missing",
    ),
    "operators' status": (
        plain_request("GET", "/v1/status"),
        404,
        "route_missing",
    ),
    "operators' preset": (
        plain_request("GET", "/v1/presets"),
        404,
        "route_missing",
    ),
    "wrong method": (plain_request("PUT", KEY, b"{}"), 405, "method_wrong"),
    "no key to read": (
        plain_request("GET", "/v1/requests?workspace=museum"),
        405,
        "method_wrong",
    ),
    "no key to cancel": (
        plain_request("DELETE", "/v1/requests?workspace=museum"),
        405,
        "method_wrong",
    ),
    "post to a key": (plain_request("POST", KEY, b"{}"), 405, "method_wrong"),
    "addresses posted": (
        plain_request("POST", "/v1/addresses", b"{}"),
        405,
        "method_wrong",
    ),
}


def check_case(deployment, name):
    send, status, code = CASES[name]
    [(response_status, response)] = send(deployment)
    assert (response_status, response["error"]) == (status, code)
    assert set(response) == {"error", "message"}
    assert response["message"]


@pytest.mark.parametrize("name", CASES)
def test_bad_input_gets_a_typed_error(deployment, name):
    check_case(deployment, name)


def test_bad_input_does_not_disturb_a_running_stream(deployment):
    body = deployment.body(prompt="[length=600]")
    stream = Stream(deployment.hosts[0], "POST", "/v1/requests", body)
    events = [stream.next() for _ in range(3)]
    for name in CASES:
        check_case(deployment, name)
    events += stream.rest()
    tokens = tokens_in(events)
    assert len(tokens) == 600
    assert events[-1][1]["outcome"] == "whole"
    assert events[-1][1]["digest"] == digest(tokens)


def test_the_right_token_is_accepted(deployment):
    [*_, (name, end)] = with_token(TOKEN)(deployment)
    assert (name, end["outcome"]) == ("end", "whole")


@pytest.mark.parametrize("host", [0, 1])
def test_another_workspaces_key_looks_like_an_unknown_key(deployment, host):
    body = deployment.body(prompt="[length=1]")
    ask(deployment.hosts[0], body)
    for method in ("GET", "DELETE"):
        responses = [
            ask(
                deployment.hosts[host],
                None,
                method,
                f"/v1/requests/{key}?workspace=rival",
            )
            for key in (body["key"], deployment.key())
        ]
        assert responses[0] == responses[1]


def test_a_key_of_no_live_host_is_reported_as_unknown(deployment):
    key = f"host-9~{'a' * 16}~0.{RANDOM}"
    [(status, response)] = ask(deployment.hosts[0], deployment.body(key=key))
    assert (status, response["outcome"]) == (504, "unknown")
    assert response["retry_after_ms"]


def test_a_key_too_old_to_be_claimed_is_reported_as_unknown(deployment):
    [(status, response)] = ask(
        deployment.hosts[0], deployment.body(key=f"1-{RANDOM}")
    )
    assert (status, response["outcome"]) == (504, "unknown")
    assert response["reason"] == "key_too_old"


def test_a_dropped_answer_is_reported_as_expired(deployment):
    body = deployment.body(1, prompt="[length=3]")
    tokens = tokens_in(ask(deployment.hosts[1], body))
    assert len(tokens) == 3
    follow_from = partial(follow, deployment.hosts[1], body["key"])
    eventually(lambda: follow_from(0)[0][0] == 410)
    assert follow_from(2)[0][1]["error"] == "answer_expired"
    # Repeating the request returns the error too, not a stream without tokens.
    assert ask(deployment.hosts[1], body)[0][0] == 410
    assert deployment.executions(body["key"]) == 1
    # A caller that has all tokens still gets the outcome.
    assert follow_from(3)[-1][1]["outcome"] == "whole"


def test_a_dropped_result_is_reported_as_expired(deployment):
    body = deployment.body(1, kind="lookup")
    [*_, (_, end)] = ask(deployment.hosts[1], body)
    assert end["result"]["key"] == body["key"]
    eventually(lambda: ask(deployment.hosts[1], body)[0][0] == 410)
    assert deployment.executions(body["key"]) == 1


def test_every_index_resumes_to_the_same_answer(deployment):
    body = deployment.body()
    whole = tokens_in(ask(deployment.hosts[0], body))
    assert len(whole) == 40
    for index in range(41):
        for host in deployment.hosts:
            events = follow(host, body["key"], index)
            assert tokens_in(events, index) == whole[index:]
            assert events[-1][1]["outcome"] == "whole", (index, events)
            assert events[-1][1]["digest"] == digest(whole)
    assert deployment.executions(body["key"]) == 1


def test_two_callers_read_one_key(deployment):
    body = deployment.body(prompt="[length=200]")
    first = Stream(deployment.hosts[0], "POST", "/v1/requests", body)
    first_events = [first.next() for _ in range(3)]
    second = follow(deployment.hosts[0], body["key"])
    again = ask(deployment.hosts[1], body)
    tokens = tokens_in(first_events + first.rest())
    assert len(tokens) == 200
    assert tokens_in(second) == tokens_in(again) == tokens
    assert deployment.executions(body["key"]) == 1


LONG_TOKEN = "x" * 2_000


def long_frames(body):
    """Yield an answer of 4 MB in small frames."""
    yield start_frame(body)
    for index in range(2_000):
        yield token_frame(index, LONG_TOKEN)
    yield end_frame(2_000)


def scripted_body(deployment, host, case, frames):
    deployment.scripted_engine.cases[case] = frames
    return deployment.body(host, kind="odd", prompt=case)


def stalled_caller(address, key):
    """Return a socket that requests an answer and never reads it."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    ip, port = address.split(":")
    caller.connect((ip, int(port)))
    path = f"/v1/requests/{key}?workspace=museum"
    caller.sendall(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
    return caller


def read_all(caller):
    """Return all data received until the connection is closed."""
    caller.settimeout(30)
    text = b""
    try:
        while data := caller.recv(65_536):
            text += data
    except ConnectionResetError:
        pass
    caller.close()
    return text


def peak_kb(process):
    """Return the peak resident memory of a process in KB."""
    with open(f"/proc/{process.pid}/status") as status:
        [line] = [s for s in status if s.startswith("VmHWM")]
    return int(line.split()[1])


def count_events(deployment, host, key, kind):
    path = f"/v1/timeline?kind={kind}&request={key}"
    return len(call(deployment.operators[host], "GET", path)[1])


def test_stalled_callers_are_disconnected_and_affect_no_others(deployment):
    body = scripted_body(deployment, 1, "long", long_frames)
    address = deployment.hosts[1]
    assert len(tokens_in(ask(address, body))) == 2_000
    before_kb = peak_kb(deployment.processes[1])
    callers = [stalled_caller(address, body["key"]) for _ in range(12)]
    other_answer = ask(address, deployment.body(1, prompt="[length=40]"))
    assert other_answer[-1][1]["outcome"] == "whole"
    count_lost = partial(
        count_events, deployment, 1, body["key"], "caller_lost"
    )
    eventually(lambda: count_lost() == 12)
    # The answer is 4 MB; one copy for each of the 12 callers would be 48 MB.
    assert peak_kb(deployment.processes[1]) - before_kb < 12_000
    for caller in callers:
        text = read_all(caller)
        assert 0 < len(text) < 4_000_000
        assert b"event: end" not in text
        assert not text.endswith(b"0\r\n\r\n")


def test_streams_to_callers_are_limited(deployment):
    address = deployment.hosts[1]
    body = deployment.body(1, prompt="[length=2000]")
    stream = Stream(address, "POST", "/v1/requests", body)
    stream.next()
    callers = [stalled_caller(address, body["key"]) for _ in range(STREAMS)]
    late = deployment.body(1, prompt="[length=1]")

    def submit_late():
        return ask(address, late)[-1]

    status, answer = eventually(
        lambda: submit_late()[0] == 503 and submit_late()
    )
    assert (status, answer["error"]) == (503, "streams_full")
    assert deployment.executions(late["key"]) <= 1
    for caller in callers:
        caller.close()
    # 503 is not an outcome: the same key runs once a stream is free.
    eventually(lambda: submit_late()[1].get("outcome") == "whole")
    assert deployment.executions(late["key"]) == 1
    stream.connection.close()


def abandon_request(deployment, kind, length):
    """Start a request at the second host, disconnect and return its key."""
    body = deployment.body(1, kind=kind, prompt=f"[length={length}]")
    stream = Stream(deployment.hosts[1], "POST", "/v1/requests", body)
    while stream.next()[0] != "token":
        pass
    stream.answer.close()
    stream.connection.close()
    return body["key"]


def finished_state(deployment, key):
    state = deployment.engine_state(key)
    return state if state["state"] == "done" else None


def test_an_abandoned_request_is_cancelled_on_its_engine(deployment):
    key = abandon_request(deployment, "report", 2_000)
    state = eventually(lambda: finished_state(deployment, key))
    assert state["reason"] == "cancelled"
    assert state["tokens"] < 2_000


def test_an_abandoned_non_idempotent_request_runs_to_its_end(deployment):
    key = abandon_request(deployment, "tag", 2_000)
    state = eventually(lambda: finished_state(deployment, key))
    assert (state["reason"], state["tokens"]) == ("stop", 2_000)


@pytest.mark.parametrize("host", [0, 1])
def test_a_cancelled_request_ends_on_its_engine_and_is_reported(
    deployment, host
):
    body = deployment.body(prompt="[length=2000]")
    stream = Stream(deployment.hosts[0], "POST", "/v1/requests", body)
    events = [stream.next() for _ in range(4)]
    path = f"/v1/requests/{body['key']}?workspace=museum"
    assert call(deployment.hosts[host], "DELETE", path) == (
        200,
        {"cancelled": True},
    )
    events += stream.rest()
    end = events[-1][1]
    assert (end["outcome"], end["reason"]) == ("failed", "cancelled")
    assert end["tokens"] == len(tokens_in(events)) < 2_000
    assert finished_state(deployment, body["key"])["reason"] == "cancelled"
    assert follow(deployment.hosts[0], body["key"])[-1][1] == end


def cancel_unstarted(deployment):
    """Cancel a request that the engine refuses; return its outcome."""
    body = deployment.body(prompt="[length=9]")
    stream = Stream(deployment.hosts[0], "POST", "/v1/requests", body)
    eventually(lambda: count_events(deployment, 0, body["key"], "not_run"))
    path = f"/v1/requests/{body['key']}?workspace=museum"
    call(deployment.hosts[0], "DELETE", path)
    end = stream.rest()[-1][1]
    assert end["reason"] == "cancelled"
    assert ask(deployment.hosts[0], body)[0][1] == end
    assert deployment.executions(body["key"]) == 0
    return end["outcome"]


def test_a_request_cancelled_before_it_ran_is_reported_as_refused(deployment):
    call(deployment.engine, "POST", "/control/faults", {"refuse": True})
    try:
        outcomes = [cancel_unstarted(deployment) for _ in range(8)]
    finally:
        call(deployment.engine, "POST", "/control/faults", {"refuse": False})
    # "unknown" is possible while the engine's refusal is outstanding.
    assert set(outcomes) <= {"refused", "unknown"}
    assert "refused" in outcomes


OTHER_KEY = {"key": "another", "workspace": "museum"}
INVALID_STREAMS = {
    "an event without end": lambda b: [
        start_frame(b),
        b"data: " + b"x" * 5_000_000,
    ],
    "no text": lambda b: [start_frame(b), b"event: \xff\xfe\n\n"],
    "no JSON": lambda b: [start_frame(b), b"event: token\ndata: {[\n\n"],
    "other types": lambda b: [
        start_frame(b),
        event("token", generation="g", index="0", tokens=[1]),
    ],
    "tokens missing": lambda b: [
        start_frame(b),
        token_frame(0, "a"),
        token_frame(3, "d"),
        end_frame(4),
    ],
    "tokens of another generation": lambda b: [
        start_frame(b),
        token_frame(0, "a"),
        token_frame(1, "b", generation="h"),
        end_frame(2),
    ],
    "a token before the start": lambda b: [
        token_frame(0, "a"),
        start_frame(b),
        end_frame(1),
    ],
    "another start": lambda b: [
        start_frame(b),
        token_frame(0, "a"),
        start_frame(b, generation="h"),
        end_frame(1),
    ],
    "a foreign key": lambda b: [
        start_frame(OTHER_KEY),
        token_frame(0, "a"),
        end_frame(1),
    ],
    "an end that counts more": lambda b: [
        start_frame(b),
        token_frame(0, "a"),
        end_frame(2),
    ],
    "an end that counts fewer": lambda b: [
        start_frame(b),
        token_frame(0, "a", "b"),
        end_frame(1),
    ],
    "an end of another generation": lambda b: [
        start_frame(b),
        token_frame(0, "a"),
        end_frame(1, generation="h"),
    ],
    "an end of another kind": lambda b: [
        start_frame(b),
        token_frame(0, "a"),
        end_frame(1, reason="exploded"),
    ],
    "an end before the start": lambda b: [end_frame(0)],
    "a start without a key": lambda b: [
        event("start", generation="g"),
        token_frame(0, "a"),
        end_frame(1),
    ],
    "another workspace": lambda b: [
        start_frame(b | {"workspace": "rival"}),
        token_frame(0, "a"),
        end_frame(1),
    ],
    "no end": lambda b: [start_frame(b), token_frame(0, "a")],
    "nothing": lambda b: [],
}


@pytest.mark.parametrize("case", INVALID_STREAMS)
def test_an_invalid_upstream_stream_is_never_reported_as_whole(
    deployment, case
):
    body = scripted_body(deployment, 0, case, INVALID_STREAMS[case])
    response = ask(deployment.hosts[0], body)[-1][1]
    assert response["outcome"] in ("failed", "unknown")
    assert deployment.scripted_engine.posts.count(body["key"]) == 1
    again = ask(deployment.hosts[0], deployment.body(kind="odd"))
    assert again[-1][1]["outcome"] == "whole"


def test_an_engine_is_asked_for_the_model_of_the_preset_in_force(deployment):
    body = deployment.body(kind="odd", prompt="model")
    assert ask(deployment.hosts[0], body)[-1][1]["outcome"] == "whole"
    assert deployment.scripted_engine.bodies[body["key"]]["model"] == "m"


@pytest.mark.parametrize("host", [0, 1])
def test_a_reused_key_gets_no_answer_of_another_request(deployment, host):
    body = deployment.body(prompt="[length=3]")
    ask(deployment.hosts[0], body)
    response = ask(deployment.hosts[host], body | {"prompt": "[length=4]"})
    assert tokens_in(response) == []
    [(status, answer)] = response
    if host:
        assert (answer["outcome"], answer["reason"]) == (
            "refused",
            "key_reused",
        )
    else:
        assert (status, answer["error"]) == (409, "key_reused")


def test_another_host_reports_an_invalid_request(deployment):
    [(_, response)] = ask(deployment.hosts[1], deployment.body(kind="poem"))
    assert (response["outcome"], response["reason"]) == (
        "refused",
        "kind_unknown",
    )


@pytest.mark.parametrize("host", [0, 1])
def test_an_ended_request_is_not_reported_as_cancelled(deployment, host):
    body = deployment.body(prompt="[length=3]")
    ask(deployment.hosts[0], body)
    path = f"/v1/requests/{body['key']}?workspace=museum"
    assert call(deployment.hosts[host], "DELETE", path) == (
        200,
        {"cancelled": False},
    )
    assert (
        follow(deployment.hosts[0], body["key"])[-1][1]["outcome"] == "whole"
    )
