"""Quotas of organisations: many gateways and three keepers, in virtual time.

The keepers and the clients of the gateways are the real ones. What is let through is
counted in all sliding windows; nothing may exceed the bound, whichever process fails.
"""

import random
from bisect import bisect_right
from itertools import count, product

import testtools

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.policy.quota_bucket import QuotaBound
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.quota_client import QuotaClient
from pollenwalk.process.quota_shares import QUOTA_LEASE_MS
from pollenwalk.process.share_ownership import SETTLE_MS
from pollenwalk.request.gateway_call import Call
from pollenwalk.request.http_messages import Request, RequestMetadata
from pollenwalk.version.organisations import Organisation
from test.helper import virtual
from test.process.test_keepers import KeeperCluster
from test.request.test_forwarding import ROUTE

BOUND = QuotaBound(5000, 0.1, 20)
ORGANISATION = Organisation('hule', rate_per_s=20, burst=20)
ZONES = 'abcd'
SIZES = (4, 26, 60)
RUN_MS = 12_000.0
TIMEOUT_MS = 2000.0
# Share of what is owed that must be let through.
WANTED_USE = 0.95
NUMBERS = count()


class QuotaGateway:
    """The part of a gateway that obtains tokens, under load.

    Attributes:
        refused: codes of the refusals.
    """

    def __init__(self, fleet: 'QuotaFleet', name: str, zone: str) -> None:
        """Create a gateway without load."""
        self.fleet = fleet
        self.group = fleet.start_group(name, zone)
        self.clock = self.group.clock
        self.metrics = GatewayMetrics()
        self.client = QuotaClient(self.group, self.metrics, name, BOUND.window_ms)
        self.group.tasks.spawn(self.client.run(), 'return_quotas')
        self.refused: list[RefusalCode] = []

    def start_load(self, per_second: float, begins: bool = False) -> None:
        """Make calls at random times until the gateway is stopped."""
        self.group.tasks.spawn(self.make_calls(per_second, begins), 'load')

    async def make_calls(self, per_second: float, begins: bool) -> None:
        """Make calls at random times."""
        while True:
            await self.clock.sleep_ms(self.fleet.rng.expovariate(per_second) * 1000)
            self.group.tasks.spawn(self.call(begins), 'call')

    async def call(self, begins: bool = False) -> bool:
        """Make one call; return whether it was let through."""
        call = self.fleet.make_call(self.clock.now_ms())
        try:
            await self.client.obtain(call, begins)
        except Refusal as refusal:
            self.refused.append(refusal.code)
            return False
        await self.client.pay(call)
        self.client.release(call)
        self.fleet.sent_ms.append(self.fleet.clock.now_ms())
        return True

    async def stop(self) -> None:
        """Stop the gateway."""
        await self.group.tasks.cancel()


class QuotaFleet(KeeperCluster):
    """Keepers and gateways of one organisation.

    Attributes:
        organisation: its quota.
        version: version of the configuration that declares it.
        gateways: the running gateways.
        sent_ms: when calls were let through.
    """

    quota_bound = BOUND

    def __init__(self, organisation: Organisation = ORGANISATION) -> None:
        """Create a fleet without processes."""
        super().__init__()
        self.organisation = organisation
        self.version = 1
        self.gateways: list[QuotaGateway] = []
        self.rng = random.Random(1)
        self.sent_ms: list[float] = []

    def make_call(self, now_ms: float) -> Call:
        """Return a call of the organisation that arrives now."""
        metadata = RequestMetadata(f'r{next(NUMBERS)}')
        request = Request(b'GET', b'/p/', '/p/', 'h', [], b'', metadata, now_ms)
        return Call(
            request,
            ROUTE,
            'up',
            self.version,
            now_ms + TIMEOUT_MS,
            1,
            self.organisation,
        )

    async def start(self, size: int) -> None:
        """Start three keepers and gateways without load; wait until both serve."""
        await self.start_three()
        for number in range(size):
            zone = ZONES[number % len(ZONES)]
            self.gateways.append(QuotaGateway(self, f'g{number}', zone))
        await self.wait(SETTLE_MS + QUOTA_LEASE_MS)

    def load_all(self, per_second: float, begins: bool = False) -> None:
        """Start the same load at all gateways."""
        for gateway in self.gateways:
            gateway.start_load(per_second / len(self.gateways), begins)

    def first_owner(self) -> str:
        """Return the name of the keeper that is asked first."""
        client = self.gateways[-1].client
        return client.owner_links(self.organisation.name)[0].member.name

    def most_in_window(self) -> int:
        """Return the most calls that were let through within a window."""
        return most_within(BOUND.window_ms, self.sent_ms)

    def served_since(self, begin_ms: float) -> float:
        """Return the rate of calls let through since a time, by the quota's rate."""
        passed_s = (self.clock.now_ms() - begin_ms) / 1000
        served = sum(at_ms >= begin_ms for at_ms in self.sent_ms)
        return served / passed_s / self.organisation.rate_per_s

    async def stop(self) -> None:
        """Stop all processes."""
        for gateway in self.gateways:
            await gateway.stop()
        for name in list(self.keepers):
            await self.kill(name)


def most_within(window_ms: float, times_ms: list[float]) -> int:
    """Return the most of some times that lie within a window."""
    ordered = sorted(times_ms)
    ends = (bisect_right(ordered, at_ms + window_ms) for at_ms in ordered)
    return max((end - begin for begin, end in enumerate(ends)), default=0)


class QuotasTest(testtools.TestCase):
    """The sum of what all gateways let through, and how much of the quota they use."""

    def check_sum(self, fleet: QuotaFleet) -> None:
        """Check that no window had more calls than the bound allows."""
        quota = fleet.organisation
        allowed = BOUND.most(quota.rate_per_s, quota.burst)
        most = fleet.most_in_window()
        self.assertTrue(most <= allowed, (most, allowed))

    async def check_use(self, fleet: QuotaFleet, wanted: float = WANTED_USE) -> None:
        """Check that nearly all of the quota is used."""
        begin_ms = fleet.clock.now_ms()
        await fleet.wait(RUN_MS)
        served = fleet.served_since(begin_ms)
        self.assertTrue(served >= wanted, (served, len(fleet.gateways)))

    @virtual
    async def test_demand_above_the_quota(self) -> None:
        # Tokens that expire unused, or wait in a bucket, would lose a part of it.
        quotas = (ORGANISATION, Organisation('b', rate_per_s=1, burst=5))
        for size, quota, by_one in product(SIZES, quotas, (False, True)):
            fleet = QuotaFleet(quota)
            await fleet.start(size)
            demand = quota.rate_per_s * 4
            if by_one:
                fleet.gateways[2].start_load(demand)
            else:
                fleet.load_all(demand)
            await fleet.wait(RUN_MS / 2)
            await self.check_use(fleet)
            self.check_sum(fleet)
            await fleet.stop()

    @virtual
    async def test_new_programs_only(self) -> None:
        # The number of requests of a program must be learned, or most is unused.
        fleet = QuotaFleet()
        await fleet.start(SIZES[0])
        fleet.load_all(80, begins=True)
        await fleet.wait(RUN_MS)
        await self.check_use(fleet)
        self.check_sum(fleet)
        await fleet.stop()

    @virtual
    async def test_nothing_is_refused_below_the_quota(self) -> None:
        for size in SIZES:
            fleet = QuotaFleet()
            await fleet.start(size)
            fleet.load_all(ORGANISATION.rate_per_s / 2)
            await fleet.wait(2 * RUN_MS)
            refused = [code for one in fleet.gateways for code in one.refused]
            self.assertEqual([], refused)
            await fleet.stop()

    @virtual
    async def test_first_owner_dies(self) -> None:
        for size in SIZES:
            fleet = QuotaFleet()
            await fleet.start(size)
            fleet.load_all(ORGANISATION.rate_per_s * 4)
            await fleet.wait(RUN_MS)
            owner = fleet.first_owner()
            await fleet.kill(owner)
            await fleet.wait(QUOTA_LEASE_MS + 500)
            await self.check_use(fleet, WANTED_USE * 2 / 3)
            await fleet.start_keeper(owner)
            await fleet.wait(2 * SETTLE_MS)
            await self.check_use(fleet)
            self.check_sum(fleet)
            await fleet.stop()

    @virtual
    async def test_frozen_owner_and_gateway(self) -> None:
        # What they held before must not be used after they wake.
        fleet = QuotaFleet()
        await fleet.start(SIZES[0])
        fleet.load_all(ORGANISATION.rate_per_s * 4)
        await fleet.wait(RUN_MS)
        nodes = fleet.nodes[fleet.first_owner()], fleet.gateways[0].clock.node
        for node in nodes:
            node.running.clear()
            await fleet.wait(RUN_MS / 4)
            node.running.set()
            await fleet.wait(RUN_MS / 4)
        self.check_sum(fleet)
        await fleet.stop()

    @virtual
    async def test_cuts_in_one_direction(self) -> None:
        # Answers or questions are lost, and owners lose the majority.
        for direction in (0, 1):
            fleet = QuotaFleet()
            await fleet.start(SIZES[1])
            fleet.load_all(ORGANISATION.rate_per_s * 4)
            await fleet.wait(RUN_MS / 2)
            owner = fleet.first_owner()
            others = [name for name in 'abc' if name != owner]
            others.extend(f'g{number}' for number in range(SIZES[1] // 2))
            for name in others:
                ends = (owner, name) if direction else (name, owner)
                fleet.fabric.cut(*ends)
            await fleet.wait(RUN_MS)
            fleet.fabric.heal()
            await fleet.wait(RUN_MS)
            await self.check_use(fleet)
            self.check_sum(fleet)
            await fleet.stop()

    @virtual
    async def test_gateway_without_owners_can_not_know(self) -> None:
        fleet = QuotaFleet()
        await fleet.start(SIZES[0])
        gateway = fleet.gateways[0]
        for name in 'abc':
            fleet.fabric.cut('g0', name)
            fleet.fabric.cut(name, 'g0')
        await fleet.wait(RUN_MS / 2)
        for begins in (False, True):
            self.assertFalse(await gateway.call(begins))
        self.assertEqual({RefusalCode.QUOTA_UNKNOWN}, set(gateway.refused))
        await fleet.stop()

    @virtual
    async def test_lowered_quota(self) -> None:
        fleet = QuotaFleet()
        await fleet.start(SIZES[1])
        fleet.load_all(ORGANISATION.rate_per_s * 4)
        await fleet.wait(RUN_MS)
        fleet.organisation = ORGANISATION._replace(rate_per_s=4, burst=4)
        fleet.version = 2
        await fleet.wait(BOUND.window_ms)
        fleet.sent_ms.clear()
        await fleet.wait(RUN_MS)
        self.check_sum(fleet)
        await fleet.stop()

    @virtual
    async def test_random_failures(self) -> None:
        for seed in range(12):
            fleet = QuotaFleet()
            fleet.rng.seed(seed)
            await fleet.start(SIZES[0])
            fleet.load_all(ORGANISATION.rate_per_s * 4)
            for _ in range(12):
                await self.disturb(fleet)
                await fleet.wait(fleet.rng.uniform(100, 3000))
            self.check_sum(fleet)
            await fleet.stop()

    async def disturb(self, fleet: QuotaFleet) -> None:
        """Kill, start, freeze or wake a keeper, or cut or heal a path."""
        rng = fleet.rng
        name = rng.choice('abc')
        node = fleet.nodes[name]
        action = rng.choice(('life', 'freeze', 'cut', 'heal'))
        if action == 'life':
            change = fleet.start_keeper if node.dead else fleet.kill
            await change(name)
        elif action == 'freeze':
            node.running.set()
            if rng.random() > 0.5:
                node.running.clear()
        elif action == 'cut':
            fleet.fabric.cut(name, rng.choice(['a', 'b', 'c', 'g0', 'g1']))
        else:
            fleet.fabric.heal()

    @virtual
    async def test_steady_demand_finds_tokens_at_hand(self) -> None:
        # A question to another region takes 60 ms, in which nobody should wait.
        fleet = QuotaFleet(Organisation('c', rate_per_s=100, burst=100))
        await fleet.start(SIZES[0])
        gateway = fleet.gateways[0 if fleet.first_owner() == 'c' else 2]
        gateway.start_load(30)
        await fleet.wait(RUN_MS)
        waited = 0
        for _ in range(100):
            await fleet.wait(50)
            begin_ms = fleet.clock.now_ms()
            self.assertTrue(await gateway.call())
            waited += fleet.clock.now_ms() > begin_ms
        self.assertTrue(waited <= 10, waited)
        await fleet.stop()

    @virtual
    async def test_token_of_an_unsent_request_is_put_back(self) -> None:
        # Requests that are refused for another reason must not use up the quota.
        fleet = QuotaFleet()
        await fleet.start(SIZES[0])
        client = fleet.gateways[0].client
        first = fleet.make_call(fleet.clock.now_ms())
        await client.obtain(first, begins_program=False)
        client.release(first)
        state = client.by_organisation[ORGANISATION.name]
        self.assertEqual((1, {}), (state.held, client.unsent))
        await client.obtain(first, begins_program=False)
        self.assertTrue(await client.pay(first))
        client.release(first)
        self.assertEqual((0, {}), (state.held, client.unsent))
        await fleet.stop()

    @virtual
    async def test_each_further_send_takes_a_token(self) -> None:
        fleet = QuotaFleet()
        await fleet.start(SIZES[0])
        gateway = fleet.gateways[0]
        call = fleet.make_call(fleet.clock.now_ms())
        await gateway.client.obtain(call, begins_program=False)
        for _ in range(3):
            self.assertTrue(await gateway.client.pay(call))
        used = gateway.metrics.quota_tokens_total.get({'outcome': 'used'})
        self.assertEqual(3, used)
        await fleet.stop()
