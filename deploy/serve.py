"""Start the daemon from a source tree, on the users' platform."""

import signal
import sys
from pathlib import Path

if __name__ == "__main__":
    # A request to reload settings must not end a process that is about to
    # read them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))
    from balsamlift.platform import run

    run()
