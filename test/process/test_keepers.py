"""Tests of keepers and of the gateways that write to them, in virtual time."""

import random
from typing import Any

import testtools

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.policy.quota_bucket import QuotaBound
from pollenwalk.process.departure import Departure
from pollenwalk.process.keeper import Keeper, KeeperSettings
from pollenwalk.process.keeper_daemon import start_membership_tasks
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.process.keeper_links import KeeperLinks
from pollenwalk.process.keeper_members import KEEPERS_PREFIX
from pollenwalk.process.keeper_state import KeeperState
from pollenwalk.process.prefix_watcher import PrefixWatcher, WatchHandlers
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.turn_admission import MAX_PENDING_BYTES
from pollenwalk.process.turn_replication import NEAR_HEDGE_MS
from pollenwalk.program.turns import ReserveTokens, SettleTokens, TurnRecord
from standin.link import REGION_MS, Place
from standin.memory_disk import MemoryDisk
from standin.store import Faults, MemoryStore
from standin.virtual.fabric import Fabric, VirtualNetwork
from standin.virtual.node import Node, NodeClock
from test.helper import virtual

REGIONS = {'a': 'east', 'b': 'east', 'c': 'west', 'd': 'east'}
# More zones, half of them in each region.
REGIONS.update({f'z{number}': ('east', 'west')[number % 2] for number in range(24)})
RETENTION_MS = 60_000.0
# Round trip to another region; the first request takes a second one, for the
# handshake.
ROUND_TRIP_MS = 2 * REGION_MS
SLACK_MS = 10.0


class StatusMemoryStore(MemoryStore):
    """A memory store that records the statuses of objects."""

    statuses: dict[str, Any]

    async def write_status(self, key: str, status: dict[str, Any]) -> None:
        """Record a status."""
        await self.before_write()
        self.statuses[key] = status


class KeeperCluster:
    """A store, keepers and gateways on a network that can be cut.

    Attributes:
        fabric: the virtual network.
        disks: the disks by the names of their keepers; they survive a kill.
        nodes: the node on which each keeper runs.
        keepers: the keepers by name.
        tolerated_losses: how many disks may be lost at the same time.
        quota_bound: how exactly the keepers keep quotas; None if they keep none.
        revocation_ms: time within which revoked keys must be refused; 0 for no bound.
        disk_bytes: size of each disk; 0 for no bound.
    """

    quota_bound: QuotaBound | None = None
    revocation_ms = 0.0
    disk_bytes = 0

    def __init__(self, tolerated_losses: int = 1) -> None:
        """Create a store without keepers."""
        self.tolerated_losses = tolerated_losses
        self.fabric = Fabric()
        self.clock = NodeClock(Node('world', Place('a', 'east')))
        self.store = StatusMemoryStore(self.clock)
        self.store.statuses = {}
        self.disks: dict[str, MemoryDisk] = {}
        self.nodes: dict[str, Node] = {}
        self.keepers: dict[str, Keeper] = {}

    async def start_keeper(self, name: str, first_start: bool = False) -> Keeper:
        """Start a keeper with the disk that belongs to its name."""
        node = Node(name, Place(name, REGIONS[name]))
        clock = NodeClock(node)
        disk = self.disks.setdefault(name, MemoryDisk(clock))
        disk.clock = clock
        settings = KeeperSettings(
            name,
            name,
            REGIONS,
            f'{name}:1',
            first_start,
            self.tolerated_losses,
            self.quota_bound,
            self.revocation_ms,
        )
        network = VirtualNetwork(self.fabric, node)
        state = KeeperState(disk, clock, self.disk_bytes)
        keeper = Keeper(settings, state, self.store_for(node), network, clock)
        await keeper.start()
        start_membership_tasks(keeper, self.store_for(node))
        self.nodes[name] = node
        self.keepers[name] = keeper
        return keeper

    def store_for(self, _: Node) -> StatusMemoryStore:
        """Return the store as a node reaches it."""
        return self.store

    async def start_three(self) -> None:
        """Start three keepers with empty disks."""
        for name in 'abc':
            await self.start_keeper(name, True)
        await self.wait(1000)

    async def kill(self, name: str) -> None:
        """Kill a keeper; its disk remains."""
        node = self.nodes[name]
        node.killed.set()
        await self.keepers[name].tasks.cancel()
        await node.tasks.cancel()
        self.fabric.streams.pop(f'{name}:1', None)

    async def terminate(self, name: str) -> None:
        """Stop a keeper as planned; its host is taken away afterwards."""
        keeper = self.keepers[name]
        await Departure(keeper, self.store_for(self.nodes[name])).run()
        await self.lose_host(name)

    async def lose_host(self, name: str) -> None:
        """Lose a keeper's host for good; its address answers nothing any more."""
        bound = self.fabric.streams[f'{name}:1']
        self.nodes[name].has_host = False
        await self.kill(name)
        self.fabric.streams[f'{name}:1'] = bound

    async def wait(self, duration_ms: float) -> None:
        """Let time pass."""
        await self.clock.sleep_ms(duration_ms)

    def start_group(self, name: str = 'gateway', zone: str = 'a') -> KeeperGroup:
        """Start the part of a gateway that uses the keepers."""
        node = Node(name, Place(zone, REGIONS[zone]))
        clock = NodeClock(node)
        tasks = TaskSet()
        network = VirtualNetwork(self.fabric, node)
        links = KeeperLinks(network, clock, tasks, zone, REGIONS)
        handlers = WatchHandlers(links.members.apply_change, links.members.mark_loaded)
        follower = PrefixWatcher(self.store, clock, KEEPERS_PREFIX, handlers)
        tasks.spawn(follower.run(), 'follow')
        group = KeeperGroup(
            links, clock, tasks, self.tolerated_losses, self.store_for(node)
        )
        group.recent.watcher = follower
        tasks.spawn(group.pauses.run(), 'watch_pauses')
        return group

    async def start_three_with_group(self, zone: str = 'a') -> KeeperGroup:
        """Start three keepers and a gateway that has read their list."""
        await self.start_three()
        group = self.start_group('gateway', zone)
        await self.wait(500)
        return group

    def keepers_with(self, turn: str) -> set[str]:
        """Return the names of the keepers that have a turn on disk."""
        return {
            name
            for name, disk in self.disks.items()
            if any(turn.encode() in record for record in disk.records)
        }


def make_record(turn: str, previous: str = '') -> TurnRecord:
    """Return the record of a turn."""
    text = turn.encode()
    return TurnRecord(turn, 'p', previous, text, text, 5, RETENTION_MS, [])


async def clear_cache(group: KeeperGroup) -> None:
    """Empty a gateway's cache of turns."""
    for turn in list(group.chains.cache.records):
        group.chains.cache.remove(turn)


class ReplicationTest(testtools.TestCase):
    """A turn is stored once it is on enough disks."""

    @virtual
    async def test_turn_is_stored_on_two_near_disks(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        before_ms = cluster.clock.now_ms()
        await group.store_turn(make_record('t1'))
        self.assertTrue(cluster.clock.now_ms() - before_ms < 10)
        self.assertEqual({'a', 'b'}, cluster.keepers_with('t1'))

    @virtual
    async def test_dead_keeper_is_replaced_by_another(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await cluster.kill('b')
        await group.store_turn(make_record('t1'))
        self.assertEqual({'a', 'c'}, cluster.keepers_with('t1'))

    @virtual
    async def test_unresponsive_keeper_is_replaced_by_another(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await group.store_turn(make_record('t0'))
        cluster.fabric.cut('gateway', 'b')
        before_ms = cluster.clock.now_ms()
        await group.store_turn(make_record('t1'))
        took_ms = cluster.clock.now_ms() - before_ms
        self.assertTrue(took_ms < NEAR_HEDGE_MS + 2 * ROUND_TRIP_MS + SLACK_MS)
        self.assertEqual({'a', 'c'}, cluster.keepers_with('t1'))

    @virtual
    async def test_turn_is_refused_with_too_few_keepers(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await cluster.kill('b')
        await cluster.kill('c')
        with testtools.ExpectedException(Refusal):
            await group.store_turn(make_record('t1'))

    @virtual
    async def test_keeper_with_a_slow_disk_is_passed_over(self) -> None:
        # Guards against turns that pile up in the memory of a keeper whose disk is slow.
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        cluster.disks['a'].pending_bytes = MAX_PENDING_BYTES + 1
        await group.store_turn(make_record('t1'))
        self.assertEqual({'b', 'c'}, cluster.keepers_with('t1'))
        self.assertEqual(0, group.links.without_majority_ms)

    @virtual
    async def test_lost_keeper_is_used_again(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await cluster.kill('b')
        await cluster.kill('c')
        with testtools.ExpectedException(Refusal):
            await group.store_turn(make_record('t1'))
        self.assertTrue(group.links.without_majority_ms >= 0)
        await cluster.start_keeper('b')
        await cluster.wait(1500)
        await group.store_turn(make_record('t2'))
        self.assertEqual(0, group.links.without_majority_ms)


class ChainsTest(testtools.TestCase):
    """Chains are found whichever gateways and keepers stored them."""

    @virtual
    async def test_another_gateway_finds_the_chain(self) -> None:
        cluster = KeeperCluster()
        await cluster.start_three()
        first = cluster.start_group()
        second = cluster.start_group('other', 'c')
        await cluster.wait(500)
        await first.store_turn(make_record('t1'))
        await first.store_turn(make_record('t2', 't1'))
        await second.store_turn(make_record('t3', 't2'))
        chain = await second.chains.load('t3')
        self.assertEqual(['t1', 't2', 't3'], [one.turn for one in chain])

    @virtual
    async def test_chain_survives_a_restart_of_all_keepers(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await group.store_turn(make_record('t1'))
        await clear_cache(group)
        for name in 'abc':
            await cluster.kill(name)
        for name in 'abc':
            await cluster.start_keeper(name)
        await cluster.wait(2000)
        chain = await group.chains.load('t1')
        self.assertEqual(['t1'], [one.turn for one in chain])

    @virtual
    async def test_unknown_only_if_enough_keepers_confirm(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        codes = []
        for victim in ('none', 'c', 'b'):
            if victim != 'none':
                await cluster.kill(victim)
            try:
                await group.chains.load('never')
            except Refusal as refusal:
                codes.append(refusal.code)
        self.assertEqual(
            [
                RefusalCode.UNKNOWN_TURN,
                RefusalCode.UNKNOWN_TURN,
                RefusalCode.KEEPERS_UNAVAILABLE,
            ],
            codes,
        )

    @virtual
    async def test_keeper_with_empty_disk_does_not_deny_turns(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group('c')
        await group.store_turn(make_record('t1'))
        await clear_cache(group)
        self.assertEqual({'c', 'a'}, cluster.keepers_with('t1'))
        for name in 'ac':
            await cluster.kill(name)
        cluster.disks['a'].wipe()
        await cluster.start_keeper('a')
        await cluster.wait(500)
        error = None
        try:
            await group.chains.load('t1')
        except Refusal as refusal:
            error = refusal
        assert error is not None
        self.assertEqual(RefusalCode.KEEPERS_UNAVAILABLE, error.code)


class MembershipTest(testtools.TestCase):
    """Lost disks, keepers that join, are replaced or retire, and compaction."""

    @virtual
    async def test_wiped_disk_is_restored(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await group.store_turn(make_record('t1'))
        await clear_cache(group)
        await cluster.kill('a')
        cluster.disks['a'].wipe()
        keeper = await cluster.start_keeper('a')
        await cluster.wait(2000)
        self.assertTrue(keeper.state.complete)
        self.assertEqual({'a', 'b'}, cluster.keepers_with('t1'))
        await cluster.kill('b')
        chain = await group.chains.load('t1')
        self.assertEqual(['t1'], [one.turn for one in chain])

    @virtual
    async def test_many_records_are_fetched_across_regions(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        for number in range(150):
            large = make_record(f't{number}')._replace(input=b'x' * 80_000)
            await group.store_turn(large)
        await cluster.kill('c')
        cluster.disks['c'].wipe()
        keeper = await cluster.start_keeper('c')
        # 12 MB from each of two keepers at 15 Mbit/s.
        await cluster.wait(20_000)
        self.assertTrue(keeper.state.complete)

    @virtual
    async def test_new_keeper_replaces_a_dead_one(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await group.store_turn(make_record('t1'))
        await cluster.kill('a')
        await cluster.start_keeper('d')
        await cluster.wait(6000)
        self.assertEqual({'b', 'c', 'd'}, set(group.links.members.by_name))
        self.assertEqual({'a', 'b', 'd'}, cluster.keepers_with('t1'))

    @virtual
    async def test_removed_keeper_registers_again(self) -> None:
        cluster = KeeperCluster()
        await cluster.start_three()
        cluster.fabric.cut('d', 'a')
        cluster.fabric.cut('a', 'd')
        await cluster.start_keeper('d')
        await cluster.wait(6000)
        cluster.fabric.heal()
        await cluster.wait(1000)
        listed = {key.partition('/')[2] for key in cluster.store.objects}
        self.assertEqual({'a', 'b', 'c', 'd'}, listed)

    @virtual
    async def test_overwritten_keeper_registers_again(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        for odd in (b'[' * 100_000, b'{"name":"b","address":"b:99999","zone":"b"}'):
            await cluster.store.put('keepers/b', odd, None)
            await cluster.wait(1000)
            self.assertEqual(
                cluster.keepers['b'].own_member, group.links.members.by_name['b']
            )
            self.assertNotEqual(odd, cluster.store.objects['keepers/b'].body)

    @virtual
    async def test_retired_keeper_is_not_needed(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await group.store_turn(make_record('t1'))
        await clear_cache(group)
        await cluster.store.put('retirements/a', b'{"duration_s": 8}', None)
        await cluster.wait(4000)
        self.assertEqual('completed', cluster.store.statuses['retirements/a']['state'])
        self.assertEqual({'b', 'c'}, set(group.links.members.by_name))
        await cluster.kill('a')
        await cluster.kill('b')
        cluster.disks['b'].wipe()
        chain = await group.chains.load('t1')
        self.assertEqual(['t1'], [one.turn for one in chain])

    @virtual
    async def test_retiring_keeper_accepts_no_turns(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        cluster.keepers['a'].own_member = cluster.keepers['a'].own_member._replace(
            retiring=True
        )
        await group.store_turn(make_record('t1'))
        self.assertEqual({'b', 'c'}, cluster.keepers_with('t1'))
        self.assertEqual(0, group.links.without_majority_ms)

    @virtual
    async def test_retirement_despite_failed_store_writes(self) -> None:
        cluster = KeeperCluster()
        await cluster.start_three()
        await cluster.store.put('retirements/a', b'{"duration_s": 8}', None)
        await cluster.wait(100)
        cluster.store.faults = Faults(fail_writes=5)
        await cluster.wait(8000)
        self.assertEqual('completed', cluster.store.statuses['retirements/a']['state'])

    @virtual
    async def test_compaction_removes_expired_turns(self) -> None:
        cluster = KeeperCluster()
        await cluster.start_three()
        keeper = cluster.keepers['a']
        for number in range(20):
            await keeper.state.store_record(make_record(f't{number}'))
        await cluster.wait(RETENTION_MS * 3)
        await keeper.state.store_record(make_record('young'))
        cluster.disks['a'].begin_segment()
        await keeper.state.compact()
        self.assertEqual(1, len(keeper.state.turns))
        left = [one for one in cluster.disks['a'].records if b't1' in one]
        self.assertEqual([], left)


class BudgetsTest(testtools.TestCase):
    """Token accounts as a majority of the keepers has them."""

    @virtual
    async def test_any_two_majorities_share_a_keeper(self) -> None:
        rng = random.Random(5)
        for _ in range(20):
            cluster = KeeperCluster()
            await cluster.start_three()
            group = cluster.start_group()
            await cluster.wait(500)
            victims = rng.sample('abc', 2)
            cluster.fabric.cut('gateway', victims[0])
            await self.reserve(group, 't1')
            cluster.fabric.heal()
            await cluster.wait(9000)
            cluster.fabric.cut('gateway', victims[1])
            known = await self.reserve(group, 't2')
            self.assertIn('t1', known)
            await group.tasks.cancel()

    @virtual
    async def test_settled_tokens_survive_a_restart(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await self.reserve(group, 't1')
        group.settle(SettleTokens('p', 't1', 7, RETENTION_MS), {'a', 'b', 'c'})
        await cluster.wait(500)
        await cluster.kill('a')
        keeper = await cluster.start_keeper('a')
        entry = keeper.state.ledger.accounts['p'].entries['t1']
        self.assertEqual((7, True), (entry.tokens, entry.settled))

    async def reserve(self, group: KeeperGroup, turn: str) -> set[str]:
        """Reserve at a majority; return the turns that it has entries of."""
        known: set[str] = set()
        answers = 0
        message = ReserveTokens('p', turn, 10, RETENTION_MS)
        async for spent in group.request_all(message):
            answers += 1
            known |= {entry.turn for entry in spent.entries}
            if answers >= group.links.majority:
                return known
        raise AssertionError('no majority')
