"""Runs one keeper as a process of its own, until SIGTERM."""

import asyncio
import signal
import sys

from loguru import logger

from pollenwalk.process.logs import set_up_logs
from pollenwalk.process.settings import Settings


def run_keeper(settings: Settings) -> None:
    """Run a keeper until it is told to stop."""
    set_up_logs(settings.of('process')['log_level'], sys.stdout)
    asyncio.run(serve(settings))


async def serve(settings: Settings) -> None:
    """Serve until SIGTERM."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for one in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(one, stopped.set)
    logger.info('start', role='keeper', name=settings.of('keeper')['name'])
    await stopped.wait()
    logger.info('stop', role='keeper')
