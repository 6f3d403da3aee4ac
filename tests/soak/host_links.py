"""Links of each host to all upstreams, to be cut for this host alone."""

from __future__ import annotations

import json
from pathlib import Path

from balsamlift._address import join_address, split_address
from balsamlift.testing._cuts import (
    NO_CUT,
    OPEN_FAULTS,
    SILENT_CUTS,
    BlackHole,
    Cut,
)
from balsamlift.testing._link import Link
from balsamlift.testing._settings import LinkSettings
from soak.network import Network

FIRST_LINKS_IP = 101  # the number of the IP address of the first host's links
SHIM = Path(__file__).parent / "shim"
LINKS_FILE_VARIABLE = "SOAK_LINKS_FILE"


class HostLinks:
    """The links of one host to all upstreams."""

    def __init__(
        self, number: int, folder: Path, network: Network, upstreams_ip: str
    ) -> None:
        """Prepare links; the daemon reads from a file where they are."""
        self._ip = network.ip(FIRST_LINKS_IP + number)
        self._upstreams_ip = upstreams_ip
        self._file = folder / f"links-{number}.json"
        self._links: dict[str, Link] = {}  # by address of the upstream
        self._black_hole = BlackHole(self._ip)
        self._cut: Cut | None = None
        self._cuts = 0
        self._write()

    @property
    def environment(self) -> dict[str, str]:
        """Return the variables by which a daemon uses these links."""
        return {
            "PYTHONPATH": str(SHIM),
            LINKS_FILE_VARIABLE: str(self._file),
        }

    async def add(self, address: str) -> None:
        """Add the link to an upstream at `address`."""
        ip, port = split_address(address)
        link = Link(
            LinkSettings(
                name=address,
                address=join_address(self._ip, port),
                target_address=address,
                # Not on the host's IP, where it could take the port of the
                # link to a later upstream.
                control_address=join_address(ip, 0),
            )
        )
        await link.start()
        self._links[address] = link
        if self._cut is not None:
            link.control.update(OPEN_FAULTS[self._cut])

    async def remove(self, address: str) -> None:
        """Remove the link to an upstream that has stopped."""
        link = self._links.pop(address, None)
        if link is not None:
            await link.stop()

    async def stop(self) -> None:
        """Close all links."""
        self._black_hole.close()
        for address in list(self._links):
            await self.remove(address)

    def cut(self, cut: Cut) -> int:
        """Cut all links; return a number by which to mend them."""
        self._cuts += 1
        self._set(cut)
        return self._cuts

    def mend(self, number: int) -> None:
        """Mend all links unless they have been cut again since."""
        if number == self._cuts:
            self._set(None)

    def _set(self, cut: Cut | None) -> None:
        self._cut = cut
        self._write()
        faults = OPEN_FAULTS[cut] if cut else NO_CUT
        for link in self._links.values():
            link.control.update(faults)

    def _write(self) -> None:
        fields = {
            "upstreams_ip": self._upstreams_ip,
            "links_ip": self._ip,
            "instead": self._instead(),
        }
        new = self._file.with_suffix(".new")
        new.write_text(json.dumps(fields))
        new.rename(self._file)

    def _instead(self) -> tuple[str, int] | None:
        """Return where new connections go instead of an upstream."""
        if self._cut is None:
            return None
        if self._cut in SILENT_CUTS:
            return split_address(self._black_hole.address)
        return self._ip, 1  # nothing listens there
