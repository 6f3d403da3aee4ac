"""Route lookup, configuration versions and admission of requests."""

import math
import random
from collections import Counter
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from balsamlift.exceptions import NotConfiguredError
from balsamlift.platform._prompt_parts import decode_prompt_parts
from balsamlift.relay import Configuration, Route, ServiceShare, Workspace
from balsamlift.relay._admission import Admission
from balsamlift.relay._request import Call, CallerRequest, Refusal
from balsamlift.relay._routing import Routing, compile_table, pick_service
from balsamlift.testing.relay import (
    HEADER_NAMES,
    HOST,
    KEY,
    WORKSPACE,
    configuration,
    route,
)

PREFIXES = ("/", "/a/", "/a/b/", "/a/b/c/", "/b/")


def with_routes(*routes: Route) -> Configuration:
    return configuration(routes=routes)


def request(path: str, host: str = HOST, key: str = KEY) -> CallerRequest:
    headers = HTTPHeaders()
    headers.add("Host", host)
    headers.add(HEADER_NAMES.request_id, "r1")
    headers.add(HEADER_NAMES.deadline_ms, "1000")
    if key:
        headers.add("Authorization", f"Token {key}")
    return CallerRequest(
        method="POST", target=path, headers=headers, body=b"", arrived_s=0.0
    )


def admit(routing: Routing, path: str, **fields: str) -> Call | Refusal:
    admission = Admission(
        routing, HEADER_NAMES, random.Random(1), decode_prompt_parts
    )
    return admission.admit(request(path, **fields))


def offer_version(routing: Routing, version: int, **fields: object) -> bool:
    return routing.offer(
        configuration(version, **fields), b"%d" % version, "test"
    )


@given(st.lists(st.sampled_from(PREFIXES), unique=True), st.text("abc/"))
def test_finds_the_longest_prefix(prefixes: list[str], rest: str) -> None:
    table = compile_table(
        with_routes(*(route("idempotent", p, "plain") for p in prefixes))
    )
    path = f"/{rest}"
    found = table.find_route(HOST, path)
    matching = [p for p in prefixes if path.startswith(p)]
    expected = max(matching, key=len, default=None)
    assert (found.path_prefix if found else None) == expected


def test_the_version_never_decreases() -> None:
    routing = Routing()
    with pytest.raises(NotConfiguredError):
        routing.table()
    assert offer_version(routing, 3)
    assert not offer_version(routing, 2)
    assert not offer_version(routing, 3)
    assert routing.table().version == 3
    assert offer_version(routing, 9)
    assert routing.offset == 9


@given(st.lists(st.integers(1, 50)))
def test_the_newest_version_wins_in_any_order(versions: list[int]) -> None:
    routing = Routing()
    newest = 0
    for version in versions:
        offer_version(routing, version)
        newest = max(newest, version)
        assert routing.offset == newest


def test_weights_split_requests_between_services() -> None:
    shares = (
        ServiceShare(service="a", weight=90),
        ServiceShare(service="b", weight=10),
    )
    split = route("idempotent", "/a/", "a", services=shares)
    rng = random.Random(3)
    counts = Counter(pick_service(split, rng) for _ in range(1_000))
    assert 60 < counts["b"] < 140


def test_an_unknown_workspace_has_the_weight_one() -> None:
    routing = Routing()
    assert routing.weight_of(WORKSPACE) == 1.0
    workspace = Workspace(name=WORKSPACE, keys=(KEY,), weight=2.5)
    offer_version(routing, 1, workspaces=(workspace,))
    assert routing.weight_of(WORKSPACE) == 2.5
    assert routing.weight_of("other") == 1.0


@pytest.mark.parametrize(
    ("path", "fields", "status"),
    [
        ("/nowhere/", {}, 404),
        ("/order/1", {"host": "other.example"}, 404),
        ("/order/1", {"key": "unknown"}, 401),
        ("/order/1", {"key": ""}, 401),
    ],
)
def test_refuses_unknown_routes_and_keys(
    path: str, fields: dict[str, str], status: int
) -> None:
    routing = Routing()
    offer_version(routing, 1)
    refusal = admit(routing, path, **fields)
    assert isinstance(refusal, Refusal)
    assert refusal.status == status


def test_a_public_route_needs_no_key() -> None:
    routing = Routing()
    offer_version(
        routing,
        1,
        routes=(route("idempotent", "/open/", "plain", is_public=True),),
    )
    call = admit(routing, "/open/1", key="unknown")
    assert isinstance(call, Call)
    assert call.workspace is None


def test_a_workspace_priority_overrides_the_route() -> None:
    routing = Routing()
    workspace = Workspace(name=WORKSPACE, keys=(KEY,), priority=7)
    offer_version(routing, 1, workspaces=(workspace,))
    call = admit(routing, "/order/1")
    assert isinstance(call, Call)
    assert call.priority == 7


@pytest.mark.parametrize(
    ("later", "allowed"),
    [
        ({}, True),
        ({"workspaces": (Workspace(name=WORKSPACE, keys=("other",)),)}, False),
        ({"workspaces": (Workspace(name="other", keys=(KEY,)),)}, False),
        ({"routes": ()}, False),
        ({"routes": (route("non_idempotent", "/order/", "else"),)}, False),
        ({"routes": (route("non_idempotent", "/", "plain"),)}, True),
    ],
)
def test_a_call_that_waited_is_checked_again(
    later: dict[str, object], allowed: bool
) -> None:
    routing = Routing()
    offer_version(routing, 1)
    admission = Admission(
        routing, HEADER_NAMES, random.Random(1), decode_prompt_parts
    )
    call = admission.admit(request("/order/1"))
    assert isinstance(call, Call)
    offer_version(routing, 2, **later)
    assert admission.still_allows(call) is allowed


@pytest.mark.parametrize(
    ("deadline_ms", "wait_ms"), [("1000", 300), ("39000", 2_000), ("", 2_000)]
)
def test_retry_after_without_a_configuration_is_within_the_deadline(
    deadline_ms: str, wait_ms: int
) -> None:
    admission = Admission(
        Routing(), HEADER_NAMES, random.Random(1), decode_prompt_parts
    )
    asked = request("/order/1")
    del asked.headers[HEADER_NAMES.deadline_ms]
    if deadline_ms:
        asked.headers.add(HEADER_NAMES.deadline_ms, deadline_ms)
    refusal = admission.admit(asked)
    assert isinstance(refusal, Refusal)
    assert (refusal.status, refusal.retry_after_ms) == (503, wait_ms)


def fixed_age(age_s: float) -> Callable[[], float]:
    return lambda: age_s


@pytest.mark.parametrize(
    ("newer_reported", "age_s"), [(False, 2.5), (True, 0.1), (False, math.inf)]
)
@pytest.mark.parametrize(
    ("path", "key"), [("/unknown/x", KEY), ("/a/x", "not-a-key")]
)
def test_an_outdated_host_returns_retryable_denials(
    path: str, key: str, newer_reported: bool, age_s: float
) -> None:
    """A call that a newer version allows must not get 401 or 404."""
    routing = Routing()
    offer_version(routing, 3, routes=(route("idempotent", "/a/", "plain"),))
    routing.set_age_source(fixed_age(age_s), 2.0)
    if newer_reported:
        routing.record_version(4, "another")
    refusal = admit(routing, path, key=key)
    assert isinstance(refusal, Refusal)
    assert refusal.status == 503
    assert refusal.retry_after_ms == 300  # 0.3 of the caller's 1 s deadline


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/unknown/x", KEY, 404), ("/a/x", "not-a-key", 401)],
)
def test_an_up_to_date_host_returns_final_denials(
    path: str, key: str, status: int
) -> None:
    routing = Routing()
    offer_version(routing, 3, routes=(route("idempotent", "/a/", "plain"),))
    routing.set_age_source(fixed_age(1.9), 2.0)
    routing.record_version(3, "another")
    refusal = admit(routing, path, key=key)
    assert isinstance(refusal, Refusal)
    assert refusal.status == status


def test_an_outdated_host_admits_calls_that_its_version_allows() -> None:
    routing = Routing()
    offer_version(routing, 3, routes=(route("idempotent", "/a/", "plain"),))
    routing.set_age_source(fixed_age(60.0), 2.0)
    routing.record_version(4, "another")
    assert isinstance(admit(routing, "/a/x"), Call)
