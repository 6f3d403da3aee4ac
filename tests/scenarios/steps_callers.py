"""Steps that start calls, wait for them and check their outcomes."""

from __future__ import annotations

from pytest_bdd import parsers, then, when

from scenarios import checks
from scenarios.background import wait_until
from scenarios.context import ScenarioContext

KIND = "(?P<kind>report|tag|lookup|refund)"


@when(parsers.re(f"a caller asks for a {KIND}"))
def ask(context: ScenarioContext, kind: str) -> None:
    context.start_call(kind)


@when(
    parsers.re(rf"(?P<count>\d+) callers ask for a {KIND} each"),
    converters={"count": int},
)
def ask_many(context: ScenarioContext, count: int, kind: str) -> None:
    for number in range(count):
        context.start_call(kind, _unique_length(kind, number))


@when(
    parsers.re(r"(?P<count>\d+) callers ask for a report and a lookup each"),
    converters={"count": int},
)
def ask_both(context: ScenarioContext, count: int) -> None:
    for number in range(count):
        context.start_call("report", _unique_length("report", number))
        context.start_call("lookup")


@when(
    parsers.re(rf"(?P<count>\d+) tokens of the {KIND} have arrived"),
    converters={"count": int},
)
def tokens_arrived(context: ScenarioContext, count: int, kind: str) -> None:
    call = context.call(kind)
    wait_until(lambda: len(call.tokens) >= count, f"{count} tokens")
    assert not call.done, "the call ended before the next step"


@when(
    parsers.re(rf"the caller of the {KIND} has tried (?P<count>\d+) times"),
    converters={"count": int},
)
def has_tried(context: ScenarioContext, kind: str, count: int) -> None:
    call = context.call(kind)
    wait_until(
        lambda: call.connection_attempts >= count,
        f"the caller connects {count} times",
    )


@when(parsers.re(f"each {KIND} has begun"))
def each_begun(context: ScenarioContext, kind: str) -> None:
    calls = context.calls_of(kind)
    wait_until(lambda: all(c.tokens for c in calls), "each call has tokens")


@when(parsers.re(f"the {KIND} runs on (an engine|a service)"))
def runs(context: ScenarioContext, kind: str) -> None:
    if context.attempts:
        key = context.attempts[-1].key
        wait_until(
            lambda: context.deployment.executions()[key] > 0, f"{kind} runs"
        )
        return
    context.upstream_of(context.call(kind))


@then(parsers.re(rf'the {KIND} is told "(?P<told>[a-z]+)"$'))
def is_told(context: ScenarioContext, kind: str, told: str) -> None:
    check_told(context, kind, {told})


@then(
    parsers.re(
        rf'the {KIND} is told "(?P<told>[a-z]+)" or "(?P<other>[a-z]+)"$'
    )
)
def is_told_either(
    context: ScenarioContext, kind: str, told: str, other: str
) -> None:
    check_told(context, kind, {told, other})


def check_told(context: ScenarioContext, kind: str, told: set[str]) -> None:
    if context.attempts:
        attempt = context.attempts[-1]
        wait_until(lambda: attempt.ended, "the attempt has an outcome", 60)
        assert attempt.outcome in told, attempt
        return
    call = context.call(kind)
    context.wait_answered([call])
    assert call.reported_outcome in told, call.outcome


@then(
    parsers.re(
        rf'every {KIND} is told "(?P<told>[a-z]+)" or "(?P<other>[a-z]+)"$'
    )
)
def every_told_either(
    context: ScenarioContext, kind: str, told: str, other: str
) -> None:
    calls = context.calls_of(kind)
    context.wait_answered(calls)
    for call in calls:
        assert call.reported_outcome in (told, other), call.outcome


@then(parsers.re(rf'every {KIND} is told "(?P<told>[a-z]+)"$'))
def every_told(context: ScenarioContext, kind: str, told: str) -> None:
    every_told_either(context, kind, told, told)


@then(parsers.parse('every call is told "{told}"'))
def every_call_told(context: ScenarioContext, told: str) -> None:
    context.wait_answered(context.calls)
    for call in context.calls:
        assert call.reported_outcome == told, (call.kind, call.outcome)


@then(
    parsers.parse('at least 1 call is told "{told}"'),
)
def some_call_told(context: ScenarioContext, told: str) -> None:
    assert any(c.reported_outcome == told for c in context.calls), [
        c.reported_outcome for c in context.calls
    ]


@then(
    parsers.re(
        f"the tokens of the {KIND} came once, in order, from one generation"
    )
)
def tokens_once(context: ScenarioContext, kind: str) -> None:
    call = context.call(kind)
    context.wait_answered([call])
    assert call.reported_outcome in ("whole", "failed", "unknown")
    checks.check_tokens(context.deployment, call)
    if call.reported_outcome == "whole":
        checks.check_whole(context.deployment, call)


@then("every caller got the whole answer to its own request")
def every_whole(context: ScenarioContext) -> None:
    for call in context.calls:
        if call.reported_outcome == "whole":
            checks.check_whole(context.deployment, call)
        else:
            assert call.reported_outcome == "refused", (
                call.kind,
                call.outcome,
            )


@then(parsers.re(f"the {KIND} has its own result"))
def own_result(context: ScenarioContext, kind: str) -> None:
    checks.check_whole(context.deployment, context.call(kind))


@then(parsers.re(f"the {KIND} ran (?P<times>once|at most once)$"))
def ran_once(context: ScenarioContext, kind: str, times: str) -> None:
    executions = _executions_when_idle(context)
    if context.attempts:
        runs = executions[context.attempts[-1].key]
    else:
        runs = checks.count_executions(executions, context.call(kind))
    assert runs <= 1, runs
    assert runs == 1 or times != "once", runs


@then(parsers.re(f"the {KIND} never ran"))
def never_ran(context: ScenarioContext, kind: str) -> None:
    assert _executions_when_idle(context)[context.attempts[-1].key] == 0, kind


@then("nothing that was refused ran")
def refused_never_ran(context: ScenarioContext) -> None:
    checks.check_refused_not_run(_executions_when_idle(context), context.calls)


@then("every refusal says when to come back")
def refusals_say_when(context: ScenarioContext) -> None:
    refused = [
        c.outcome for c in context.calls if c.reported_outcome == "refused"
    ]
    assert refused
    for outcome in refused:
        assert outcome is not None
        assert outcome.retry_after_ms, outcome


def _executions_when_idle(context: ScenarioContext):  # type: ignore[no-untyped-def]
    context.wait_answered(context.calls)
    context.wait_idle()
    return context.deployment.executions()


def _unique_length(kind: str, number: int) -> int:
    """Return an answer length that is unique among the callers."""
    return {"report": 100 + 3 * number, "tag": 3 + number}.get(kind, 0)
