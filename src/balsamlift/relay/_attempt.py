"""How far one request has got at its upstreams.

The one rule behind at-most-once: a request may go to another upstream, or
be refused as not run, only while no upstream can have begun it.
"""

from __future__ import annotations

import attrs

from balsamlift.exceptions import BalsamliftError

# Upstreams dialled in vain for one call. Nothing reaches them, so that they
# count neither as retries nor against the most attempts of the route; a
# refusal takes some ms, and the caller can still be told when to come back.
MOST_UNREACHABLE = 4


class AttemptError(BalsamliftError):
    """Tell that a request was about to run a second time."""


@attrs.define
class Attempt:
    """Hold whether a request may have run."""

    is_idempotent: bool
    may_have_run: bool = False
    sends: int = 0

    @property
    def may_send(self) -> bool:
        """Tell whether to send it is within what its kind allows."""
        return self.is_idempotent or not self.may_have_run

    @property
    def certainly_not_run(self) -> bool:
        """Tell whether a refusal as not run is true."""
        return not self.may_have_run

    def sending(self) -> None:
        """Note that bytes are about to leave; raise `AttemptError`."""
        if not self.may_send:
            raise AttemptError("the request may have run already")
        self.sends += 1
        self.may_have_run = True

    def not_executed(self, ran_before: bool) -> None:
        """Note the upstream's own word that this send did not run.

        `ran_before` is what `may_have_run` was before the send: an earlier
        send may have run still.
        """
        self.may_have_run = ran_before
