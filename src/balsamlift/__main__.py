"""Run the command line with `python -m balsamlift`."""

import sys

from balsamlift.cli import main

sys.exit(main())
