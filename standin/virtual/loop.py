"""An event loop whose time passes only when nothing is left to do."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class Deadlock(RuntimeError):
    """Everything waits and nothing will ever happen."""


class VirtualSelector(selectors.DefaultSelector):
    """Instead of waiting, moves the loop's time on."""

    def __init__(self) -> None:
        """Start at time zero."""
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Let the time pass that the loop wants to wait."""
        if timeout is None:
            raise Deadlock('every task waits for ever')
        self.now_s += max(timeout, 0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop with virtual time and no real input or output."""

    def __init__(self) -> None:
        """Start at time zero."""
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.virtual.now_s


def run_virtual(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end on a fresh virtual loop."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        cancel_all(loop)
        loop.close()


def cancel_all(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel what still runs when the main work has ended."""
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
