"""Keepers and the gateways that write to them, in virtual time."""

import random
from typing import Any

import testtools

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.joining import Joining
from pollenwalk.process.keeper import Keeper, KeeperSettings
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.process.keeper_links import KeeperLinks
from pollenwalk.process.keeper_members import KEEPERS_PREFIX
from pollenwalk.process.keeper_state import KeeperState
from pollenwalk.process.prefix_watcher import PrefixWatcher, WatchHandlers
from pollenwalk.process.retirement import Retirement
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.turn_replication import NEAR_HEDGE_MS
from pollenwalk.program.turns import ReserveTokens, SettleTokens, TurnRecord
from standin.link import REGION_MS, Place
from standin.memory_disk import MemoryDisk
from standin.store import Faults, MemoryStore
from standin.virtual.fabric import Fabric, VirtualNetwork
from standin.virtual.node import Node, NodeClock
from test.helper import virtual

REGIONS = {'a': 'east', 'b': 'east', 'c': 'west', 'd': 'east'}
RETENTION_MS = 60_000.0
# A keeper in another region that was not asked before is greeted first.
ROUND_TRIP_MS = 2 * REGION_MS
SLACK_MS = 10.0


class StatusMemoryStore(MemoryStore):
    """A memory store that takes statuses."""

    statuses: dict[str, Any]

    async def write_status(self, key: str, status: dict[str, Any]) -> None:
        """Keep a status."""
        await self.before_write()
        self.statuses[key] = status


class World:
    """A store, keepers and gateways with paths that can be cut."""

    def __init__(self) -> None:
        """Start with nothing but the store."""
        self.fabric = Fabric()
        self.clock = NodeClock(Node('world', Place('a', 'east')))
        self.store = StatusMemoryStore(self.clock)
        self.store.statuses = {}
        self.disks: dict[str, MemoryDisk] = {}
        self.nodes: dict[str, Node] = {}
        self.keepers: dict[str, Keeper] = {}

    async def keeper(self, name: str, first_start: bool = False) -> Keeper:
        """Start a keeper on the disk of its name."""
        node = Node(name, Place(name, REGIONS[name]))
        clock = NodeClock(node)
        disk = self.disks.setdefault(name, MemoryDisk(clock))
        disk.clock = clock
        settings = KeeperSettings(name, name, REGIONS, f'{name}:1', first_start, 1)
        network = VirtualNetwork(self.fabric, node)
        state = KeeperState(disk, clock)
        keeper = Keeper(settings, state, self.store, network, clock)
        await keeper.start()
        if not state.complete:
            keeper.tasks.spawn(Joining(keeper).run(), 'join')
        retirement = Retirement(keeper, self.store)
        keeper.tasks.spawn(retirement.watch_requests(), 'retirement')
        self.nodes[name] = node
        self.keepers[name] = keeper
        return keeper

    async def three(self) -> None:
        """Start three keepers with empty disks."""
        for name in 'abc':
            await self.keeper(name, True)
        await self.wait(1000)

    async def kill(self, name: str) -> None:
        """Kill a keeper; its disk remains."""
        node = self.nodes[name]
        node.killed.set()
        await self.keepers[name].tasks.cancel()
        await node.tasks.cancel()
        self.fabric.streams.pop(f'{name}:1', None)

    async def wait(self, duration_ms: float) -> None:
        """Let time pass."""
        await self.clock.sleep_ms(duration_ms)

    def group(self, name: str = 'gateway', zone: str = 'a') -> KeeperGroup:
        """Start the keepers' side of a gateway."""
        node = Node(name, Place(zone, REGIONS[zone]))
        clock = NodeClock(node)
        tasks = TaskSet()
        network = VirtualNetwork(self.fabric, node)
        links = KeeperLinks(network, clock, tasks, zone, REGIONS)
        handlers = WatchHandlers(links.members.apply_change, links.members.mark_loaded)
        follower = PrefixWatcher(self.store, clock, KEEPERS_PREFIX, handlers)
        tasks.spawn(follower.run(), 'follow')
        return KeeperGroup(links, clock, tasks, 1)

    async def three_and_group(self, zone: str = 'a') -> KeeperGroup:
        """Start three keepers and a gateway that has found them."""
        await self.three()
        group = self.group('gateway', zone)
        await self.wait(500)
        return group

    def replicas(self, turn: str) -> set[str]:
        """Name the keepers on whose disks a turn is."""
        return {
            name
            for name, disk in self.disks.items()
            if any(turn.encode() in record for record in disk.records)
        }


def record(turn: str, previous: str = '') -> TurnRecord:
    """Make a turn."""
    text = turn.encode()
    return TurnRecord(turn, 'p', previous, text, text, 5, RETENTION_MS, [])


async def forget(group: KeeperGroup) -> None:
    """Make a gateway forget what it remembers."""
    for turn in list(group.cache.records):
        group.cache.remove(turn)


class CopiesTest(testtools.TestCase):
    """A turn counts once enough disks have it."""

    @virtual
    async def test_two_near_disks(self) -> None:
        world = World()
        group = await world.three_and_group()
        before_ms = world.clock.now_ms()
        await group.store_turn(record('t1'))
        self.assertTrue(world.clock.now_ms() - before_ms < 10)
        self.assertEqual({'a', 'b'}, world.replicas('t1'))

    @virtual
    async def test_a_dead_keeper_is_passed_over(self) -> None:
        world = World()
        group = await world.three_and_group()
        await world.kill('b')
        await group.store_turn(record('t1'))
        self.assertEqual({'a', 'c'}, world.replicas('t1'))

    @virtual
    async def test_a_silent_keeper_is_passed_over(self) -> None:
        world = World()
        group = await world.three_and_group()
        await group.store_turn(record('t0'))
        world.fabric.cut('gateway', 'b')
        before_ms = world.clock.now_ms()
        await group.store_turn(record('t1'))
        took_ms = world.clock.now_ms() - before_ms
        self.assertTrue(took_ms < NEAR_HEDGE_MS + 2 * ROUND_TRIP_MS + SLACK_MS)
        self.assertEqual({'a', 'c'}, world.replicas('t1'))

    @virtual
    async def test_too_few_keepers(self) -> None:
        world = World()
        group = await world.three_and_group()
        await world.kill('b')
        await world.kill('c')
        with testtools.ExpectedException(Refusal):
            await group.store_turn(record('t1'))

    @virtual
    async def test_a_lost_keeper_is_regained(self) -> None:
        world = World()
        group = await world.three_and_group()
        await world.kill('b')
        await world.kill('c')
        with testtools.ExpectedException(Refusal):
            await group.store_turn(record('t1'))
        self.assertTrue(group.links.without_majority_ms >= 0)
        await world.keeper('b')
        await world.wait(1500)
        await group.store_turn(record('t2'))
        self.assertEqual(0, group.links.without_majority_ms)


class ChainsTest(testtools.TestCase):
    """Turns are found wherever they were written."""

    @virtual
    async def test_another_gateway_finds_the_chain(self) -> None:
        world = World()
        await world.three()
        first = world.group()
        second = world.group('other', 'c')
        await world.wait(500)
        await first.store_turn(record('t1'))
        await first.store_turn(record('t2', 't1'))
        await second.store_turn(record('t3', 't2'))
        chain = await second.load_chain('t3')
        self.assertEqual(['t1', 't2', 't3'], [one.turn for one in chain])

    @virtual
    async def test_after_all_were_killed(self) -> None:
        world = World()
        group = await world.three_and_group()
        await group.store_turn(record('t1'))
        await forget(group)
        for name in 'abc':
            await world.kill(name)
        for name in 'abc':
            await world.keeper(name)
        await world.wait(2000)
        chain = await group.load_chain('t1')
        self.assertEqual(['t1'], [one.turn for one in chain])

    @virtual
    async def test_unknown_only_with_certainty(self) -> None:
        world = World()
        group = await world.three_and_group()
        codes = []
        for victim in ('none', 'c', 'b'):
            if victim != 'none':
                await world.kill(victim)
            try:
                await group.load_chain('never')
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
    async def test_an_empty_disk_never_says_no(self) -> None:
        world = World()
        group = await world.three_and_group('c')
        await group.store_turn(record('t1'))
        await forget(group)
        self.assertEqual({'c', 'a'}, world.replicas('t1'))
        for name in 'ac':
            await world.kill(name)
        world.disks['a'].wipe()
        await world.keeper('a')
        await world.wait(500)
        error = None
        try:
            await group.load_chain('t1')
        except Refusal as refusal:
            error = refusal
        assert error is not None
        self.assertEqual(RefusalCode.KEEPERS_UNAVAILABLE, error.code)


class DisksTest(testtools.TestCase):
    """Lost disks and hosts that leave."""

    @virtual
    async def test_a_wiped_disk_is_filled_again(self) -> None:
        world = World()
        group = await world.three_and_group()
        await group.store_turn(record('t1'))
        await forget(group)
        await world.kill('a')
        world.disks['a'].wipe()
        keeper = await world.keeper('a')
        await world.wait(2000)
        self.assertTrue(keeper.state.complete)
        self.assertEqual({'a', 'b'}, world.replicas('t1'))
        await world.kill('b')
        chain = await group.load_chain('t1')
        self.assertEqual(['t1'], [one.turn for one in chain])

    @virtual
    async def test_a_new_keeper_replaces_one_that_is_gone(self) -> None:
        world = World()
        group = await world.three_and_group()
        await group.store_turn(record('t1'))
        await world.kill('a')
        await world.keeper('d')
        await world.wait(6000)
        self.assertEqual({'b', 'c', 'd'}, set(group.links.members.by_name))
        self.assertEqual({'a', 'b', 'd'}, world.replicas('t1'))

    @virtual
    async def test_one_that_was_only_cut_off_comes_back(self) -> None:
        world = World()
        await world.three()
        world.fabric.cut('d', 'a')
        world.fabric.cut('a', 'd')
        await world.keeper('d')
        await world.wait(6000)
        world.fabric.heal()
        await world.wait(1000)
        listed = {key.partition('/')[2] for key in world.store.objects}
        self.assertEqual({'a', 'b', 'c', 'd'}, listed)

    @virtual
    async def test_a_retired_keeper_is_not_needed(self) -> None:
        world = World()
        group = await world.three_and_group()
        await group.store_turn(record('t1'))
        await forget(group)
        await world.store.put('retirements/a', b'{"duration_s": 8}', None)
        await world.wait(4000)
        self.assertEqual('completed', world.store.statuses['retirements/a']['state'])
        self.assertEqual({'b', 'c'}, set(group.links.members.by_name))
        await world.kill('a')
        await world.kill('b')
        world.disks['b'].wipe()
        chain = await group.load_chain('t1')
        self.assertEqual(['t1'], [one.turn for one in chain])

    @virtual
    async def test_a_retiring_keeper_takes_no_turns(self) -> None:
        world = World()
        group = await world.three_and_group()
        world.keepers['a'].own_member = world.keepers['a'].own_member._replace(
            retiring=True
        )
        await group.store_turn(record('t1'))
        self.assertEqual({'b', 'c'}, world.replicas('t1'))
        self.assertEqual(0, group.links.without_majority_ms)

    @virtual
    async def test_retirement_while_the_store_is_away(self) -> None:
        world = World()
        await world.three()
        await world.store.put('retirements/a', b'{"duration_s": 8}', None)
        await world.wait(100)
        world.store.faults = Faults(fail_writes=5)
        await world.wait(8000)
        self.assertEqual('completed', world.store.statuses['retirements/a']['state'])

    @virtual
    async def test_what_is_over_leaves_the_disk(self) -> None:
        world = World()
        await world.three()
        keeper = world.keepers['a']
        for number in range(20):
            await keeper.state.store_record(record(f't{number}'))
        await world.wait(RETENTION_MS * 3)
        await keeper.state.store_record(record('young'))
        world.disks['a'].bytes_since_compaction = 1_000_000_000
        await keeper.state.compact()
        self.assertEqual(1, len(keeper.state.turns.records))
        left = [one for one in world.disks['a'].records if b't1' in one]
        self.assertEqual([], left)


class BudgetsTest(testtools.TestCase):
    """What a majority knows of spent tokens."""

    @virtual
    async def test_any_two_majorities_share_a_keeper(self) -> None:
        rng = random.Random(5)
        for _ in range(20):
            world = World()
            await world.three()
            group = world.group()
            await world.wait(500)
            victims = rng.sample('abc', 2)
            world.fabric.cut('gateway', victims[0])
            await self.reserve(group, 't1')
            world.fabric.heal()
            await world.wait(9000)
            world.fabric.cut('gateway', victims[1])
            known = await self.reserve(group, 't2')
            self.assertIn('t1', known)
            await group.tasks.cancel()

    @virtual
    async def test_settled_tokens_survive_a_restart(self) -> None:
        world = World()
        group = await world.three_and_group()
        await self.reserve(group, 't1')
        group.settle(SettleTokens('p', 't1', 7, RETENTION_MS))
        await world.wait(500)
        await world.kill('a')
        keeper = await world.keeper('a')
        entry = keeper.state.ledger.accounts['p'].entries['t1']
        self.assertEqual((7, True), (entry.tokens, entry.settled))

    async def reserve(self, group: KeeperGroup, turn: str) -> set[str]:
        """Reserve at a majority; gives the turns that it knows."""
        known: set[str] = set()
        voices = 0
        message = ReserveTokens('p', turn, 10, RETENTION_MS)
        async for spent in group.ask_all(message):
            voices += 1
            known |= {entry.turn for entry in spent.entries}
            if voices >= group.links.majority:
                return known
        raise AssertionError('no majority')
