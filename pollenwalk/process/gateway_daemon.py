"""Runs one gateway as a process of its own, until SIGTERM."""

import asyncio
import random
import sys
from http import HTTPStatus
from pathlib import Path

from loguru import logger
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from pollenwalk.connection.addresses import split_address
from pollenwalk.connection.gateway_app import GatewayApp
from pollenwalk.connection.http_server import HttpServer
from pollenwalk.connection.tcp_network import TcpNetwork
from pollenwalk.errors import UserError
from pollenwalk.platform.names import READY_PATH
from pollenwalk.platform.objects import PlatformStore
from pollenwalk.process.clock import MS_PER_SECOND, LoopClock
from pollenwalk.process.gateway import Gateway, GatewaySettings
from pollenwalk.process.logs import set_up_logs
from pollenwalk.process.metrics_page import metrics_server
from pollenwalk.process.settings import Settings, read_settings
from pollenwalk.process.signals import stop_on_signals

# The balancer asks once a second and takes a host out after two misses.
BALANCER_NOTICES_MS = 2500.0
# Left of the grace period for closing what is still open.
CLOSING_MS = 700.0
CHECK_MS = 50.0
OK = HTTPStatus.OK
NOT_READY = HTTPStatus.SERVICE_UNAVAILABLE
# Longer than any configured idle time, so that a caller never meets the end
# of a connection that it may still use.
CALLERS_KEEP_ALIVE_S = 120
# Settings may change without a signal.
SETTINGS_CHECK_MS = 1000.0


def run_gateway(settings: Settings, path: Path) -> None:
    """Run a gateway until it is told to stop.

    Raises:
        UserError: an address can't be bound.
    """
    set_up_logs(settings.section('process')['log_level'], sys.stdout)
    try:
        asyncio.run(GatewayProcess(settings, path).run())
    except OSError as error:
        raise UserError(str(error)) from error


class GatewayProcess:
    """The servers and signals around a gateway."""

    def __init__(self, settings: Settings, path: Path) -> None:
        """Prepare from checked settings, read from `path`."""
        self.settings = settings
        self.path = path
        self.clock = LoopClock()
        own = settings.section('gateway')
        self.store = PlatformStore(settings.section('store')['url'])
        self.gateway = Gateway(
            GatewaySettings(
                own['name'],
                own['zone'],
                settings.regions,
                own['tolerated_losses'],
                own['change_delay_ms'],
                own['leave_notice_ms'],
            ),
            self.store,
            TcpNetwork(),
            self.clock,
            random.Random(),
        )
        self.app = GatewayApp(
            self.clock,
            self.gateway.handle,
            self.gateway.metrics.count_refusal,
            self.gateway.max_body_bytes,
        )
        self.callers = HttpServer(
            self.app,
            *split_address(own['http']),
            CALLERS_KEEP_ALIVE_S,
        )
        self.readiness = HttpServer(
            self.readiness_app(),
            *split_address(own['ready']),
        )
        self.metrics = metrics_server(
            self.gateway.metrics,
            self.refresh_metrics,
            own['metrics'],
        )

    def readiness_app(self) -> Starlette:
        """Make the application that the balancer asks."""

        async def answer(_: Request) -> Response:  # noqa: WPS430
            ready = self.gateway.ready
            return Response(status_code=OK if ready else NOT_READY)

        return Starlette(routes=[Route(READY_PATH, answer)])

    def refresh_metrics(self) -> None:
        """Set the gauges."""
        self.gateway.refresh_metrics()
        self.gateway.metrics.in_progress.set({}, self.app.in_progress)

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what has begun."""
        own = self.settings.section('gateway')
        stopped = stop_on_signals(self.reload)
        logger.info('start', role='gateway', name=own['name'], zone=own['zone'])
        await self.gateway.start()
        for server in self.servers():
            await server.start()
        self.gateway.tasks.spawn(self.watch_settings(), 'watch_settings')
        await stopped.wait()
        await self.drain(own['grace_s'] * MS_PER_SECOND)

    def servers(self) -> tuple[HttpServer, ...]:
        """Give the servers, the callers' first."""
        return self.callers, self.readiness, self.metrics

    async def drain(self, grace_ms: float) -> None:
        """Take no new callers and finish the requests in progress."""
        begun_ms = self.clock.now_ms()
        logger.info('stopping', in_progress=self.app.in_progress)
        self.gateway.stopping = True
        self.app.closing = True
        last_ms = begun_ms + max(grace_ms - CLOSING_MS, 0)
        await self.clock.sleep_ms(min(BALANCER_NOTICES_MS, last_ms - begun_ms))
        while self.app.in_progress and self.clock.now_ms() < last_ms:
            await self.clock.sleep_ms(CHECK_MS)
        for server in self.servers():
            await server.stop()
        await self.gateway.stop()
        await self.store.close()
        logger.info('stop', role='gateway', unfinished=self.app.in_progress)

    async def watch_settings(self) -> None:
        """Reload the settings when their file has changed."""
        known = self.path.read_bytes()
        while True:
            await self.clock.sleep_ms(SETTINGS_CHECK_MS)
            found = self.path.read_bytes()
            if found != known:
                known = found
                self.reload()

    def reload(self) -> None:
        """Read the settings again; bad ones leave the old in force."""
        try:
            settings = read_settings(self.path, 'gateway')
        except UserError as error:
            logger.error('settings_refused', reason=error.message)
            return
        logger.info('reload', changed=settings != self.settings)
        self.settings = settings
        self.store.url = settings.section('store')['url']
