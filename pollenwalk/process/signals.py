"""The signals that end a process, or make it read its settings again."""

import asyncio
import signal
from collections.abc import Callable


def stop_on_signals(on_hang_up: Callable[[], None] | None = None) -> asyncio.Event:
    """Give an event that SIGTERM and SIGINT set.

    Args:
        on_hang_up: called on SIGHUP, which else ends the process.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for one in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(one, stopped.set)
    if on_hang_up is not None:
        loop.add_signal_handler(signal.SIGHUP, on_hang_up)
    return stopped
