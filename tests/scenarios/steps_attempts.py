"""Steps that send a key to chosen hosts without the client library."""

from __future__ import annotations

import time

from pytest_bdd import parsers, then, when

from scenarios.attempts import Attempt
from scenarios.background import WAIT_TIMEOUT_S, wait_until
from scenarios.context import ScenarioContext, pause


@when(parsers.parse("a refund is sent to host {number:d}"))
def send(context: ScenarioContext, number: int) -> None:
    context.start_attempt("refund", number)


@when(parsers.parse("the refund is sent again to host {number:d}"))
def send_again(context: ScenarioContext, number: int) -> None:
    key = context.attempts[0].key
    context.start_attempt("refund", number, key)


@when(
    parsers.parse("the caller comes back to host {number:d} as it is told to")
)
def come_back(context: ScenarioContext, number: int) -> None:
    """Resend the key, each time after the `retry_after_ms` of the answer."""
    end = time.monotonic() + WAIT_TIMEOUT_S
    while context.attempts[-1].outcome in ("refused", "unknown"):
        assert time.monotonic() < end, context.attempts[-1]
        pause(context.attempts[-1].retry_after_ms / 1_000)
        context.start_attempt("refund", number, context.attempts[0].key)
        _wait(context.attempts)


@when(parsers.parse("a refund without a home is sent to host {number:d}"))
def send_unhomed(context: ScenarioContext, number: int) -> None:
    context.start_attempt("refund", number, context.new_unhomed_key())


@when("a refund without a home is sent to every host")
def send_unhomed_everywhere(context: ScenarioContext) -> None:
    key = context.new_unhomed_key()
    for number in context.deployment.hosts:
        context.start_attempt("refund", number, key)


@then(parsers.parse('both attempts at the refund are told "{told}"'))
def both_told(context: ScenarioContext, told: str) -> None:
    first, last = context.attempts
    _wait([first, last])
    assert (first.outcome, last.outcome) == (told, told), (first, last)
    assert first.result == last.result


@then(
    parsers.re(
        r"the (?P<which>first|last) attempt at the refund is told"
        r' "(?P<told>[a-z]+)"$'
    )
)
def one_told(context: ScenarioContext, which: str, told: str) -> None:
    one_told_either(context, which, told, told)


@then(
    parsers.re(
        r"the (?P<which>first|last) attempt at the refund is told"
        r' "(?P<told>[a-z]+)" or "(?P<other>[a-z]+)"$'
    )
)
def one_told_either(
    context: ScenarioContext, which: str, told: str, other: str
) -> None:
    attempt = context.attempts[0 if which == "first" else -1]
    _wait([attempt])
    assert attempt.outcome in (told, other), attempt


@then(parsers.re(r'every attempt at the refund is told "(?P<told>[a-z]+)"$'))
def every_told(context: ScenarioContext, told: str) -> None:
    _wait(context.attempts)
    for attempt in context.attempts:
        assert attempt.outcome == told, attempt
        assert attempt.result == context.attempts[0].result


@then(
    'every attempt at the refund is told "whole", "unknown" or "refused"',
)
def every_told_something(context: ScenarioContext) -> None:
    _wait(context.attempts)
    for attempt in context.attempts:
        assert attempt.outcome in ("whole", "unknown", "refused"), attempt


@then("no attempt at the refund was told falsely")
def none_told_falsely(context: ScenarioContext) -> None:
    context.wait_idle()
    runs = context.deployment.executions()[context.attempts[0].key]
    assert runs <= 1
    for attempt in context.attempts:
        assert attempt.outcome != "whole" or runs == 1, attempt
        assert attempt.outcome != "refused" or runs == 0, attempt


@then("the refund says when to come back")
def says_when(context: ScenarioContext) -> None:
    assert context.attempts[-1].retry_after_ms > 0


def _wait(attempts: list[Attempt]) -> None:
    wait_until(
        lambda: all(a.ended for a in attempts),
        "every attempt has an outcome",
        60,
    )
