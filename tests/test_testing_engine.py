"""Tests of the engine and plain service stand-ins, run as processes."""

import pytest
from _stand_in_calls import Stream, call, eventually, tokens_of

from balsamlift.testing import start_stand_in

FAST = {"step_base_ms": 1.0, "step_per_sequence_ms": 0.01}


@pytest.fixture
def start():
    """Return a function that starts stand-ins, closed after the test."""
    started = []

    def start_one(kind="engine", **settings):
        if kind == "engine":
            settings = {"parameters": FAST, "cache_gap_ratio": 0.0, **settings}
        started.append(start_stand_in(kind, settings))
        return started[-1].address

    yield start_one
    for process in started:
        process.close()


def generate(address, key="k", length=20, **more):
    body = {"key": key, "prompt": f"[length={length}] report", **more}
    return Stream(address, "POST", "/v1/generations", body)


def counts(address):
    return call(address, "GET", "/control/counts")[1]


def set_faults(address, **changes):
    status, found = call(address, "POST", "/control/faults", changes)
    assert status == 200, found


def test_stream_is_complete_and_can_be_resumed_from_an_index(start):
    address = start(tokens_per_frame=4)
    events = generate(address, workspace="w").rest()
    assert events[0][0] == "start"
    assert events[0][1]["workspace"] == "w"
    generation = events[0][1]["generation"]
    tokens = tokens_of(events)
    assert len(tokens) == 20
    assert events[-1] == (
        "end",
        {"generation": generation, "tokens": 20, "reason": "stop"},
    )
    path = f"/v1/generations/{generation}?from=7"
    resumed_events = Stream(address, "GET", path).rest()
    assert resumed_events[1][1]["index"] == 7
    resumed = [
        t for e, d in resumed_events if e == "token" for t in d["tokens"]
    ]
    assert resumed == tokens[7:]
    assert counts(address)["executions"] == {"k": 1}
    state = call(address, "GET", "/v1/keys/k")[1]
    assert (state["state"], state["tokens"]) == ("done", 20)
    assert call(address, "GET", "/v1/keys/other")[1]["state"] == "absent"
    assert call(address, "GET", "/v1/generations/x")[0] == 404


def test_max_tokens_ends_a_generation_with_reason_length(start):
    events = generate(start(), length=500, max_tokens=5).rest()
    assert events[-1][1]["reason"] == "length"
    assert len(tokens_of(events)) == 5


@pytest.mark.parametrize("deterministic", [True, False])
def test_tokens_are_equal_across_engines_only_when_deterministic(
    start, deterministic
):
    texts = []
    for seed in (1, 2):
        address = start(deterministic=deterministic, seed=seed)
        body = {"key": "k", "prompt": "p", "seed": 9, "max_tokens": 30}
        stream = Stream(address, "POST", "/v1/generations", body)
        texts.append(tokens_of(stream.rest()))
    assert (texts[0] == texts[1]) is deterministic


def test_generation_outlives_its_reader_and_ends_when_cancelled(start):
    address = start()
    stream = generate(address, length=100_000, prompt_tokens=10)
    generation = stream.next()[1]["generation"]
    stream.connection.close()
    path = f"/v1/generations/{generation}"
    resumed = Stream(address, "GET", path)
    assert resumed.next()[0] == "start"
    assert call(address, "DELETE", path) == (200, {"cancelled": True})
    assert resumed.rest()[-1][1]["reason"] == "cancelled"
    assert call(address, "DELETE", path) == (200, {"cancelled": False})


def test_silent_fault_affects_open_streams_but_not_new_ones(start):
    address = start()
    stream = generate(address, length=50_000)
    generation = stream.next()[1]["generation"]
    set_faults(address, silent=True)
    path = f"/v1/generations/{generation}?from=0"
    new_stream = Stream(address, "GET", path)
    assert [new_stream.next()[0] for _ in range(3)] == [
        "start",
        "token",
        "token",
    ]
    stream.connection.sock.settimeout(0.5)
    with pytest.raises(TimeoutError):
        stream.rest()


def test_request_with_a_dropped_answer_runs(start):
    address = start()
    set_faults(address, drop_answers=True)
    body = {"key": "k", "prompt": "[length=5]"}
    with pytest.raises(TimeoutError):
        Stream(address, "POST", "/v1/generations", body, timeout_s=0.5)
    eventually(lambda: counts(address)["executions"] == {"k": 1})


@pytest.mark.parametrize(
    ("fault", "reason"),
    [({"refuse": True}, "full"), ({"draining": True}, "draining")],
)
def test_refused_request_does_not_run(start, fault, reason):
    address = start()
    set_faults(address, **fault)
    body = {"key": "k", "prompt": "p"}
    status, found = call(address, "POST", "/v1/generations", body)
    assert status == 503
    assert (found["ran"], found["reason"]) == (False, reason)
    assert counts(address)["executions"] == {}


def test_engine_refuses_requests_for_a_model_that_is_not_loaded(start):
    address = start(model="writer", version="1")
    body = {"key": "k", "prompt": "p", "model": "other"}
    status, found = call(address, "POST", "/v1/generations", body)
    assert (status, found["ran"]) == (503, False)
    assert found["reason"] == "model_missing"
    assert counts(address)["executions"] == {}
    stream = generate(address, key="k2", model="writer")
    assert len(tokens_of(stream.rest())) == 20


def test_duplicate_frames_repeat_frames_but_not_tokens(start):
    address = start()
    set_faults(address, duplicate_frames=True)
    events = generate(address, length=9).rest()
    indexes = [data["index"] for event, data in events if event == "token"]
    assert len(indexes) > len(set(indexes))
    assert len(tokens_of(events)) == 9


def test_reclaim_registers_as_leaving_and_ends_streams(start):
    platform = start("platform", hosts_lag_ms=0)
    address = start(platform_address=platform, name="e1")

    def state():
        hosts = call(platform, "GET", "/v1/hosts")[1]["hosts"]
        return [(host["name"], host["state"]) for host in hosts]

    eventually(lambda: state() == [("e1", "live")])
    stream = generate(address, length=50_000)
    stream.next()
    set_faults(address, reclaim_in_ms=300)
    eventually(lambda: state() == [("e1", "leaving")])
    assert stream.rest()[-1][1]["reason"] == "reclaimed"


def test_process_exits_after_a_number_of_tokens():
    with start_stand_in("engine", {"parameters": FAST}) as process:
        set_faults(process.address, die_after_tokens=5)
        stream = generate(process.address, length=100)
        assert len(tokens_of(stream.rest())) == 5
        assert process.wait() == 1


@pytest.mark.parametrize("checks_fence", [True, False])
def test_order_with_a_stale_fence_is_refused_only_if_checked(
    start, checks_fence
):
    platform = start("platform", weight_loads_per_s=20)
    address = start(checks_fence=checks_fence, platform_address=platform)
    newer = {"fence": 7, "model": "model-b", "version": "2"}
    older = {"fence": 3, "model": "model-c", "version": "1"}

    def serves(model):
        state = call(address, "GET", "/v1/state")[1]
        return state["model"] == model and not state["loading"]

    assert call(address, "POST", "/v1/orders", newer)[0] == 200
    body = {"key": "k", "prompt": "p"}
    status, found = call(address, "POST", "/v1/generations", body)
    assert (status, found["reason"]) == (503, "model_missing")
    eventually(lambda: serves("model-b"))
    status, found = call(address, "POST", "/v1/orders", older)
    if checks_fence:
        assert (status, found["fence"]) == (409, 7)
        assert serves("model-b")
    else:
        eventually(lambda: serves("model-c"))
    loads = call(platform, "GET", "/control/counts")[1]["weight_loads"]
    assert loads["model-b/2"] == 1


def test_load_and_cache_events_are_reported_with_a_lag(start):
    address = start(load_lag_ms=600, cache_lag_ms=600)
    stream = generate(
        address, length=50_000, prefix="policy", prompt_tokens=600
    )
    stream.next()
    assert call(address, "GET", "/v1/load")[1]["running"] == 0
    assert call(address, "GET", "/v1/cache")[1]["events"] == []
    eventually(lambda: call(address, "GET", "/v1/load")[1]["running"] == 1)
    page = eventually(
        lambda: call(address, "GET", "/v1/cache?from=0")[1]["events"]
    )
    assert page == [{"seq": 0, "kind": "stored", "prefix": "policy"}]


@pytest.mark.parametrize("deduplicates", [True, False])
def test_service_counts_executions_per_key(start, deduplicates):
    address = start("service", deduplicates=deduplicates)
    body = {"key": "k", "workspace": "w", "kind": "refund", "payload": {}}
    first = call(address, "POST", "/v1/calls", body)
    assert first == call(address, "POST", "/v1/calls", body)
    executed = counts(address)["executions"]["k"]
    assert executed == (1 if deduplicates else 2)
    assert call(address, "GET", "/v1/keys/k")[1]["state"] == "done"


def test_service_runs_calls_with_lost_answers_but_not_refused_calls(start):
    address = start("service")
    set_faults(address, lose_answers="500")
    body = {"key": "lost", "payload": 1}
    assert call(address, "POST", "/v1/calls", body)[0] == 500
    set_faults(address, refuse=True)
    status, found = call(address, "POST", "/v1/calls", {"key": "kept out"})
    assert (status, found["ran"]) == (503, False)
    assert counts(address)["executions"] == {"lost": 1}
