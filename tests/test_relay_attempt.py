"""The state of an attempt: against any upstream, never twice, never false."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamlift.relay._attempt import Attempt, AttemptError
from balsamlift.relay._refusals import give_up, timed_out

HAS_NOT_RUN = 503


class AttemptMachine(RuleBasedStateMachine):
    """An upstream that loses, repeats and refuses, behind one attempt.

    `runs` is what the upstreams really did; the attempt knows only what
    they told.
    """

    def __init__(self) -> None:
        super().__init__()
        self.attempt = Attempt(is_idempotent=False)
        self.runs = 0
        self.ran_before = False
        self.is_open = False  # a send has no answer yet

    @rule(runs=st.booleans())
    def send(self, runs: bool) -> None:
        if not self.attempt.may_send:
            with pytest.raises(AttemptError):
                self.attempt.sending()
            return
        self.ran_before = self.attempt.may_have_run
        self.attempt.sending()
        self.is_open = True
        self.runs += runs

    @rule()
    def told_not_executed(self) -> None:
        if self.is_open and self.runs == 0:
            self.attempt.not_executed(self.ran_before)
            self.is_open = False

    @rule()
    def answer_lost(self) -> None:
        self.is_open = False

    @invariant()
    def never_twice(self) -> None:
        assert self.runs <= 1

    @invariant()
    def no_false_refusal(self) -> None:
        if self.runs:
            assert give_up(self.attempt, "any").status != HAS_NOT_RUN
            assert timed_out(self.attempt).status != HAS_NOT_RUN


TestAttemptMachine = AttemptMachine.TestCase


def test_an_idempotent_attempt_may_go_on() -> None:
    attempt = Attempt(is_idempotent=True)
    attempt.sending()
    attempt.sending()
    assert attempt.sends == 2
    assert not attempt.certainly_not_run


def test_an_earlier_send_is_not_taken_back() -> None:
    attempt = Attempt(is_idempotent=True)
    attempt.sending()
    ran_before = attempt.may_have_run
    attempt.sending()
    attempt.not_executed(ran_before)
    assert attempt.may_have_run
