"""Read the platform's list of hosts."""

from __future__ import annotations

import attrs
import msgspec

from balsamlift._http import CallError, HttpClient
from balsamlift._streaming import StallLimits
from balsamlift.exceptions import HostsUnavailableError

ENTRY_ROLE = "entry"
UPSTREAM_ROLE = "upstream"

_OK = 200
_NOT_MODIFIED = 304


@attrs.frozen
class ListEntry:
    """Hold one entry of the list as the platform gives it."""

    name: str
    role: str
    pool: str = ""
    address: str = ""
    operators_address: str = ""
    peers_address: str = ""
    failure_domain: str = ""
    state: str = "live"
    kind: str = ""  # "engine" or "service", where the list tells it
    started_ms: int = 0  # wall time of its start, where the list tells it
    cold_ms: float = 0.0  # for how long it was cold as that was written
    written: int = 0  # grows with what the upstream writes of itself


@attrs.frozen
class RawList:
    """Hold entries not looked into yet, so that a bad one stays alone."""

    hosts: list[msgspec.Raw]


class HostsList:
    """Read the list again and again, its body only when it has changed."""

    def __init__(
        self, http: HttpClient, address: str, timeout_ms: int
    ) -> None:
        """Read from `address`, "IP:port", with a bound on its silence."""
        self._http = http
        self._url = f"http://{address}/v1/hosts"
        self._timeout_ms = timeout_ms
        self._tag = ""
        self._fresh = False

    async def read(self) -> list[ListEntry] | None:
        """Return the entries, or None when nothing has changed.

        Raises `HostsUnavailableError`; the next read then takes a fresh
        connection, for a silent one never heals.
        """
        try:
            entries = await self._read()
        except HostsUnavailableError:
            self._fresh = True
            raise
        self._fresh = False
        return entries

    async def _read(self) -> list[ListEntry] | None:
        headers = {"If-None-Match": self._tag} if self._tag else None
        try:
            answer = await self._http.read(
                self._url,
                StallLimits(
                    first_byte_ms=self._timeout_ms,
                    silence_ms=self._timeout_ms,
                ),
                headers=headers,
                fresh=self._fresh,
            )
        except CallError as error:
            raise HostsUnavailableError(error.message) from error
        if answer.status == _NOT_MODIFIED:
            return None
        if answer.status != _OK:
            raise HostsUnavailableError(f"status {answer.status}")
        entries = _decode(answer.body)
        self._tag = answer.headers.get("Etag", "")
        return entries


def _decode(body: bytes) -> list[ListEntry]:
    try:
        raw_list = msgspec.json.decode(body, type=RawList)
    except msgspec.MsgspecError as error:
        raise HostsUnavailableError("not a list of hosts") from error
    entries = []
    for raw in raw_list.hosts:
        try:
            entries.append(msgspec.json.decode(raw, type=ListEntry))
        except msgspec.MsgspecError:
            continue
    if not entries:
        # We stand on the list ourselves: an empty one is a fault.
        raise HostsUnavailableError("an empty list of hosts")
    return entries
