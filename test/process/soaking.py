"""What the soaks share: steps that are repeated in the background."""

import asyncio
from collections.abc import Awaitable, Callable


def forever(step: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
    """Repeat a step until it is cancelled."""

    async def repeat() -> None:
        while True:
            await step()

    return asyncio.ensure_future(repeat())


async def end_all(tasks: list[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait for their ends."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
