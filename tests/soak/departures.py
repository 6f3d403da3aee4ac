"""Upstreams that leave, while the list says something else about them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping

import attrs

from soak.upstreams import NoticeForm, Upstreams

FORMS: tuple[NoticeForm, ...] = ("always", "always", "alternate", "twice")
# For which the entry of an upstream is away, while it still serves: within and
# beyond the time for which hosts remember an upstream that is not listed.
ABSENCES_S = (1.0, 8.0, 20.0, 63.0, 75.0)
TOLD_S = 3.0  # of answers that give notice, before its entry changes
SERVES_ON_S = 2.5  # that an upstream serves after its entry says so
FLIP_S = 4.0


@attrs.frozen
class Entries:
    """How the list of upstreams is changed."""

    register: Callable[[str, str], None]  # name, state
    remove: Callable[[str], None]


class Departures:
    """Let upstreams leave in one of several ways, drawn by a number."""

    def __init__(
        self,
        upstreams: Upstreams,
        entries: Entries,
        replace: Callable[[str], Awaitable[None]],
    ) -> None:
        """Change the list by `entries`; `replace` starts a successor."""
        self._upstreams = upstreams
        self._entries = entries
        self._replace = replace
        self._leaving: set[str] = set()
        self._ways: Mapping[int, Callable[[str, float], Awaitable[None]]] = {
            0: self._stay_listed,
            1: self._serve_on_unlisted,
            2: self._return_to_the_list,
            3: self._flip,
            4: self._restart,
        }

    async def leave(self, name: str, duration_s: float, number: int) -> None:
        """Let an upstream give notice, and leave in the way of `number`."""
        if name in self._leaving or name not in self._upstreams.live:
            return
        self._leaving.add(name)
        way, rest = number % len(self._ways), number // len(self._ways)
        form = FORMS[rest % len(FORMS)]
        self._upstreams.give_notice(name, form)
        is_replaced_late = bool(rest % 2)
        if not is_replaced_late:
            await self._replace(name)
        await self._ways[way](name, duration_s)
        if is_replaced_late:
            await self._replace(name)
        self._leaving.discard(name)

    async def _stay_listed(self, name: str, duration_s: float) -> None:
        """Say so for long; the entry says it at the end only."""
        await asyncio.sleep(duration_s)
        self._entries.register(name, "draining")
        await asyncio.sleep(SERVES_ON_S)
        await self._stop(name)

    async def _serve_on_unlisted(self, name: str, duration_s: float) -> None:
        """Serve for long after the entry is gone."""
        await asyncio.sleep(TOLD_S)
        self._entries.remove(name)
        await asyncio.sleep(duration_s)
        await self._stop(name)

    async def _return_to_the_list(self, name: str, duration_s: float) -> None:
        """Be away from the list for a while, still the same incarnation."""
        await asyncio.sleep(TOLD_S)
        self._entries.remove(name)
        absence_s = ABSENCES_S[round(duration_s * 1_000) % len(ABSENCES_S)]
        await asyncio.sleep(absence_s)
        self._entries.register(name, "ready")
        await asyncio.sleep(max(duration_s - absence_s, 10.0))
        await self._stop(name)

    async def _flip(self, name: str, duration_s: float) -> None:
        """Be listed as leaving and as ready in turn."""
        for number in range(round(duration_s / FLIP_S)):
            await asyncio.sleep(FLIP_S)
            self._entries.register(name, ("draining", "ready")[number % 2])
        await self._stop(name)

    async def _restart(self, name: str, duration_s: float) -> None:
        """Start again under the same id, which lifts the notice."""
        await asyncio.sleep(min(duration_s, 20.0))
        await self._upstreams.restart(name)
        self._entries.register(name, "ready")

    async def _stop(self, name: str) -> None:
        if name in self._upstreams.live:
            await self._upstreams.stop(name)
        self._entries.remove(name)
