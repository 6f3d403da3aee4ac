"""Parse and format addresses of an IP address and a port."""

from __future__ import annotations

import ipaddress
import re

from balsamlift.exceptions import BalsamliftError

# Python also takes other digits, signs, underscores and any text as a scope.
_ADDRESS = re.compile(
    r"(?P<open>\[)?(?P<ip>[0-9A-Fa-f.:]+(%[0-9A-Za-z._-]+)?)(?(open)\])"
    r":(?P<port>[0-9]{1,5})"
)


class AddressError(BalsamliftError):
    """Raised when a text is not "IP:port"."""

    def __init__(self, text: str) -> None:
        """Store the invalid text in the message."""
        super().__init__(f"{text[:80]!r} is not an IP number and a port")


def split_address(text: str) -> tuple[str, int]:
    """Return the IP address and the port of "IP:port" or "[IPv6]:port"."""
    match = _ADDRESS.fullmatch(text)
    if match is None:
        raise AddressError(text)
    ip, number = match["ip"], int(match["port"])
    try:
        ipaddress.ip_address(ip)
    except ValueError as error:
        raise AddressError(text) from error
    if number >= 65_536:
        raise AddressError(text)
    return ip, number


def split_remote_address(text: str) -> tuple[str, int]:
    """Return the IP address and the port, which is not 0."""
    ip, port = split_address(text)
    if port == 0:
        raise AddressError(text)
    return ip, port


def join_address(ip: str, port: int) -> str:
    """Return "IP:port", the IP in brackets when it is IPv6."""
    return f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"
