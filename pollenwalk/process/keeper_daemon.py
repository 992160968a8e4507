"""Runs one keeper as a process until SIGTERM or SIGINT."""

import asyncio
import sys
from pathlib import Path
from typing import Any

from loguru import logger

from pollenwalk.connection.connection_guard import ConnectionGuard
from pollenwalk.connection.connection_limits import read_limits
from pollenwalk.connection.http_server import HttpServer
from pollenwalk.connection.tcp_network import TcpNetwork
from pollenwalk.errors import UserError
from pollenwalk.platform.objects import PlatformStore
from pollenwalk.policy.quota_bucket import QuotaBound
from pollenwalk.process import event_loop
from pollenwalk.process.clock import MS_PER_SECOND, LoopClock
from pollenwalk.process.departure import Departure
from pollenwalk.process.disk_room import BYTES_PER_MB
from pollenwalk.process.joining import Joining
from pollenwalk.process.keeper import Keeper, KeeperSettings
from pollenwalk.process.keeper_removal import KeeperRemoval
from pollenwalk.process.keeper_state import KeeperState
from pollenwalk.process.logs import set_up_logs
from pollenwalk.process.metrics_page import metrics_server
from pollenwalk.process.record_log import RecordLog
from pollenwalk.process.retirement import Retirement, StatusStore
from pollenwalk.process.settings import Settings
from pollenwalk.process.signals import stop_on_signals
from pollenwalk.process.succession import Succession


def run_keeper(settings: Settings) -> None:
    """Run a keeper until SIGTERM or SIGINT.

    Raises:
        UserError: the folder or an address can't be used.
    """
    set_up_logs(settings.section('process')['log_level'], sys.stdout)
    try:
        event_loop.run(serve(settings))
    except OSError as error:
        raise UserError(str(error)) from error


async def serve(settings: Settings) -> None:
    """Run a keeper and its metrics page until a stop signal or a disk failure."""
    # No setting of a keeper can be changed while it runs.
    stopped = stop_on_signals(lambda: logger.info('reload'))
    store = PlatformStore(settings.section('store')['url'])
    keeper = make_keeper(settings, store)
    logger.info('start', role='keeper', name=keeper.settings.name)
    await keeper.start()
    start_membership_tasks(keeper, store)
    page = await start_metrics_page(keeper, settings.section('keeper'))
    await wait_for_stop(stopped, keeper)
    await page.stop()
    await stop_keeper(keeper, store)


async def stop_keeper(keeper: Keeper, store: PlatformStore) -> None:
    """Let a keeper leave the list if it is not needed there, and stop it."""
    await Departure(keeper, store).run()
    await keeper.stop()
    await store.close()
    logger.info('stop', role='keeper', name=keeper.settings.name)


async def start_metrics_page(keeper: Keeper, options: dict[str, Any]) -> HttpServer:
    """Start the HTTP server for the metrics of a keeper with these settings."""
    guard = ConnectionGuard(read_limits(options), keeper.metrics.count_closed)

    def refresh() -> None:  # noqa: WPS430
        keeper.refresh_metrics()
        keeper.metrics.held_bytes.set({}, guard.held_bytes)

    page = metrics_server(keeper.metrics, refresh, options['metrics'], guard)
    await page.start()
    return page


def start_membership_tasks(keeper: Keeper, store: StatusStore) -> None:
    """Start the tasks by which keepers join, retire and are removed."""
    keeper.tasks.spawn(Retirement(keeper, store).watch_requests(), 'follow_retirements')
    keeper.tasks.spawn(KeeperRemoval(keeper).run(), 'remove_lost')
    keeper.tasks.spawn(enter_list(keeper), 'enter_list')


async def enter_list(keeper: Keeper) -> None:
    """Fetch the records that a keeper lacks, then let it be listed."""
    is_empty = not keeper.state.complete
    if is_empty:
        await Joining(keeper).run()
    await Succession(keeper, knows_accounts=is_empty).run()


async def wait_for_stop(stopped: asyncio.Event, keeper: Keeper) -> None:
    """Wait until a stop signal arrives or the disk fails.

    Raises:
        OSError: the disk failed; records that were not synced have not been
            acknowledged.
    """
    stop_wait = asyncio.ensure_future(stopped.wait())
    waiting = {stop_wait, keeper.log_writer} - {None}
    await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    if not stopped.is_set() and keeper.log_writer is not None:
        await keeper.log_writer


def quota_bound(options: dict[str, Any]) -> QuotaBound | None:
    """Return how exactly quotas are kept by the settings; None if none are."""
    window_s = options.get('quota_window_s', 0)
    if not window_s:
        return None
    return QuotaBound(
        window_s * MS_PER_SECOND,
        options.get('quota_excess', 0),
        options.get('quota_slack', 0),
    )


def make_keeper(settings: Settings, store: PlatformStore) -> Keeper:
    """Create a keeper from validated settings."""
    options = settings.section('keeper')
    clock = LoopClock()
    return Keeper(
        KeeperSettings(
            options['name'],
            options['zone'],
            settings.regions,
            options['address'],
            options['first_start'] == 'true',
            options['tolerated_losses'],
            quota_bound(options),
            options.get('revocation_ms', 0),
        ),
        KeeperState(
            RecordLog(Path(options['folder'])),
            clock,
            options.get('disk_mb', 0) * BYTES_PER_MB,
        ),
        store,
        TcpNetwork(),
        clock,
    )
