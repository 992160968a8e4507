"""The gateway: takes callers' requests and has them run by upstream hosts."""

import asyncio
import random
import zlib
from typing import NamedTuple

from loguru import logger

from pollenwalk.connection.channel import StreamNetwork
from pollenwalk.connection.connection_pool import ConnectionPool
from pollenwalk.errors import Outcome, Refusal, RefusalCode, StoreUnavailable
from pollenwalk.platform.documents import CONFIGURATION_PREFIX, HOSTS_PREFIX
from pollenwalk.policy.host_choice import EarliestFinish
from pollenwalk.process.call_placer import CallPlacer
from pollenwalk.process.clock import Clock
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.host_table import HostTable
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.process.keeper_links import KeeperLinks
from pollenwalk.process.keeper_members import KEEPERS_PREFIX
from pollenwalk.process.prefix_watcher import PrefixWatcher, WatchHandlers
from pollenwalk.process.store import ObjectStore
from pollenwalk.process.tasks import TaskSet
from pollenwalk.request.call_sender import ForwardingContext
from pollenwalk.request.call_state import Call, call_deadline_ms
from pollenwalk.request.http_messages import Request
from pollenwalk.request.program_turn import ProgramTurn
from pollenwalk.request.reply import Reply
from pollenwalk.request.streaming import StandaloneTurn, Turn, run_stream
from pollenwalk.request.unary import run_unary
from pollenwalk.version.active_configuration import ActiveConfiguration
from pollenwalk.version.routes import Route, RoutingConfiguration

# Retry-After before the configuration is known: a start takes about a second.
STARTING_RETRY_MS = 500
# Read of a body before the configuration is known; the request is refused
# all the same, and an early answer must not meet a body that still comes.
STARTING_BODY_BYTES = 4_194_304
# Watches of the configuration last this share of the time within which it has
# to be in force, so that one that has heard nothing is made again early enough.
CONFIGURATION_SHARE = 0.5
# Hosts that leave must be noticed before they stop; the rest of the time is
# for a slow store.
MEMBERS_SHARE = 0.6
# A gateway that reaches no majority of the keepers for so long lets callers
# go to others; shorter than a balancer's second look.
UNDECIDED_MS = 500.0
# One more than the greatest checksum.
DRAWS = 4_294_967_296


class GatewaySettings(NamedTuple):
    """What a gateway is told at its start.

    Attributes:
        name: its own, the same after a restart.
        zone: its availability zone.
        regions: the region of each zone.
        tolerated_losses: keepers whose loss at once must lose nothing.
        change_delay_ms: the longest until a configuration is in force.
        leave_notice_ms: how long a host serves after it has said that it
            leaves.
    """

    name: str
    zone: str
    regions: dict[str, str]
    tolerated_losses: int
    change_delay_ms: float
    leave_notice_ms: float


class Gateway:
    """One gateway process."""

    def __init__(
        self,
        settings: GatewaySettings,
        store: ObjectStore,
        network: StreamNetwork,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Prepare; nothing is known yet."""
        self.settings = settings
        self.store = store
        self.clock = clock
        self.tasks = TaskSet()
        self.active_configuration = ActiveConfiguration()
        self.host_table = HostTable(clock)
        self.pool = ConnectionPool(clock)
        self.stopping = False
        call_placer = CallPlacer(
            clock,
            self.host_table,
            EarliestFinish(rng),
            settings.zone,
            settings.regions,
        )
        self.metrics = GatewayMetrics()
        self.forwarding_context = ForwardingContext(
            clock, self.pool, call_placer, self.metrics, rng
        )
        self.links = KeeperLinks(
            network,
            clock,
            self.tasks,
            settings.zone,
            settings.regions,
        )
        self.keepers = KeeperGroup(
            self.links,
            clock,
            self.tasks,
            settings.tolerated_losses,
        )

    @property
    def ready(self) -> bool:
        """Tell whether new callers may come."""
        known = self.active_configuration.current is not None and self.host_table.loaded
        known = known and self.links.members.loaded
        decided = self.links.without_majority_ms < UNDECIDED_MS
        return known and decided and not self.stopping

    def max_body_bytes(self) -> int:
        """Give the largest body that a caller may send now."""
        current = self.active_configuration.current
        return current.limits.max_body_bytes if current else STARTING_BODY_BYTES

    async def start(self) -> None:
        """Follow the store."""
        relay = self.keepers.read_prefix
        configuration = WatchHandlers(
            self.active_configuration.apply,
            self.host_table.store_answered,
            lambda error: self.store_failed('configuration', error),
            relay,
        )
        hosts = WatchHandlers(
            self.host_table.apply_change,
            self.on_hosts_read,
            lambda error: self.store_failed('hosts', error),
            relay,
        )
        keepers = WatchHandlers(
            self.links.members.apply_change,
            self.links.members.mark_loaded,
            lambda error: self.store_failed('keepers', error),
            relay,
        )
        wait_ms = self.settings.change_delay_ms * CONFIGURATION_SHARE
        members_wait_ms = self.settings.leave_notice_ms * MEMBERS_SHARE
        self.follow(CONFIGURATION_PREFIX, configuration, wait_ms)
        self.follow(HOSTS_PREFIX, hosts, members_wait_ms)
        self.follow(KEEPERS_PREFIX, keepers, members_wait_ms)

    def follow(
        self,
        prefix: str,
        handlers: WatchHandlers,
        wait_ms: float,
    ) -> None:
        """Follow one kind of objects for as long as the process lives."""
        follower = PrefixWatcher(
            self.store,
            self.clock,
            prefix,
            handlers,
            wait_ms,
        )
        self.tasks.spawn(follower.run(), f'follow {prefix}')

    def on_hosts_read(self) -> None:
        """Note that the list of hosts is fresh."""
        self.host_table.loaded = True
        self.host_table.store_answered()
        self.pool.close_all_except(set(self.host_table.states))

    def store_failed(self, what: str, error: StoreUnavailable) -> None:
        """Note that the store gave no answer, so that lists may be stale."""
        self.host_table.store_failed()
        self.metrics.count_store_failure(what)
        logger.warning('store_unavailable', what=what, reason=error.message)

    def refresh_metrics(self) -> None:
        """Set the gauges."""
        current = self.active_configuration.current
        links = self.links.ordered()
        self.metrics.version.set({}, current.version if current else 0)
        self.metrics.hosts.set({}, len(self.host_table.states))
        self.metrics.keepers.set({}, len(links))
        lost = sum(link.lost_since_ms is not None for link in links)
        self.metrics.keepers_lost.set({}, lost)

    async def stop(self) -> None:
        """End all work."""
        await self.tasks.cancel()
        self.pool.close()

    async def handle(self, request: Request, reply: Reply) -> None:
        """Answer one request.

        Raises:
            Refusal: it gets no answer of an upstream host.
            BrokenAnswer: its stream broke off.
        """
        call = self.accept(request)
        outcome = 'refused'
        try:
            await self.run_in_time(call, reply)
            outcome = 'answered'
        except asyncio.CancelledError:
            outcome = 'caller_left'
            raise
        finally:
            took_ms = self.clock.now_ms() - request.arrived_ms
            self.metrics.count_request(str(call.route.kind), outcome, took_ms)
            logger.info(
                'ended',
                request=call.id,
                route=call.route.name,
                outcome=outcome,
                took_ms=round(took_ms),
            )

    async def run_in_time(self, call: Call, reply: Reply) -> None:
        """Run a call until the caller or the route stops waiting."""
        remaining_ms = call.remaining_ms(self.clock.now_ms())
        try:
            async with self.clock.timeout_ms(remaining_ms):
                await self.run(call, reply)
        except TimeoutError as error:
            raise deadline_passed() from error

    def accept(self, request: Request) -> Call:
        """Find the route and the upstream of a request.

        Raises:
            Refusal: there is none, or the request has no id.
        """
        current = self.active_configuration.current
        if current is None:
            raise Refusal(
                RefusalCode.NOT_CONFIGURED,
                'this gateway is starting',
                retry_after_ms=STARTING_RETRY_MS,
            )
        route = current.match(request.host, request.path)
        if route is None:
            raise Refusal(
                RefusalCode.UNKNOWN_ROUTE,
                f'no route at version {current.version}',
            )
        if not request.metadata.id:
            raise Refusal(RefusalCode.MALFORMED, 'the request has no id')
        return make_call(current, route, request)

    async def run(self, call: Call, reply: Reply) -> None:
        """Run a call the way its route asks for."""
        if call.route.is_streaming:
            await run_stream(self.forwarding_context, call, self.turn_of(call), reply)
        else:
            await run_unary(self.forwarding_context, call, reply)

    def turn_of(self, call: Call) -> Turn:
        """Tell what a stream means to its program."""
        keeps = call.route.keeps_history
        if keeps or call.request.metadata.budget is not None:
            return ProgramTurn(self.keepers, call, self.metrics)
        return StandaloneTurn(call.request.body)


def deadline_passed() -> Refusal:
    """Refuse a call whose time has run out; it may have run."""
    return Refusal(RefusalCode.DEADLINE, 'the time is over', Outcome.UNKNOWN)


def make_call(current: RoutingConfiguration, route: Route, request: Request) -> Call:
    """Choose the upstream of a call and the end of its time."""
    metadata = request.metadata
    return Call(
        request=request,
        route=route,
        upstream=pick_upstream(route, metadata.program or metadata.id),
        version=current.version,
        deadline_at_ms=call_deadline_ms(request, route),
        tokens_per_event=current.tokens_per_event(route),
    )


def pick_upstream(route: Route, key: str) -> str:
    """Pick an upstream by the weights, the same one for all of a program."""
    whole = sum(share.weight for share in route.shares)
    draw = zlib.crc32(key.encode('latin-1')) / DRAWS * whole
    for share in route.shares:
        draw -= share.weight
        if draw < 0:
            return share.upstream
    return route.shares[-1].upstream
