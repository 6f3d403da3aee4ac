"""Start the daemon from a source tree, on the users' platform."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from balsamlift.platform import run

if __name__ == "__main__":
    run()
