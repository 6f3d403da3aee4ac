"""Steps of callers: asking, waiting, and what they are told."""

from __future__ import annotations

from pytest_bdd import parsers, then, when

from scenarios import verdicts
from scenarios.background import wait_until
from scenarios.world import World

KIND = "(?P<kind>report|tag|lookup|refund)"


@when(parsers.re(f"a caller asks for a {KIND}"))
def ask(world: World, kind: str) -> None:
    world.begin_call(kind)


@when(
    parsers.re(rf"(?P<count>\d+) callers ask for a {KIND} each"),
    converters={"count": int},
)
def ask_many(world: World, count: int, kind: str) -> None:
    for number in range(count):
        world.begin_call(kind, _own_length(kind, number))


@when(
    parsers.re(r"(?P<count>\d+) callers ask for a report and a lookup each"),
    converters={"count": int},
)
def ask_crossing(world: World, count: int) -> None:
    for number in range(count):
        world.begin_call("report", _own_length("report", number))
        world.begin_call("lookup")


@when(
    parsers.re(rf"(?P<count>\d+) tokens of the {KIND} have arrived"),
    converters={"count": int},
)
def tokens_arrived(world: World, count: int, kind: str) -> None:
    call = world.call(kind)
    wait_until(lambda: len(call.tokens) >= count, f"{count} tokens")
    assert not call.done, "the answer ended too early for this scenario"


@when(
    parsers.re(rf"the caller of the {KIND} has tried (?P<count>\d+) times"),
    converters={"count": int},
)
def has_tried(world: World, kind: str, count: int) -> None:
    call = world.call(kind)
    wait_until(lambda: call.tries >= count, f"the caller tries {count} times")


@when(parsers.re(f"each {KIND} has begun"))
def each_begun(world: World, kind: str) -> None:
    calls = world.calls_of(kind)
    wait_until(lambda: all(c.tokens for c in calls), "each has begun")


@when(parsers.re(f"the {KIND} runs on (an engine|a service)"))
def runs(world: World, kind: str) -> None:
    if world.attempts:
        key = world.attempts[-1].key
        wait_until(
            lambda: world.deployment.executions()[key] > 0, f"{kind} runs"
        )
        return
    world.upstream_of(world.call(kind))


@then(parsers.re(rf'the {KIND} is told "(?P<told>[a-z]+)"$'))
def is_told(world: World, kind: str, told: str) -> None:
    check_told(world, kind, {told})


@then(
    parsers.re(
        rf'the {KIND} is told "(?P<told>[a-z]+)" or "(?P<other>[a-z]+)"$'
    )
)
def is_told_either(world: World, kind: str, told: str, other: str) -> None:
    check_told(world, kind, {told, other})


def check_told(world: World, kind: str, told: set[str]) -> None:
    if world.attempts:
        attempt = world.attempts[-1]
        wait_until(lambda: attempt.ended, "the attempt is told", 60)
        assert attempt.outcome in told, attempt
        return
    call = world.call(kind)
    world.wait_told([call])
    assert call.told in told, call.outcome


@then(
    parsers.re(
        rf'every {KIND} is told "(?P<told>[a-z]+)" or "(?P<other>[a-z]+)"$'
    )
)
def every_told_either(world: World, kind: str, told: str, other: str) -> None:
    calls = world.calls_of(kind)
    world.wait_told(calls)
    for call in calls:
        assert call.told in (told, other), call.outcome


@then(parsers.re(rf'every {KIND} is told "(?P<told>[a-z]+)"$'))
def every_told(world: World, kind: str, told: str) -> None:
    every_told_either(world, kind, told, told)


@then(parsers.parse('every call is told "{told}"'))
def every_call_told(world: World, told: str) -> None:
    world.wait_told(world.calls)
    for call in world.calls:
        assert call.told == told, (call.kind, call.outcome)


@then(
    parsers.parse('at least 1 call is told "{told}"'),
)
def some_call_told(world: World, told: str) -> None:
    assert any(c.told == told for c in world.calls), [
        c.told for c in world.calls
    ]


@then(
    parsers.re(
        f"the tokens of the {KIND} came once, in order, from one generation"
    )
)
def tokens_once(world: World, kind: str) -> None:
    call = world.call(kind)
    world.wait_told([call])
    assert call.told in ("whole", "failed", "unknown")
    verdicts.check_tokens(world.deployment, call)
    if call.told == "whole":
        verdicts.check_whole(world.deployment, call)


@then("every caller got the whole answer to its own request")
def every_whole(world: World) -> None:
    for call in world.calls:
        if call.told == "whole":
            verdicts.check_whole(world.deployment, call)
        else:
            assert call.told == "refused", (call.kind, call.outcome)


@then(parsers.re(f"the {KIND} has its own result"))
def own_result(world: World, kind: str) -> None:
    verdicts.check_whole(world.deployment, world.call(kind))


@then(parsers.re(f"the {KIND} ran (?P<times>once|at most once)$"))
def ran_once(world: World, kind: str, times: str) -> None:
    executions = _settled(world)
    if world.attempts:
        runs = executions[world.attempts[-1].key]
    else:
        runs = verdicts.count_runs(executions, world.call(kind))
    assert runs <= 1, runs
    assert runs == 1 or times != "once", runs


@then(parsers.re(f"the {KIND} never ran"))
def never_ran(world: World, kind: str) -> None:
    assert _settled(world)[world.attempts[-1].key] == 0, kind


@then("nothing that was refused ran")
def refused_never_ran(world: World) -> None:
    verdicts.check_not_run(_settled(world), world.calls)


@then("every refusal says when to come back")
def refusals_say_when(world: World) -> None:
    refused = [c.outcome for c in world.calls if c.told == "refused"]
    assert refused
    for outcome in refused:
        assert outcome is not None
        assert outcome.retry_after_ms, outcome


def _settled(world: World):  # type: ignore[no-untyped-def]
    world.wait_told(world.calls)
    world.settle()
    return world.deployment.executions()


def _own_length(kind: str, number: int) -> int:
    """Return a length that no other caller's answer has."""
    return {"report": 100 + 3 * number, "tag": 3 + number}.get(kind, 0)
