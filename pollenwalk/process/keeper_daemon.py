"""Runs one keeper as a process of its own, until SIGTERM."""

import asyncio
import signal
import sys
from pathlib import Path

from loguru import logger

from pollenwalk.connection.tcp_network import TcpNetwork
from pollenwalk.errors import UserError
from pollenwalk.platform.objects import PlatformStore
from pollenwalk.process.clock import LoopClock
from pollenwalk.process.keeper import Keeper, KeeperSettings
from pollenwalk.process.keeper_state import KeeperState
from pollenwalk.process.logs import set_up_logs
from pollenwalk.process.settings import Settings


def run_keeper(settings: Settings) -> None:
    """Run a keeper until it is told to stop.

    Raises:
        UserError: the folder or an address can't be used.
    """
    set_up_logs(settings.of('process')['log_level'], sys.stdout)
    try:
        asyncio.run(serve(settings))
    except OSError as error:
        raise UserError(str(error)) from error


async def serve(settings: Settings) -> None:
    """Serve until SIGTERM."""
    own = settings.of('keeper')
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for one in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(one, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: logger.info('reload'))
    clock = LoopClock()
    store = PlatformStore(settings.of('store')['url'])
    keeper = Keeper(
        KeeperSettings(
            own['name'],
            own['zone'],
            own['address'],
            own['first_start'] == 'true',
            own['tolerated_losses'],
        ),
        KeeperState(Path(own['folder']), clock),
        store,
        TcpNetwork(),
        clock,
    )
    logger.info('start', role='keeper', name=own['name'], zone=own['zone'])
    await keeper.start()
    await stopped.wait()
    await keeper.stop()
    await store.close()
    logger.info('stop', role='keeper', name=own['name'])
