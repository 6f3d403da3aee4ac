"""Selection of the latest incarnation of each upstream."""

from __future__ import annotations

from collections.abc import Iterable

from balsamlift.peers._upstream import Upstream


def take_latest(
    listed: Iterable[Upstream], known: Iterable[Upstream]
) -> list[Upstream]:
    """Return the latest incarnation for each id that is listed.

    An entry with an earlier start than one seen before, or with none where
    one was known, is a delayed entry of an incarnation that is gone: the
    known incarnation is then returned instead.
    """
    known_by_id = {upstream.id: upstream for upstream in known}
    latest: dict[str, Upstream] = {}
    for upstream in listed:
        before = latest.get(upstream.id) or known_by_id.get(upstream.id)
        if before is None or upstream.started_ms >= before.started_ms:
            latest[upstream.id] = upstream
        else:
            latest[upstream.id] = before
    return list(latest.values())
