"""Handling of the signals that stop a process or make it reload its settings."""

import asyncio
import signal
from collections.abc import Callable


def ignore_hangup() -> None:
    """Keep SIGHUP from ending a process that can't reload its settings yet."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def stop_on_signals(on_hangup: Callable[[], None] | None = None) -> asyncio.Event:
    """Return an event that is set on SIGTERM or SIGINT.

    Args:
        on_hangup: called on SIGHUP. If None, SIGHUP keeps its default action,
            which ends the process.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    if on_hangup is not None:
        loop.add_signal_handler(signal.SIGHUP, on_hangup)
    return stopped
