"""Parse and format addresses of an IP address and a port."""

from __future__ import annotations

import ipaddress

from balsamlift.exceptions import BalsamliftError


class AddressError(BalsamliftError):
    """Raised when a text is not "IP:port"."""

    def __init__(self, text: str) -> None:
        """Store the invalid text in the message."""
        super().__init__(f"{text!r} is not an IP number and a port")


def split_address(text: str) -> tuple[str, int]:
    """Return the IP address and the port of "IP:port" or "[IPv6]:port"."""
    ip, _, port = text.rpartition(":")
    ip = ip.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(ip)
        number = int(port)
    except ValueError as error:
        raise AddressError(text) from error
    if not 0 <= number < 65_536:
        raise AddressError(text)
    return ip, number


def join_address(ip: str, port: int) -> str:
    """Return "IP:port", the IP in brackets when it is IPv6."""
    return f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"
