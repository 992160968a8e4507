"""Runs one entry or sidecar as a process of its own, until SIGTERM."""

import asyncio
import random
import sys
from collections.abc import Awaitable, Callable
from typing import Any

from loguru import logger
from starlette.applications import Starlette

from pollenwalk.connection.addresses import split_address
from pollenwalk.connection.engine_http import HttpEngine
from pollenwalk.connection.grpc_network import GrpcNetwork
from pollenwalk.connection.hosts_http import HttpHosts
from pollenwalk.connection.http_api import CallersApi
from pollenwalk.connection.http_server import HttpServer
from pollenwalk.connection.service_http import HttpService
from pollenwalk.connection.sidecar_api import SidecarApi
from pollenwalk.connection.store_http import HttpStore
from pollenwalk.errors import UserError
from pollenwalk.policy.placement import make_placement
from pollenwalk.process.clock import LoopClock
from pollenwalk.process.entry import Entry, EntrySettings
from pollenwalk.process.logs import set_up_logs
from pollenwalk.process.metrics import EntryMetrics
from pollenwalk.process.settings import Settings
from pollenwalk.process.sidecar import Sidecar, SidecarSettings
from pollenwalk.process.signals import stop_on_signals
from pollenwalk.process.traces import Tracer, make_tracer

Stop = Callable[[], Awaitable[None]]


def run_daemon(settings: Settings, start: Callable[..., Awaitable[Stop]]) -> None:
    """Start a daemon, wait for SIGTERM or SIGINT, and stop it gracefully.

    Args:
        settings: of the process.
        start: starts the daemon and gives how to stop it.

    Raises:
        UserError: an address can't be bound.
    """
    process = settings.of('process')
    set_up_logs(process['log_level'], sys.stdout)
    tracer = make_tracer(process['trace_file'], process['trace_share'])
    try:
        asyncio.run(serve(settings, tracer, start))
    except OSError as error:
        raise UserError(str(error)) from error
    finally:
        tracer.close()


async def serve(
    settings: Settings,
    tracer: Tracer,
    start: Callable[..., Awaitable[Stop]],
) -> None:
    """Run a daemon until it is told to stop."""
    stopped = stop_on_signals()
    stop = await start(settings, tracer)
    await stopped.wait()
    logger.info('stopping')
    await stop()
    logger.info('stopped')


async def start_http(app: Starlette, address: str) -> HttpServer:
    """Serve an application on `ip:port`."""
    host, port = split_address(address)
    server = HttpServer(app, host, port)
    await server.start()
    return server


async def start_entry(settings: Settings, tracer: Tracer) -> Stop:
    """Start an entry from its settings."""
    own = settings.of('entry')
    store = HttpStore(settings.of('store')['url'])
    hosts_url = settings.of('hosts').get('url')
    hosts = HttpHosts(hosts_url) if hosts_url else None
    rng = random.Random()
    entry = Entry(
        EntrySettings(
            own['address'],
            own['zone'],
            settings.regions,
            own['witnesses'],
            own['journal_interval_ms'],
            own['store_writes_per_second'],
        ),
        GrpcNetwork(),
        store,
        LoopClock(),
        rng,
        tracer,
        make_placement(own['placement'], rng),
        hosts,
    )
    await entry.start()
    server = await start_http(CallersApi(entry, EntryMetrics()).app(), own['http'])

    async def stop() -> None:  # noqa: WPS430
        await entry.stop()
        await server.stop()
        await store.close()
        if hosts is not None:
            await hosts.close()

    return stop


async def start_sidecar(settings: Settings, tracer: Tracer) -> Stop:
    """Start a sidecar from its settings."""
    own = settings.of('sidecar')
    upstream = make_upstream(own)
    sidecar = Sidecar(
        SidecarSettings(
            own['id'],
            own['upstream'],
            own['address'],
            own['zone'],
            own['entries'],
            own['coalesce_ms'],
        ),
        GrpcNetwork(),
        LoopClock(),
        upstream,
        random.Random(),
        tracer,
    )
    await sidecar.start()
    server = await start_http(SidecarApi(sidecar).app(), own['http'])

    async def stop() -> None:  # noqa: WPS430
        await sidecar.stop()
        await server.stop()
        await upstream.close()

    return stop


def make_upstream(own: dict[str, Any]) -> HttpEngine | HttpService:
    """Make the client of the upstream beside a sidecar."""
    if own['kind'] == 'model':
        return HttpEngine(own['url'])
    return HttpService(own['url'])
