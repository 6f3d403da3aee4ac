"""Run one stand-in until SIGTERM.

Usage:
  balsamlift.testing (engine | service | platform | link) SETTINGS
  balsamlift.testing --help

Start it as "python -m balsamlift.testing". SETTINGS is a file of JSON with
comments; its fields are those of the stand-in's settings class in
balsamlift.testing. Once the stand-in listens it prints one line of JSON to
standard output, with "ready", "name", "address" and, for a link,
"control_address".

Exit codes: 0 after SIGTERM or SIGINT, 2 when the settings are wrong.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Callable

from docopt import docopt

from balsamlift._loading import load
from balsamlift.clock import SystemClock
from balsamlift.exceptions import SettingsError
from balsamlift.testing._engine import Engine
from balsamlift.testing._engine_handlers import engine_routes
from balsamlift.testing._link import Link
from balsamlift.testing._platform import Platform
from balsamlift.testing._service import PlainService
from balsamlift.testing._settings import (
    EngineSettings,
    LinkSettings,
    PlatformSettings,
    ServiceSettings,
)
from balsamlift.testing._stand_in import StandIn

EXIT_SETTINGS = 2

_STAND_INS: dict[str, Callable[[str], StandIn]] = {
    "engine": lambda file: Engine(
        load(file, EngineSettings), SystemClock(), engine_routes
    ),
    "service": lambda file: PlainService(
        load(file, ServiceSettings), SystemClock()
    ),
    "platform": lambda file: Platform(
        load(file, PlatformSettings), SystemClock()
    ),
    "link": lambda file: Link(load(file, LinkSettings)),
}


def main() -> int:
    """Run the stand-in that the command line names."""
    arguments = docopt(__doc__ or "")
    kind = next(kind for kind in _STAND_INS if arguments[kind])
    try:
        asyncio.run(_run(_STAND_INS[kind], arguments["SETTINGS"]))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    return 0


async def _run(make: Callable[[str], StandIn], file: str) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    stand_in = make(file)
    await stand_in.start()
    print(json.dumps({"ready": True, **stand_in.ready()}), flush=True)
    await stop_requested.wait()
    await stand_in.stop()


if __name__ == "__main__":
    sys.exit(main())
