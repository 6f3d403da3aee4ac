"""Determine which requests crash the upstreams that run them.

A crashing upstream breaks off all the requests that it runs. The request that
caused the crash is distinguished from concurrent ones by how many crashes it
accounts for.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

import attrs

# Crashes after which a request may be refused.
CRASH_THRESHOLD = 3
# Of these, crashes not attributed to another culprit. Guards against refusing
# requests that repeatedly ran next to a culprit by coincidence.
MIN_UNEXPLAINED_CRASHES = 2


@attrs.frozen
class CrashHistory:
    """Hold the crashes during which one request was running."""

    upstreams: frozenset[str]  # incarnations that crashed while running it
    before_output: int  # crashes before the upstream had sent any output


def find_culprits(
    histories: Mapping[str, CrashHistory], completed: Collection[str]
) -> frozenset[str]:
    """Return the fingerprints of requests that must not run again.

    `histories` is keyed by fingerprint. Requests in `completed` are never
    culprits. Candidates are examined in descending order of crashes before
    any output, then of crashes; the crashes of each culprit found are not
    counted against the candidates that follow.
    """
    culprits: set[str] = set()
    explained: set[str] = set()
    suspects = {
        fingerprint: history
        for fingerprint, history in histories.items()
        if fingerprint not in completed
        and len(history.upstreams) >= CRASH_THRESHOLD
    }
    while suspects:
        fingerprint = max(
            suspects, key=lambda suspect: _rank(suspects[suspect], suspect)
        )
        history = suspects.pop(fingerprint)
        unexplained = history.upstreams - explained
        if len(unexplained) < MIN_UNEXPLAINED_CRASHES:
            continue
        culprits.add(fingerprint)
        explained |= history.upstreams
    return frozenset(culprits)


def _rank(history: CrashHistory, fingerprint: str) -> tuple[int, int, str]:
    # The fingerprint breaks ties, so that all hosts use the same order.
    return history.before_output, len(history.upstreams), fingerprint
