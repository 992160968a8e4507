"""Entry point of `python -m pollenwalk`."""

import sys

from pollenwalk.commands.main import main

if __name__ == '__main__':
    sys.exit(main())
