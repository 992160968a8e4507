"""Runs the command line with `python -m pollenwalk`."""

import sys

from pollenwalk.commands.main import main

if __name__ == '__main__':
    sys.exit(main())
