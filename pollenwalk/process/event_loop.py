"""The event loop of the daemons on the platform's hosts."""

from collections.abc import Coroutine
from typing import Any

import uvloop


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a daemon on libuv, which needs less processor time than asyncio's own loop."""
    uvloop.run(main)
