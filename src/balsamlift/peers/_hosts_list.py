"""Read the platform's list of hosts over HTTP."""

from __future__ import annotations

import attrs
import msgspec

from balsamlift._http import CallError, HttpClient
from balsamlift._json import decode_json, decode_json_list
from balsamlift._streaming import StallLimits
from balsamlift.exceptions import HostsUnavailableError
from balsamlift.peers._integers import Integer, Number

ENTRY_ROLE = "entry"
UPSTREAM_ROLE = "upstream"

_OK = 200
_NOT_MODIFIED = 304


@attrs.frozen
class ListEntry:
    """Hold one entry of the list as the platform returns it."""

    name: str
    role: str
    pool: str = ""
    address: str = ""
    operators_address: str = ""
    peers_address: str = ""
    failure_domain: str = ""
    state: str = "live"
    kind: str = ""  # "engine" or "service", if the list has it
    started_ms: Integer = 0  # wall time of its start, if the list has it
    cold_ms: Number = 0.0  # remaining cold time when it was written
    written: Integer = 0  # increases with each update by the upstream itself
    slots: Integer = 0  # requests that it runs at the same time; 0: not told


@attrs.frozen
class RawList:
    """Hold undecoded entries, so that an invalid one affects no other."""

    hosts: list[msgspec.Raw]


class HostsList:
    """Poll the list; transfer its body only when it has changed."""

    is_complete = False  # entries may have expired

    def __init__(
        self, http: HttpClient, address: str, timeout_ms: int
    ) -> None:
        """Read from `address`, "IP:port".

        `timeout_ms` limits the time without any received data.
        """
        self._http = http
        self._url = f"http://{address}/v1/hosts"
        self._timeout_ms = timeout_ms
        self._etag = ""
        self._needs_new_connection = False

    async def read(
        self, max_wait_ms: int | None = None
    ) -> list[ListEntry] | None:
        """Return the entries at once, or None if nothing has changed.

        Raises `HostsUnavailableError`. The next read then opens a new
        connection, because one that has stalled does not recover.
        """
        del max_wait_ms
        try:
            entries = await self._read()
        except HostsUnavailableError:
            self._needs_new_connection = True
            raise
        self._needs_new_connection = False
        return entries

    async def _read(self) -> list[ListEntry] | None:
        headers = {"If-None-Match": self._etag} if self._etag else None
        try:
            answer = await self._http.read(
                self._url,
                StallLimits(
                    first_byte_ms=self._timeout_ms,
                    silence_ms=self._timeout_ms,
                ),
                headers=headers,
                fresh=self._needs_new_connection,
            )
        except CallError as error:
            raise HostsUnavailableError(error.message) from error
        if answer.status == _NOT_MODIFIED:
            return None
        if answer.status != _OK:
            raise HostsUnavailableError(f"status {answer.status}")
        entries = _decode(answer.body)
        self._etag = answer.headers.get("Etag", "")
        return entries


def _decode(body: bytes) -> list[ListEntry]:
    try:
        raw_list = decode_json_list(body, RawList)
    except msgspec.MsgspecError as error:
        raise HostsUnavailableError(
            "answer is not a valid list of hosts"
        ) from error
    entries = []
    for raw in raw_list.hosts:
        try:
            entries.append(decode_json(raw, ListEntry))
        except msgspec.MsgspecError:
            continue
    if not entries:
        # This host is listed itself, so an empty list is an error.
        raise HostsUnavailableError("list of hosts has no valid entry")
    return entries
