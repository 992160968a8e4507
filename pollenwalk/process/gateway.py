"""The gateway: accepts callers' requests and forwards them to upstream hosts."""

import asyncio
import random
from typing import NamedTuple

from loguru import logger

from pollenwalk.connection.channel import StreamNetwork
from pollenwalk.errors import Outcome, Refusal, RefusalCode, StoreUnavailable
from pollenwalk.platform.documents import CONFIGURATION_PREFIX, HOSTS_PREFIX
from pollenwalk.policy.drain_admission import PlannedStop
from pollenwalk.policy.host_choice import CallCost, EarliestFinish
from pollenwalk.policy.own_load import OwnLoad
from pollenwalk.policy.program_admission import draw_elsewhere_retry_ms
from pollenwalk.process.call_placer import CallPlacer
from pollenwalk.process.clock import Clock
from pollenwalk.process.configuration_lease import ConfigurationLease
from pollenwalk.process.gateway_follower import GatewayFollower
from pollenwalk.process.gateway_gauges import awaited_processes, refresh_gauges
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.hedging import make_hedging
from pollenwalk.process.host_bounds import HostBounds, make_pool
from pollenwalk.process.host_table import HostTable
from pollenwalk.process.keeper_feed import KeeperFeed
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.process.keeper_links import KeeperLinks
from pollenwalk.process.keeper_members import KEEPERS_PREFIX
from pollenwalk.process.load_admission import AdmissionSwitches, LoadAdmission
from pollenwalk.process.load_reporter import LoadReporter
from pollenwalk.process.permit_client import PermitClient
from pollenwalk.process.quota_client import QuotaClient
from pollenwalk.process.silent_hosts import SilentHosts
from pollenwalk.process.store import ObjectStore, StoredObject
from pollenwalk.process.stream_registry import StreamRegistry
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.waits import Waits
from pollenwalk.request.call_preparation import CallPreparation
from pollenwalk.request.call_runner import CallRunner
from pollenwalk.request.forwarding_context import ForwardingContext
from pollenwalk.request.gateway_call import Call
from pollenwalk.request.http_messages import Request
from pollenwalk.request.reply import Reply
from pollenwalk.version.active_configuration import ActiveConfiguration

# Largest request body that is read before a configuration is known. The
# request is refused in any case, but only after its body has been read, so
# that the response does not cross a body that is still being sent.
STARTUP_MAX_BODY_BYTES = 4_194_304
# A watch of the configuration lasts at most this share of the time within which
# a change must be in force. A stalled watch is thus replaced early enough.
CONFIGURATION_WATCH_SHARE = 0.5
# A watch of the hosts or keepers lasts at most this share of the leave notice:
# a leaving host must be noticed before it stops, and the rest of the notice is
# reserved for a slow store.
MEMBERSHIP_WATCH_SHARE = 0.6
# A leaving host is still used for streams that can go on nowhere else for this share
# of the leave notice after it was noticed. Noticing it and this together stay below
# the notice.
RESUME_AT_LEAVING_SHARE = 0.25
# A gateway that has reached no majority of the keepers for this long reports
# that it is not ready, so that callers are sent to other gateways. Shorter than
# the time until a load balancer's second check.
MAX_WITHOUT_MAJORITY_MS = 500.0
WAITS_INTERVAL_MS = 500.0
# Outcome of a request whose caller disconnected.
CALLER_LEFT = 'caller_left'


class GatewaySettings(NamedTuple):
    """The settings that a gateway reads at its start.

    Attributes:
        name: name of the gateway, the same after a restart.
        zone: availability zone of the gateway.
        regions: the region of each zone.
        tolerated_losses: how many keepers may be lost at the same time without
            loss of data.
        change_delay_ms: longest time until a changed configuration is in force.
        leave_notice_ms: how long a host still serves after it has announced
            that it leaves.
        revocation_ms: time within which the revocation of a key must be in force, also
            at gateways that are cut off; 0 if those may go on with what they know.
        quota_window_ms: length of the windows in which the requests of an organisation
            are counted; 0 if no quotas are kept.
        hedge_share: share of sends that may be second attempts for slow calls; 0 for
            none.
        host_priorities: whether hosts are told priorities even if the configuration
            has no organisations.
        load_admission: whether new programs are refused while running ones can't
            stay in time, even if the configuration has no organisations.
        avoid_silent_hosts: whether hosts that answer nothing are avoided, even if the
            configuration has no organisations.
        memory_mb: memory of the machine in MB; 0 to ask the operating system.
        bound_host_bodies: whether request bodies at a host are bounded even if the
            configuration has no organisations.
    """

    name: str
    zone: str
    regions: dict[str, str]
    tolerated_losses: int
    change_delay_ms: float
    leave_notice_ms: float
    revocation_ms: float = 0
    quota_window_ms: float = 0
    hedge_share: float = 0
    host_priorities: bool = False
    load_admission: bool = False
    avoid_silent_hosts: bool = False
    memory_mb: int = 0
    bound_host_bodies: bool = False


class Gateway:
    """One gateway process.

    Attributes:
        waits: what this gateway waits for, and for whom.
        host_bounds: what may be kept and sent at each host.
        planned_stop: the planned stop, once the gateway was told to stop.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        store: ObjectStore,
        network: StreamNetwork,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create a gateway that has not read the store yet."""
        self.settings = settings
        self.store = store
        self.clock = clock
        self.tasks = TaskSet()
        self.active_configuration = ActiveConfiguration()
        self.lease = ConfigurationLease(
            clock, settings.revocation_ms, settings.change_delay_ms
        )
        self.preparation = CallPreparation(self.active_configuration, self.lease, rng)
        self.host_table = HostTable(clock)
        self.host_bounds = HostBounds(
            self.active_configuration, bounds_bodies=settings.bound_host_bodies
        )
        self.pool = make_pool(clock, self.host_bounds, settings.memory_mb)
        self.planned_stop: PlannedStop | None = None
        self.own_load = OwnLoad()
        call_placer = CallPlacer(
            clock,
            self.host_table,
            EarliestFinish(rng),
            settings.zone,
            settings.regions,
            settings.leave_notice_ms * RESUME_AT_LEAVING_SHARE,
            self.own_load,
        )
        self.metrics = GatewayMetrics()
        self.waits = Waits(clock, self.metrics.awaited)
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
            store,
        )
        self.feed = KeeperFeed(
            store, self.links, clock, self.host_table.record_store_failure
        )
        self.permits = PermitClient(self.keepers, self.host_table, self.metrics)
        self.quotas = QuotaClient(
            self.keepers, self.metrics, settings.name, settings.quota_window_ms
        )
        admission = LoadAdmission(
            clock,
            self.active_configuration,
            self.metrics,
            rng,
            AdmissionSwitches(settings.host_priorities, settings.load_admission),
        )
        self.silent_hosts = SilentHosts(
            clock,
            self.metrics,
            lambda: settings.avoid_silent_hosts or admission.has_organisations,
        )
        self.forwarding_context = ForwardingContext(
            clock,
            self.pool,
            call_placer,
            self.metrics,
            rng,
            StreamRegistry(self.keepers),
            self.permits,
            self.quotas,
            make_hedging(settings.hedge_share, self.metrics, self.quotas.prepay),
            admission,
            self.silent_hosts,
        )
        self.runner = CallRunner(self.forwarding_context, self.keepers)

    @property
    def ready(self) -> bool:
        """Return whether a load balancer may send new callers."""
        loaded = (
            self.active_configuration.current is not None and self.host_table.loaded
        )
        loaded = loaded and self.links.members.loaded
        loaded = loaded and self.preparation.serves_organisations
        majority_ok = self.links.without_majority_ms < MAX_WITHOUT_MAJORITY_MS
        has_room = self.own_load.accepts_callers(self.clock.now_ms())
        return loaded and majority_ok and has_room and self.planned_stop is None

    def sends_callers_away(self) -> bool:
        """Return whether callers should open their next connection elsewhere."""
        return self.own_load.sends_callers_away(self.clock.now_ms())

    def max_body_bytes(self) -> int:
        """Return the largest request body that is accepted now."""
        current = self.active_configuration.current
        return current.limits.max_body_bytes if current else STARTUP_MAX_BODY_BYTES

    async def start(self) -> None:
        """Start to follow the store, to exchange limits and to report the load."""
        self.tasks.spawn(self.follow_store(), 'follow_store')
        self.tasks.spawn(self.keepers.pauses.run(), 'watch_pauses')
        self.tasks.spawn(self.watch_waits(), 'watch_waits')
        self.tasks.spawn(self.permits.exchange_limits(), 'exchange_limits')
        self.tasks.spawn(self.quotas.run(), 'return_quotas')
        self.tasks.spawn(self.silent_hosts.run(), 'watch_silent_hosts')
        reporter = LoadReporter(
            self.links,
            self.clock,
            self.own_load,
            self.host_table,
            self.settings.name,
            self.host_bounds.gateways,
        )
        self.tasks.spawn(reporter.run(), 'report_load')

    async def follow_store(self) -> None:
        """Follow the keepers, then, through one of them, everything else."""
        follower = GatewayFollower(
            self.feed, self.clock, self.tasks, self.on_store_unavailable, self.keepers
        )
        settings = self.settings
        membership_wait_ms = settings.leave_notice_ms * MEMBERSHIP_WATCH_SHARE
        self.keepers.recent.watcher = follower.follow(
            KEEPERS_PREFIX,
            self.links.members.apply_change,
            self.links.members.mark_loaded,
            membership_wait_ms,
        )
        await follower.wait_for_keeper(self.links.members)
        self.lease.watcher = follower.follow(
            CONFIGURATION_PREFIX,
            self.apply_configuration,
            self.host_table.record_store_answer,
            self.lease.watch_ms(settings.change_delay_ms * CONFIGURATION_WATCH_SHARE),
            confirm_soon=settings.revocation_ms > 0,
        )
        follower.follow(
            HOSTS_PREFIX,
            self.host_table.apply_change,
            self.on_hosts_read,
            membership_wait_ms,
        )

    def apply_configuration(self, stored: StoredObject) -> None:
        """Put a configuration in force; tell the keepers of retentions it raises."""
        self.active_configuration.apply(stored)
        self.keepers.raises.apply(self.active_configuration.current)

    def on_hosts_read(self) -> None:
        """Mark the host table as loaded and close connections to removed hosts."""
        self.host_table.loaded = True
        self.host_table.record_store_answer()
        self.pool.close_all_except(set(self.host_table.states))

    def on_store_unavailable(self, what: str, error: StoreUnavailable) -> None:
        """Record that the store did not answer, so that lists may be stale.

        Args:
            what: what was watched: `configuration`, `hosts` or `keepers`.
            error: the failure.
        """
        self.host_table.record_store_failure()
        self.metrics.count_store_failure(what)
        logger.warning('store_unavailable', what=what, reason=error.message)

    async def watch_waits(self) -> None:
        """Note what this gateway waits for, and close stale connections, regularly."""
        while True:
            awaited = awaited_processes(
                self.active_configuration, self.host_table, self.links
            )
            for what, names in awaited.items():
                self.waits.update(what, names)
            self.pool.discard_all_unusable()
            await self.clock.sleep_ms(WAITS_INTERVAL_MS)

    def refresh_metrics(self) -> None:
        """Update the gauges."""
        refresh_gauges(
            self.metrics, self.active_configuration, self.host_table, self.links
        )

    async def stop(self) -> None:
        """Cancel all tasks and close the connections to the hosts."""
        await self.tasks.cancel()
        self.pool.close()

    async def handle(self, request: Request, reply: Reply) -> None:
        """Answer one request.

        Raises:
            Refusal: the request was refused or its deadline has passed; the
                refusal's outcome says whether the call may have run.
            BrokenAnswer: the stream of the answer broke off.
        """
        call = self.preparation.prepare(request)
        outcome = 'refused'
        try:
            self.check_can_finish(call)
            await self.run_until_deadline(call, reply)
            outcome = 'answered'
        except asyncio.CancelledError as error:
            # Whoever cancels for another reason than that names it.
            outcome = str(*error.args) or CALLER_LEFT
            raise
        finally:
            took_ms = self.clock.now_ms() - request.arrived_ms
            self.metrics.count_request(str(call.route.kind), outcome, took_ms)
            logger.info(
                'ended',
                request=call.id,
                route=call.route.name,
                organisation=call.organisation_name,
                outcome=outcome,
                took_ms=round(took_ms),
            )

    def check_can_finish(self, call: Call) -> None:
        """Refuse a call that may not end before this gateway stops.

        Raises:
            Refusal: the gateway stops too soon; the call has not run.
        """
        if self.planned_stop is None:
            return
        now_ms = self.clock.now_ms()
        placer = self.forwarding_context.call_placer
        cost = CallCost(placer.expected_run_ms(call))
        expected_ms = cost.run_ms + placer.min_wait_ms(call, cost)
        allowed_ms = call.remaining_ms(now_ms)
        if self.planned_stop.may_finish(now_ms, allowed_ms, expected_ms):
            return
        logger.info(
            'too_late',
            request=call.id,
            route=call.route.name,
            left_ms=round(self.planned_stop.left_ms(now_ms)),
            allowed_ms=round(allowed_ms),
            expected_ms=round(expected_ms),
        )
        raise Refusal(
            RefusalCode.STOPPING,
            'this gateway stops before the call may have ended',
            retry_after_ms=round(draw_elsewhere_retry_ms(self.forwarding_context.rng)),
        )

    async def run_until_deadline(self, call: Call, reply: Reply) -> None:
        """Run a call until its deadline.

        Raises:
            Refusal: the deadline has passed, or the call was refused.
        """
        remaining_ms = call.remaining_ms(self.clock.now_ms())
        try:
            async with self.clock.timeout_ms(remaining_ms):
                await self.runner.run(call, reply)
        except TimeoutError as error:
            raise deadline_passed() from error


def deadline_passed() -> Refusal:
    """Return the refusal of a call after its deadline; the call may have run."""
    return Refusal(RefusalCode.DEADLINE, 'the deadline has passed', Outcome.UNKNOWN)
