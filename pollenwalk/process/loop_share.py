"""Sharing of the event loop by tasks that may not have to wait for a long time."""

import asyncio

# A step takes some 20 to 100 µs, so a task runs for no more than about 25 ms.
MAX_STEPS = 256


class LoopShare:
    """Lets other tasks run after a number of steps of the same task.

    A task that reads what has arrived already is not suspended by its `await`s.

    Attributes:
        steps: number of steps since other tasks could run.
    """

    def __init__(self) -> None:
        """Start without steps."""
        self.steps = 0

    def is_used_up(self) -> bool:
        """Count a step; return whether other tasks must run before the next one."""
        self.steps += 1
        return self.steps >= MAX_STEPS

    async def let_others_run(self) -> None:
        """Let other tasks run."""
        self.steps = 0
        await asyncio.sleep(0)

    async def step(self) -> None:
        """Count a step; let other tasks run if there were MAX_STEPS."""
        if self.is_used_up():
            await self.let_others_run()
