"""What a request that has to wait finds before it."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Backlog:
    """Hold the memory of a pool over all hosts, in tokens.

    Counts of other hosts are as old as `balsamlift.peers` received them.
    """

    free_tokens: int
    used_tokens: int
    ahead_tokens: int  # wanted by waiting requests that are served before it
    is_known: bool  # false if the counts of other hosts are extrapolated
