"""Start the daemon from a source tree, on the users' platform."""

import os
import signal
import sys
import time
from pathlib import Path
from types import FrameType

NOT_STARTED_LINE = (
    '{{"time":"{time}","level":"INFO","part":"daemon","host":"-",'
    '"message":"stopped before it had started"}}\n'
)


def end_at_once(signal_number: int, frame: FrameType | None) -> None:
    """End the process with a line; nothing has been started yet."""
    del signal_number, frame
    now = time.strftime("%Y-%m-%dT%H:%M:%S+00:00", time.gmtime())
    os.write(sys.stdout.fileno(), NOT_STARTED_LINE.format(time=now).encode())
    os._exit(0)


if __name__ == "__main__":
    # A request to reload settings must not end a process that is about to
    # read them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, end_at_once)
    sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))
    from balsamlift.platform import run

    run()
