"""Runs an entry or a sidecar as a process, until SIGTERM or SIGINT."""

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

StopFunction = Callable[[], Awaitable[None]]


def run_daemon(
    settings: Settings, start: Callable[..., Awaitable[StopFunction]]
) -> None:
    """Start a daemon, wait for SIGTERM or SIGINT, and stop it gracefully.

    Args:
        settings: settings of the process.
        start: starts the daemon from the settings and a tracer, and returns
            the function that stops it.

    Raises:
        UserError: an address can't be bound.
    """
    process = settings.section('process')
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
    start: Callable[..., Awaitable[StopFunction]],
) -> None:
    """Run a daemon in the current event loop until a signal stops it.

    Args:
        settings: settings of the process.
        tracer: tracer of the process.
        start: as for `run_daemon`.
    """
    stopped = stop_on_signals()
    stop = await start(settings, tracer)
    await stopped.wait()
    logger.info('stopping')
    await stop()
    logger.info('stopped')


async def start_http(app: Starlette, address: str) -> HttpServer:
    """Start an HTTP server for an application on `ip:port`."""
    host, port = split_address(address)
    server = HttpServer(app, host, port)
    await server.start()
    return server


async def start_entry(settings: Settings, tracer: Tracer) -> StopFunction:
    """Start an entry from its settings; return the function that stops it."""
    section = settings.section('entry')
    store = HttpStore(settings.section('store')['url'])
    hosts_url = settings.section('hosts').get('url')
    hosts = HttpHosts(hosts_url) if hosts_url else None
    rng = random.Random()
    entry = Entry(
        EntrySettings(
            section['address'],
            section['zone'],
            settings.regions,
            section['witnesses'],
            section['journal_interval_ms'],
            section['store_writes_per_second'],
        ),
        GrpcNetwork(),
        store,
        LoopClock(),
        rng,
        tracer,
        make_placement(section['placement'], rng),
        hosts,
    )
    await entry.start()
    server = await start_http(CallersApi(entry, EntryMetrics()).app(), section['http'])

    async def stop() -> None:  # noqa: WPS430
        await entry.stop()
        await server.stop()
        await store.close()
        if hosts is not None:
            await hosts.close()

    return stop


async def start_sidecar(settings: Settings, tracer: Tracer) -> StopFunction:
    """Start a sidecar from its settings; return the function that stops it."""
    section = settings.section('sidecar')
    upstream = make_upstream(section)
    sidecar = Sidecar(
        SidecarSettings(
            section['id'],
            section['upstream'],
            section['address'],
            section['zone'],
            section['entries'],
            section['coalesce_ms'],
        ),
        GrpcNetwork(),
        LoopClock(),
        upstream,
        random.Random(),
        tracer,
    )
    await sidecar.start()
    server = await start_http(SidecarApi(sidecar).app(), section['http'])

    async def stop() -> None:  # noqa: WPS430
        await sidecar.stop()
        await server.stop()
        await upstream.close()

    return stop


def make_upstream(section: dict[str, Any]) -> HttpEngine | HttpService:
    """Create the client for the upstream that the [sidecar] section describes."""
    if section['kind'] == 'model':
        return HttpEngine(section['url'])
    return HttpService(section['url'])
