"""Background tasks that are cancelled together with the object that owns them.

A task from a bare `create_task` can be garbage-collected while it runs, and its
exception goes unnoticed. TaskSet keeps a reference to each task and logs what
it raises.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from pollenwalk.errors import PollenwalkError


class TaskSet:
    """A set of running background tasks."""

    def __init__(self) -> None:
        """Create an empty set."""
        self.tasks: dict[asyncio.Task[Any], None] = {}

    def spawn(
        self, coroutine: Coroutine[Any, Any, Any], name: str
    ) -> asyncio.Task[Any]:
        """Run a coroutine as a background task.

        Args:
            coroutine: the coroutine.
            name: name of the task, logged if it fails.

        Returns:
            The task, for callers that wait for it.
        """
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.tasks[task] = None
        task.add_done_callback(self.remove_finished)
        return task

    def remove_finished(self, task: asyncio.Task[Any]) -> None:
        """Remove a finished task and log its exception.

        A PollenwalkError is expected and logged at debug level only.
        """
        self.tasks.pop(task, None)
        if task.cancelled() or task.exception() is None:
            return
        if isinstance(task.exception(), PollenwalkError):
            logger.debug('task_refused', task=task.get_name())
            return
        logger.opt(exception=task.exception()).error(
            'task_failed',
            task=task.get_name(),
        )

    async def cancel(self) -> None:
        """Cancel all tasks but the calling one and wait until they have ended."""
        current = asyncio.current_task()
        running = [task for task in self.tasks if task is not current]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
