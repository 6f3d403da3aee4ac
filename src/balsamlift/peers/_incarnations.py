"""Tell incarnations of one upstream apart: only the latest counts."""

from __future__ import annotations

from collections.abc import Iterable

from balsamlift.peers._upstream import Upstream


def take_latest(
    listed: Iterable[Upstream], known: Iterable[Upstream]
) -> list[Upstream]:
    """Return one incarnation for each id that is listed: its latest.

    An entry that tells an earlier start than one seen before, or none where
    one was told, is a late word of an incarnation that is gone: what is
    known then holds.
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
