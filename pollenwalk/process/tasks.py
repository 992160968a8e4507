"""The background tasks of a process, ended together with it.

A bare `create_task` can be collected while it runs and hides its exception;
this set keeps each task and logs what it raises.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from pollenwalk.errors import PollenwalkError


class TaskSet:
    """Tasks that live no longer than their owner."""

    def __init__(self) -> None:
        """Start empty."""
        self.tasks: dict[asyncio.Task[Any], None] = {}

    def spawn(self, work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Run a coroutine in the background.

        Args:
            work: the coroutine.
            name: shown in the log when it fails.

        Returns:
            The task, for callers that wait for it.
        """
        task = asyncio.get_running_loop().create_task(work, name=name)
        self.tasks[task] = None
        task.add_done_callback(self.forget)
        return task

    def forget(self, task: asyncio.Task[Any]) -> None:
        """Drop a finished task and log its exception."""
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
        """Cancel all tasks and wait until they have ended."""
        current = asyncio.current_task()
        running = [task for task in self.tasks if task is not current]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
