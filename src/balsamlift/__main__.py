"""Run the command line by `python -m balsamlift`."""

import sys

from balsamlift.cli import main

sys.exit(main())
