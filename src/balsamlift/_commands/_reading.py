"""Read data from the operators' addresses of several hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any, Generic, TypeVar
from urllib.parse import urlencode

import attrs
import msgspec

from balsamlift._commands._exit import ExitCode
from balsamlift._commands._output import print_note
from balsamlift._http import CallError, HttpClient
from balsamlift.exceptions import HostReadError

T = TypeVar("T")

TIMEOUT_MS = 5_000
_OK = 200


@attrs.frozen
class ListedHost:
    """Hold the only field of a host that is needed to read from it."""

    operators_address: str = ""


@attrs.frozen
class Readings(Generic[T]):
    """Hold the hosts' answers and the reasons of failures, by address."""

    answers: dict[str, T]
    unanswered: dict[str, str]  # address -> reason


class HostReader:
    """Read the same path from several hosts at once."""

    def __init__(self, http: HttpClient) -> None:
        """Store the HTTP client to use."""
        self._http = http

    async def read(
        self,
        address: str,
        path: str,
        kind: type[T],
        query: dict[str, str] | None = None,
    ) -> T:
        """Return one host's answer, decoded as `kind`.

        Raises `HostReadError`.
        """
        parameters = {
            name: text for name, text in (query or {}).items() if text
        }
        suffix = f"?{urlencode(parameters)}" if parameters else ""
        try:
            answer = await self._http.call(
                "GET", f"http://{address}{path}{suffix}", timeout_ms=TIMEOUT_MS
            )
        except CallError as error:
            raise HostReadError(address, "no answer") from error
        if answer.status != _OK:
            raise HostReadError(address, f"status {answer.status}")
        try:
            return answer.decode(kind)
        except msgspec.MsgspecError as error:
            raise HostReadError(address, f"answer: {error}") from error

    async def read_all(
        self,
        addresses: Sequence[str],
        path: str,
        kind: type[T],
        query: dict[str, str] | None = None,
    ) -> Readings[T]:
        """Return the answers of all hosts, queried concurrently.

        Raises `HostReadError` if none of them answered.
        """
        results = await asyncio.gather(
            *(self.read(address, path, kind, query) for address in addresses),
            return_exceptions=True,
        )
        readings: Readings[T] = Readings({}, {})
        failure: BaseException | None = None
        for address, result in zip(addresses, results, strict=True):
            if not isinstance(result, BaseException):
                readings.answers[address] = result
                continue
            if not isinstance(result, HostReadError):
                raise result
            readings.unanswered[address] = result.reason
            failure = result
        if failure is not None and not readings.answers:
            raise failure
        return readings

    async def find_hosts(self, address: str) -> list[str]:
        """Return the operators' addresses of all hosts that a host knows."""
        hosts = await self.read(address, "/v1/hosts", list[ListedHost])
        known = [host.operators_address for host in hosts]
        return list(dict.fromkeys([address, *filter(None, known)]))


async def read_rows(
    addresses: Sequence[str], path: str
) -> Readings[list[dict[str, Any]]]:
    """Return the table that each host serves at `path`."""
    return await read_from_hosts(
        addresses, path, list[dict[str, Any]], alone=True
    )


async def read_from_hosts(
    addresses: Sequence[str],
    path: str,
    kind: type[T],
    query: dict[str, str] | None = None,
    *,
    alone: bool = False,
) -> Readings[T]:
    """Return the answer of each host.

    A single address is expanded to all hosts that its host knows, unless
    `alone` is set.
    """
    http = HttpClient()
    reader = HostReader(http)
    try:
        if len(addresses) == 1 and not alone:
            addresses = await reader.find_hosts(addresses[0])
        return await reader.read_all(addresses, path, kind, query)
    finally:
        http.close()


def report_unanswered(readings: Readings[T]) -> ExitCode:
    """Print a note per host without an answer and return the exit code."""
    for address, reason in readings.unanswered.items():
        print_note(f"host at {address}: {reason}; it is left out")
    return ExitCode.FAILED if readings.unanswered else ExitCode.DONE
