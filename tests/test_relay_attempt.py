"""At-most-once tracking of an attempt against arbitrary upstreams.

No sequence of sends, losses and refusals may run a request twice, or report
a request that has run as not run.
"""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamlift.relay._attempt import Attempt, UnsafeResendError
from balsamlift.relay._refusals import give_up, timed_out

NOT_RUN_STATUS = 503


class AttemptMachine(RuleBasedStateMachine):
    """Drives one attempt against upstreams that lose or refuse requests.

    `runs` counts actual executions; the attempt knows only what the
    upstreams reported.
    """

    def __init__(self) -> None:
        super().__init__()
        self.attempt = Attempt(is_idempotent=False)
        self.runs = 0
        self.may_have_run_before = False
        self.is_pending = False  # the last send has no response yet

    @rule(runs=st.booleans())
    def send(self, runs: bool) -> None:
        if not self.attempt.may_send:
            with pytest.raises(UnsafeResendError):
                self.attempt.record_send("e1", 0.0)
            return
        self.may_have_run_before = self.attempt.may_have_run
        self.attempt.record_send("e1", 0.0)
        self.is_pending = True
        self.runs += runs

    @rule()
    def report_not_executed(self) -> None:
        if self.is_pending and self.runs == 0:
            self.attempt.record_not_executed(self.may_have_run_before)
            self.is_pending = False

    @rule()
    def lose_response(self) -> None:
        self.is_pending = False

    @invariant()
    def runs_at_most_once(self) -> None:
        assert self.runs <= 1

    @invariant()
    def refuses_only_what_has_not_run(self) -> None:
        if self.runs:
            assert give_up(self.attempt, "any").status != NOT_RUN_STATUS
            assert timed_out(self.attempt).status != NOT_RUN_STATUS


TestAttemptMachine = AttemptMachine.TestCase


def test_an_idempotent_attempt_may_be_sent_again() -> None:
    attempt = Attempt(is_idempotent=True)
    attempt.record_send("e1", 0.0)
    attempt.record_send("e1", 0.0)
    assert attempt.sends == 2
    assert not attempt.certainly_not_run


def test_a_refused_send_does_not_undo_an_earlier_one() -> None:
    attempt = Attempt(is_idempotent=True)
    attempt.record_send("e1", 0.0)
    may_have_run_before = attempt.may_have_run
    attempt.record_send("e1", 0.0)
    attempt.record_not_executed(may_have_run_before)
    assert attempt.may_have_run
