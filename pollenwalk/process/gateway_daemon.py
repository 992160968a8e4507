"""Runs one gateway as a process until SIGTERM or SIGINT."""

import random
import sys
from http import HTTPStatus
from pathlib import Path

from loguru import logger

from pollenwalk.connection.addresses import split_address
from pollenwalk.connection.connection_guard import ConnectionGuard
from pollenwalk.connection.connection_limits import read_limits
from pollenwalk.connection.explain_page import ExplainPage
from pollenwalk.connection.gateway_app import GatewayApp
from pollenwalk.connection.http_server import KEEP_ALIVE_S, HttpServer
from pollenwalk.connection.pipelined_requests import (
    DEFAULT_MAX_REQUESTS,
    RequestSlots,
)
from pollenwalk.connection.plain_page import Page, PlainPage
from pollenwalk.connection.tcp_network import TcpNetwork
from pollenwalk.errors import UserError
from pollenwalk.platform.names import READY_PATH
from pollenwalk.platform.objects import PlatformStore
from pollenwalk.policy.drain_admission import BALANCER_REMOVAL_MS, PlannedStop
from pollenwalk.process import event_loop
from pollenwalk.process.clock import MS_PER_SECOND, LoopClock
from pollenwalk.process.gateway import Gateway, GatewaySettings
from pollenwalk.process.load_monitor import LoadMonitor, peak_memory_mib
from pollenwalk.process.logs import set_up_logs
from pollenwalk.process.metrics_page import metrics_server
from pollenwalk.process.route_explanation import RouteExplainer
from pollenwalk.process.settings import Settings, read_settings
from pollenwalk.process.signals import stop_on_signals

# Part of the grace period that is reserved for closing the servers.
CLOSE_RESERVE_MS = 700.0
# Part of it for the requests that still run. Each server takes 0.1 s besides.
CLOSE_GRACE_S = 0.2
DRAIN_CHECK_INTERVAL_MS = 50.0
OK = HTTPStatus.OK
NOT_READY = HTTPStatus.SERVICE_UNAVAILABLE
# Idle timeout of callers' connections. It is longer than any other configured
# idle timeout, so that the gateway never closes a connection that a caller may
# still use.
CALLER_KEEP_ALIVE_S = 120
# Interval of checks whether the settings file has changed, as it may be changed
# without a SIGHUP.
SETTINGS_CHECK_INTERVAL_MS = 1000.0
BYTES_PER_MIB = 1_048_576


def run_gateway(settings: Settings, path: Path) -> None:
    """Run a gateway until SIGTERM or SIGINT.

    Raises:
        UserError: an address can't be bound.
    """
    set_up_logs(settings.section('process')['log_level'], sys.stdout)
    try:
        event_loop.run(serve(settings, path))
    except OSError as error:
        raise UserError(str(error)) from error


async def serve(settings: Settings, path: Path) -> None:
    """Run a gateway on the running event loop."""
    await GatewayProcess(settings, path).run()


class GatewayProcess:
    """A gateway with its HTTP servers, signals and settings file."""

    def __init__(self, settings: Settings, path: Path) -> None:
        """Create the gateway and its servers from validated settings.

        Args:
            settings: the settings as read from `path`.
            path: the settings file, which is read again when it changes.
        """
        self.settings = settings
        self.path = path
        self.clock = LoopClock()
        options = settings.section('gateway')
        self.store = PlatformStore(settings.section('store')['url'])
        self.gateway = Gateway(
            GatewaySettings(
                options['name'],
                options['zone'],
                settings.regions,
                options['tolerated_losses'],
                options['change_delay_ms'],
                options['leave_notice_ms'],
                options.get('revocation_ms', 0),
                options.get('quota_window_s', 0) * MS_PER_SECOND,
                options.get('hedge_share', 0),
                options.get('host_priorities') == 'true',
                options.get('load_admission') == 'true',
                options.get('avoid_silent_hosts') == 'true',
                options.get('memory_mb', 0),
                options.get('bound_host_bodies') == 'true',
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
            self.gateway.metrics.count_interruption,
            self.gateway.max_body_bytes,
            self.gateway.sends_callers_away,
        )
        self.guard = ConnectionGuard(
            read_limits(options), self.gateway.metrics.count_closed
        )
        self.slots = RequestSlots(
            options.get('max_pipelined_requests', DEFAULT_MAX_REQUESTS)
        )
        self.caller_server = HttpServer(
            self.app,
            *split_address(options['http']),
            CALLER_KEEP_ALIVE_S,
            self.guard,
            self.slots,
        )
        self.readiness_server = HttpServer(
            PlainPage(READY_PATH, self.readiness),
            *split_address(options['ready']),
            KEEP_ALIVE_S,
            self.guard,
        )
        self.load_monitor = LoadMonitor(
            self.clock,
            self.gateway.metrics,
            self.gateway.own_load,
            lambda: self.app.in_progress,
            lambda: self.caller_server.connections,
        )
        self.metrics_page = metrics_server(
            self.gateway.metrics,
            self.refresh_metrics,
            options['metrics'],
            self.guard,
            self.add_explanations,
        )

    def add_explanations(self, page: PlainPage) -> ExplainPage:
        """Return an application that also explains where requests would go."""
        gateway = self.gateway
        explainer = RouteExplainer(gateway.preparation, gateway.forwarding_context)
        return ExplainPage(page, explainer.explain, self.clock.now_ms)

    def readiness(self) -> Page:
        """Return the answer to a load balancer's check."""
        return Page(OK if self.gateway.ready else NOT_READY)

    def refresh_metrics(self) -> None:
        """Update the gauges."""
        self.gateway.refresh_metrics()
        metrics = self.gateway.metrics
        metrics.in_progress.set({}, self.app.in_progress)
        metrics.connections.set({}, self.caller_server.connections)
        metrics.held_bytes.set({}, self.guard.held_bytes)
        metrics.pipelined_waiting.set({}, len(self.slots.waiting))
        metrics.memory_bytes.set({}, peak_memory_mib() * BYTES_PER_MIB)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the requests in progress."""
        options = self.settings.section('gateway')
        stopped = stop_on_signals(self.reload)
        logger.info('start', role='gateway', name=options['name'], zone=options['zone'])
        await self.gateway.start()
        for server in self.servers():
            await server.start()
        self.gateway.tasks.spawn(self.watch_settings(), 'watch_settings')
        self.gateway.tasks.spawn(self.load_monitor.run(), 'load_monitor')
        await stopped.wait()
        await self.drain(options['grace_s'] * MS_PER_SECOND)

    def servers(self) -> tuple[HttpServer, ...]:
        """Return all servers, the one for callers first."""
        return self.caller_server, self.readiness_server, self.metrics_page

    async def drain(self, grace_ms: float) -> None:
        """Finish the requests in progress within the grace period, then stop.

        Requests are still accepted if they can be expected to end in time, as the
        load balancer needs time to notice that the gateway is not ready and callers
        still have connections. Answers that begin from now on tell the caller to
        close the connection.

        Args:
            grace_ms: time from the signal until the process must have stopped.
        """
        started_ms = self.clock.now_ms()
        logger.info('stopping', in_progress=self.app.in_progress)
        deadline_at_ms = started_ms + max(grace_ms - CLOSE_RESERVE_MS, 0)
        self.gateway.planned_stop = PlannedStop(started_ms, deadline_at_ms)
        self.app.close_connections = True
        await self.clock.sleep_ms(min(BALANCER_REMOVAL_MS, deadline_at_ms - started_ms))
        while self.app.in_progress and self.clock.now_ms() < deadline_at_ms:
            await self.clock.sleep_ms(DRAIN_CHECK_INTERVAL_MS)
        await self.close_servers(deadline_at_ms)
        await self.gateway.stop()
        await self.store.close()
        logger.info('stop', role='gateway', unfinished=self.app.in_progress)

    async def close_servers(self, deadline_at_ms: float) -> None:
        """Close all servers.

        A request may have arrived after the last check that none is in progress. It
        gets what is left of the time for requests.

        Args:
            deadline_at_ms: when that time ends, on the process's clock.
        """
        remaining_ms = max(deadline_at_ms - self.clock.now_ms(), 0)
        caller_server, *others = self.servers()
        await caller_server.stop(remaining_ms / MS_PER_SECOND + CLOSE_GRACE_S)
        for server in others:
            await server.stop(CLOSE_GRACE_S)

    async def watch_settings(self) -> None:
        """Reload the settings whenever their file has changed."""
        current = self.path.read_bytes()
        while True:
            await self.clock.sleep_ms(SETTINGS_CHECK_INTERVAL_MS)
            latest = self.path.read_bytes()
            if latest != current:
                current = latest
                self.reload()

    def reload(self) -> None:
        """Read the settings again; invalid ones are ignored.

        Only a change of the store's URL takes effect without a restart.
        """
        try:
            settings = read_settings(self.path, 'gateway')
        except UserError as error:
            logger.error('settings_refused', reason=error.message)
            return
        logger.info('reload', changed=settings != self.settings)
        self.settings = settings
        self.store.url = settings.section('store')['url']
