"""Permits of one limited host: many gateways and three keepers, in virtual time.

The keepers and the clients of the gateways are the real ones; the host is a counter.
What reaches it is compared with what it bears: from a while after it first named its
limit, no more than one and a half times the limit and five requests in any 4 s, from
gateways that have known the limit for half a second.
"""

import random
from typing import NamedTuple

import testtools

from pollenwalk.connection.hosts import UpstreamHost
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.host_table import HostState, HostTable
from pollenwalk.process.permit_allocator import LEASE_MS, SETTLE_MS
from pollenwalk.process.permit_client import EXCHANGE_INTERVAL_MS, PermitClient
from pollenwalk.request.http_messages import NamedLimit
from standin.experiments.limits import WINDOW_MS, most_in_window
from test.helper import virtual
from test.process.test_keepers import KeeperCluster

LIMIT_PER_S = 2.9
# Time from the first answer with a limit until the limit must be kept.
CONTACT_MS = 4000.0
# Time for which a gateway has known a limit until its requests count.
NEWS_MS = 500.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
# Share of the limit that must be used while there is demand.
WANTED_USE = 0.9
# Demand of all gateways together, as a multiple of the limit.
PRESSURE = 6.0
MAX_WAIT_MS = 1000.0
SIZES = (4, 18, 60)
ZONES = 'abcd'
RUN_MS = 12_000.0


class Arrival(NamedTuple):
    """A request that reached the host.

    Attributes:
        at_ms: when it arrived.
        counts: whether its gateway had known the limit for NEWS_MS.
    """

    at_ms: float
    counts: bool


class CountingHost:
    """A host that names a limit and counts what it gets.

    Attributes:
        named: the limit that its answers name; None for none.
        registration: how it is listed.
        arrivals: the requests so far.
    """

    def __init__(self, per_second: float | None) -> None:
        """Create a host whose answers name a limit."""
        self.named = None if per_second is None else NamedLimit(per_second, '')
        self.registration = UpstreamHost('i', 'up', 'i:1', 'a', 8, False, 0, 1)
        self.arrivals: list[Arrival] = []

    def most_in_window(self, since_ms: float) -> int:
        """Return the most counted arrivals within WINDOW_MS, from a time on."""
        counted = [one.at_ms for one in self.arrivals if one.counts]
        return most_in_window([at_ms for at_ms in counted if at_ms >= since_ms])

    def rate_per_s(self, begin_ms: float, end_ms: float) -> float:
        """Return how many requests a second arrived within a time."""
        arrived = sum(begin_ms <= one.at_ms < end_ms for one in self.arrivals)
        return arrived / (end_ms - begin_ms) * 1000


class LoadedGateway:
    """The part of a gateway that obtains permits, under load.

    Attributes:
        knows_since_ms: when it got the first answer with a limit; None before.
        refused: how many calls found no permit.
    """

    def __init__(
        self, cluster: KeeperCluster, name: str, zone: str, host: CountingHost
    ) -> None:
        """Create a gateway that knows no limit yet."""
        self.group = cluster.start_group(name, zone)
        self.clock = self.group.clock
        self.host_table = HostTable(self.clock)
        self.host_table.register(host.registration, 1)
        self.client = PermitClient(self.group, self.host_table, GatewayMetrics())
        self.group.tasks.spawn(self.client.exchange_limits(), 'exchange_limits')
        self.host = host
        self.knows_since_ms: float | None = None
        self.refused = 0

    @property
    def state(self) -> HostState:
        """Return the gateway's state of the host."""
        return self.host_table.states[self.host.registration.id]

    @property
    def limit(self) -> float | None:
        """Return the host's limit as this gateway knows it."""
        return self.host_table.limit_of(self.state)

    def start_load(self, per_second: float, rng: random.Random) -> None:
        """Make calls at random times until the gateway is stopped."""
        self.group.tasks.spawn(self.make_calls(per_second, rng), 'load')

    async def make_calls(self, per_second: float, rng: random.Random) -> None:
        """Make calls at random times."""
        while True:
            await self.clock.sleep_ms(rng.expovariate(per_second) * 1000)
            self.group.tasks.spawn(self.call(), 'call')

    async def call(self) -> None:
        """Make one call, as soon as there is a permit."""
        if self.limit is not None:
            permit = await self.client.request(self.state, MAX_WAIT_MS)
            if not permit.granted:
                self.refused += 1
                return
            await self.clock.sleep_ms(permit.wait_ms)
        self.send()

    def send(self) -> None:
        """Send a request to the host and take its answer."""
        now_ms = self.clock.now_ms()
        known_ms = now_ms if self.knows_since_ms is None else self.knows_since_ms
        self.host.arrivals.append(Arrival(now_ms, now_ms - known_ms >= NEWS_MS))
        if self.host.named is not None and self.knows_since_ms is None:
            self.knows_since_ms = now_ms
        self.client.record_answer(self.state, self.host.named)

    async def stop(self) -> None:
        """Stop the gateway."""
        await self.group.tasks.cancel()


class Fleet(KeeperCluster):
    """Keepers and gateways of one limited host.

    Attributes:
        host: the host.
        gateways: the running gateways.
        rng: draws the times of calls.
        begun_ms: when the load began.
    """

    def __init__(self, per_second: float | None = LIMIT_PER_S, seed: int = 1) -> None:
        """Create a fleet without processes."""
        super().__init__()
        self.host = CountingHost(per_second)
        self.gateways: list[LoadedGateway] = []
        self.rng = random.Random(seed)
        self.begun_ms = 0.0

    def add_gateway(self) -> LoadedGateway:
        """Start a gateway without load."""
        number = len(self.gateways)
        zone = ZONES[number % len(ZONES)]
        gateway = LoadedGateway(self, f'g{number}', zone, self.host)
        self.gateways.append(gateway)
        return gateway

    async def start(self, size: int) -> None:
        """Start three keepers and gateways without load."""
        await self.start_three()
        for _ in range(size):
            self.add_gateway()
        await self.wait(SETTLE_MS + 500)

    def start_load(self, per_second: float) -> None:
        """Start the load: the first gateway has about half of it, and so on."""
        self.begun_ms = self.clock.now_ms()
        weights = [1 / (number + 1) for number in range(len(self.gateways))]
        for gateway, weight in zip(self.gateways, weights, strict=True):
            gateway.start_load(per_second * weight / sum(weights), self.rng)

    async def stop(self) -> None:
        """Stop all processes."""
        for gateway in self.gateways:
            await gateway.stop()
        for name in list(self.keepers):
            await self.kill(name)

    def first_owner(self) -> str:
        """Return the name of the keeper that is asked for permits first."""
        links = self.gateways[0].client.owner_links(self.gateways[0].state)
        return links[0].member.name


class PermitsTest(testtools.TestCase):
    """The sum of what all gateways send, and how much of the limit they use."""

    def check_sum(self, fleet: Fleet, limit_per_s: float = LIMIT_PER_S) -> None:
        """Check that the host never got more than it bears."""
        most = fleet.host.most_in_window(fleet.begun_ms + CONTACT_MS)
        allowed = ALLOWED_FACTOR * limit_per_s * WINDOW_MS / 1000 + ALLOWED_EXTRA
        self.assertTrue(most <= allowed, (most, allowed))

    def check_use(self, fleet: Fleet, limit_per_s: float = LIMIT_PER_S) -> None:
        """Check that most of the limit was used in the last half of the run."""
        now_ms = fleet.clock.now_ms()
        used = fleet.host.rate_per_s(now_ms - RUN_MS / 2, now_ms)
        self.assertTrue(used >= WANTED_USE * limit_per_s, used)
        self.assertTrue(used <= ALLOWED_FACTOR * limit_per_s, used)

    @virtual
    async def test_uneven_demand(self) -> None:
        for size in SIZES:
            for limit in (LIMIT_PER_S, 0.5, 40.0):
                fleet = Fleet(limit)
                await fleet.start(size)
                fleet.start_load(limit * PRESSURE)
                await fleet.wait(RUN_MS * max(1, 1 / limit))
                self.check_sum(fleet, limit)
                if limit > 1:
                    self.check_use(fleet, limit)
                await fleet.stop()

    @virtual
    async def test_idle_gateways_save_nothing(self) -> None:
        for size in SIZES:
            fleet = Fleet()
            await fleet.start(size)
            fleet.start_load(LIMIT_PER_S / 10)
            await fleet.wait(CONTACT_MS + RUN_MS)
            for gateway in fleet.gateways:
                gateway.start_load(LIMIT_PER_S, fleet.rng)
            await fleet.wait(RUN_MS)
            self.check_sum(fleet)
            self.check_use(fleet)
            await fleet.stop()

    @virtual
    async def test_first_owner_dies_and_returns(self) -> None:
        for size in SIZES:
            fleet = Fleet()
            await fleet.start(size)
            fleet.start_load(LIMIT_PER_S * PRESSURE)
            await fleet.wait(RUN_MS / 2)
            owner = fleet.first_owner()
            await fleet.kill(owner)
            await fleet.wait(LEASE_MS / 2)
            await fleet.start_keeper(owner)
            await fleet.wait(RUN_MS)
            self.check_sum(fleet)
            self.check_use(fleet)
            await fleet.stop()

    @virtual
    async def test_others_give_permits_after_a_death(self) -> None:
        fleet = Fleet()
        await fleet.start(SIZES[0])
        fleet.start_load(LIMIT_PER_S * PRESSURE)
        await fleet.wait(RUN_MS)
        await fleet.kill(fleet.first_owner())
        await fleet.wait(RUN_MS)
        self.check_sum(fleet)
        now_ms = fleet.clock.now_ms()
        used = fleet.host.rate_per_s(now_ms - RUN_MS / 2, now_ms)
        # Two of the three owners have two thirds of the limit.
        self.assertTrue(used >= WANTED_USE * LIMIT_PER_S * 2 / 3, used)
        await fleet.stop()

    @virtual
    async def test_all_keepers_return_empty(self) -> None:
        for size in SIZES:
            fleet = Fleet()
            await fleet.start(size)
            fleet.start_load(LIMIT_PER_S * PRESSURE)
            await fleet.wait(RUN_MS / 2)
            for name in 'abc':
                await fleet.kill(name)
            await fleet.wait(500)
            for name in 'abc':
                await fleet.start_keeper(name)
            await fleet.wait(RUN_MS)
            self.check_sum(fleet)
            self.check_use(fleet)
            await fleet.stop()

    @virtual
    async def test_first_owner_is_cut_one_way(self) -> None:
        for direction in (0, 1):
            fleet = Fleet()
            await fleet.start(SIZES[1])
            fleet.start_load(LIMIT_PER_S * PRESSURE)
            await fleet.wait(RUN_MS / 2)
            owner = fleet.first_owner()
            for name in {'a', 'b', 'c'} - {owner}:
                ends = (owner, name) if direction else (name, owner)
                fleet.fabric.cut(*ends)
            for number in range(SIZES[1] // 2):
                gateway = f'g{number}'
                ends = (owner, gateway) if direction else (gateway, owner)
                fleet.fabric.cut(*ends)
            await fleet.wait(RUN_MS)
            fleet.fabric.heal()
            await fleet.wait(RUN_MS)
            self.check_sum(fleet)
            self.check_use(fleet)
            await fleet.stop()

    @virtual
    async def test_frozen_first_owner(self) -> None:
        fleet = Fleet()
        await fleet.start(SIZES[1])
        fleet.start_load(LIMIT_PER_S * PRESSURE)
        await fleet.wait(RUN_MS / 2)
        node = fleet.nodes[fleet.first_owner()]
        node.running.clear()
        await fleet.wait(RUN_MS / 2)
        node.running.set()
        await fleet.wait(RUN_MS)
        self.check_sum(fleet)
        self.check_use(fleet)
        await fleet.stop()

    @virtual
    async def test_gateways_start_and_stop(self) -> None:
        for size in SIZES:
            fleet = Fleet()
            await fleet.start(size)
            fleet.start_load(LIMIT_PER_S * PRESSURE)
            for number in range(8):
                await fleet.wait(RUN_MS / 8)
                await fleet.gateways[number % size].stop()
                added = fleet.add_gateway()
                await fleet.wait(2 * EXCHANGE_INTERVAL_MS)
                added.start_load(LIMIT_PER_S * 2, fleet.rng)
            self.check_sum(fleet)
            self.check_use(fleet)
            await fleet.stop()

    @virtual
    async def test_limit_is_known_before_the_first_request(self) -> None:
        fleet = Fleet()
        await fleet.start(SIZES[0])
        fleet.gateways[0].send()
        await fleet.wait(2 * EXCHANGE_INTERVAL_MS)
        limits = [gateway.limit for gateway in fleet.gateways]
        self.assertEqual([LIMIT_PER_S] * SIZES[0], limits)
        added = fleet.add_gateway()
        await fleet.wait(2 * EXCHANGE_INTERVAL_MS)
        self.assertEqual(LIMIT_PER_S, added.limit)
        await fleet.stop()

    @virtual
    async def test_gateway_that_sends_nothing_hears_of_the_end(self) -> None:
        fleet = Fleet()
        await fleet.start(SIZES[0])
        fleet.gateways[0].send()
        await fleet.wait(2 * EXCHANGE_INTERVAL_MS)
        for named in (NamedLimit(7, ''), None):
            fleet.host.named = named
            fleet.gateways[0].send()
            await fleet.wait(2 * EXCHANGE_INTERVAL_MS)
            expected = None if named is None else named.per_second
            limits = {gateway.limit for gateway in fleet.gateways}
            self.assertEqual({expected}, limits)
        await fleet.stop()

    @virtual
    async def test_news_survives_a_restart_of_all_keepers(self) -> None:
        fleet = Fleet()
        await fleet.start(SIZES[0])
        fleet.gateways[0].send()
        await fleet.wait(2 * EXCHANGE_INTERVAL_MS)
        for name in 'abc':
            await fleet.kill(name)
        for name in 'abc':
            await fleet.start_keeper(name)
        await fleet.wait(4 * EXCHANGE_INTERVAL_MS)
        added = fleet.add_gateway()
        await fleet.wait(2 * EXCHANGE_INTERVAL_MS)
        self.assertEqual(LIMIT_PER_S, added.limit)
        await fleet.stop()

    @virtual
    async def test_gateway_without_keepers_sends_nothing(self) -> None:
        fleet = Fleet()
        await fleet.start(SIZES[0])
        fleet.gateways[0].send()
        for name in 'abc':
            fleet.fabric.cut('g0', name)
            fleet.fabric.cut(name, 'g0')
        await fleet.wait(RUN_MS / 2)
        sent = len(fleet.host.arrivals)
        fleet.gateways[0].start_load(LIMIT_PER_S * PRESSURE, fleet.rng)
        await fleet.wait(RUN_MS)
        self.assertEqual(sent, len(fleet.host.arrivals))
        self.assertTrue(fleet.gateways[0].refused)
        await fleet.stop()

    @virtual
    async def test_limit_that_falls_and_ends(self) -> None:
        fleet = Fleet(20.0)
        await fleet.start(SIZES[1])
        fleet.start_load(20 * PRESSURE)
        await fleet.wait(RUN_MS)
        fleet.host.named = NamedLimit(2, '')
        changed_ms = fleet.clock.now_ms()
        await fleet.wait(RUN_MS)
        most = fleet.host.most_in_window(changed_ms + CONTACT_MS)
        self.assertTrue(most <= ALLOWED_FACTOR * 2 * 4 + ALLOWED_EXTRA, most)
        fleet.host.named = None
        await fleet.wait(RUN_MS)
        limits = {gateway.limit for gateway in fleet.gateways}
        self.assertEqual({None}, limits)
        now_ms = fleet.clock.now_ms()
        rate_per_s = fleet.host.rate_per_s(now_ms - WINDOW_MS, now_ms)
        self.assertTrue(rate_per_s > 20 * PRESSURE / 2, rate_per_s)
        await fleet.stop()

    @virtual
    async def test_host_that_takes_nothing(self) -> None:
        for size in SIZES:
            fleet = Fleet(0)
            await fleet.start(size)
            fleet.start_load(30)
            await fleet.wait(5 * RUN_MS)
            self.check_sum(fleet, 0)
            now_ms = fleet.clock.now_ms()
            rate_per_s = fleet.host.rate_per_s(fleet.begun_ms + CONTACT_MS, now_ms)
            self.assertTrue(0 < rate_per_s < 1, rate_per_s)
            await fleet.stop()

    @virtual
    async def test_host_that_starts_again_has_no_limit(self) -> None:
        fleet = Fleet()
        await fleet.start(SIZES[0])
        gateway = fleet.gateways[0]
        gateway.send()
        fleet.host.registration = fleet.host.registration._replace(started_ms=2)
        gateway.host_table.register(fleet.host.registration, 2)
        self.assertIsNone(gateway.limit)
        await fleet.wait(2 * EXCHANGE_INTERVAL_MS)
        self.assertIsNone(gateway.limit)
        await fleet.stop()

    @virtual
    async def test_unreadable_limit_leaves_the_former_one(self) -> None:
        fleet = Fleet()
        await fleet.start(SIZES[0])
        gateway = fleet.gateways[0]
        gateway.send()
        fleet.host.named = NamedLimit(None, 'soon')
        gateway.send()
        self.assertEqual(LIMIT_PER_S, gateway.limit)
        await fleet.stop()
