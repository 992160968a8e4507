"""Runs one keeper as a process of its own, until SIGTERM."""

import asyncio
import sys
from pathlib import Path

from loguru import logger

from pollenwalk.connection.http_server import HttpServer
from pollenwalk.connection.tcp_network import TcpNetwork
from pollenwalk.errors import UserError
from pollenwalk.platform.objects import PlatformStore
from pollenwalk.process.clock import LoopClock
from pollenwalk.process.joining import Joining
from pollenwalk.process.keeper import Keeper, KeeperSettings
from pollenwalk.process.keeper_state import KeeperState
from pollenwalk.process.logs import set_up_logs
from pollenwalk.process.metrics_page import metrics_server
from pollenwalk.process.record_log import RecordLog
from pollenwalk.process.retirement import Retirement
from pollenwalk.process.settings import Settings
from pollenwalk.process.signals import stop_on_signals


def run_keeper(settings: Settings) -> None:
    """Run a keeper until it is told to stop.

    Raises:
        UserError: the folder or an address can't be used.
    """
    set_up_logs(settings.section('process')['log_level'], sys.stdout)
    try:
        asyncio.run(serve(settings))
    except OSError as error:
        raise UserError(str(error)) from error


async def serve(settings: Settings) -> None:
    """Serve until SIGTERM."""
    # Nothing of a keeper can be changed while it runs.
    stopped = stop_on_signals(lambda: logger.info('reload'))
    store = PlatformStore(settings.section('store')['url'])
    keeper = make_keeper(settings, store)
    logger.info('start', role='keeper', name=keeper.settings.name)
    await keeper.start()
    begin_changes(keeper, store)
    page = await show_metrics(keeper, settings.section('keeper')['metrics'])
    await stopped_or_failed(stopped, keeper)
    await page.stop()
    await keeper.stop()
    await store.close()
    logger.info('stop', role='keeper', name=keeper.settings.name)


async def show_metrics(keeper: Keeper, address: str) -> HttpServer:
    """Serve the metrics of a keeper."""
    page = metrics_server(keeper.metrics, keeper.refresh_metrics, address)
    await page.start()
    return page


def begin_changes(keeper: Keeper, store: PlatformStore) -> None:
    """Begin what changes the keepers: joining them, and leaving them."""
    keeper.tasks.spawn(Retirement(keeper, store).watch_requests(), 'follow_retirements')
    if not keeper.state.complete:
        keeper.tasks.spawn(Joining(keeper).run(), 'join')


async def stopped_or_failed(stopped: asyncio.Event, keeper: Keeper) -> None:
    """Wait until the process is told to stop.

    Raises:
        OSError: the disk failed; what was not synced is not acknowledged.
    """
    stopping = asyncio.ensure_future(stopped.wait())
    waiting = {stopping, keeper.log_writer} - {None}
    await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    if not stopped.is_set() and keeper.log_writer is not None:
        await keeper.log_writer


def make_keeper(settings: Settings, store: PlatformStore) -> Keeper:
    """Make a keeper from checked settings."""
    own = settings.section('keeper')
    clock = LoopClock()
    return Keeper(
        KeeperSettings(
            own['name'],
            own['zone'],
            settings.regions,
            own['address'],
            own['first_start'] == 'true',
            own['tolerated_losses'],
        ),
        KeeperState(RecordLog(Path(own['folder'])), clock),
        store,
        TcpNetwork(),
        clock,
    )
