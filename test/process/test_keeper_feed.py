"""Processes that follow the store through keepers, while these fail."""

import testtools

from pollenwalk.connection.store_messages import FollowedPrefix, FollowPrefix
from pollenwalk.errors import StoreHistoryGone
from pollenwalk.process.keeper_feed import KeeperFeed
from pollenwalk.process.keeper_links import KeeperLinks
from pollenwalk.process.keeper_members import KEEPERS_PREFIX
from pollenwalk.process.prefix_watcher import PrefixWatcher, WatchHandlers
from pollenwalk.process.store import StoredObject
from pollenwalk.process.store_mirror import UNUSED_MS, StoreMirror
from pollenwalk.process.tasks import TaskSet
from standin.link import Place
from standin.store import Faults, MemoryStore
from standin.virtual.edges import NodeStore
from standin.virtual.fabric import VirtualNetwork
from standin.virtual.node import Node, NodeClock
from test.helper import make_clock, virtual
from test.process.test_keepers import REGIONS, KeeperCluster

PREFIX = 'servers/'
# Longest duration of a follower's watches, and the time within which every follower must
# know of a change whatever has happened to a keeper.
WAIT_MS = 1500
CHANGE_LIMIT_MS = 3000.0
# The same while all keepers answer: two ways between regions.
CALM_LIMIT_MS = 200.0
QUIET_MS = 20_000.0


class Follower:
    """The part of a gateway that follows hosts and keepers.

    Attributes:
        objects: the objects that it knows, by key.
        troubles: how often it was told that the store had failed.
        watchers: the watchers of keepers and hosts, by prefix.
    """

    def __init__(
        self,
        cluster: 'FeedCluster',
        name: str,
        zone: str,
        wait_ms: float = WAIT_MS,
        confirm_soon: bool = False,
    ) -> None:
        """Start to follow the store of a cluster, hosts in watches of `wait_ms`."""
        self.node = Node(name, Place(zone, REGIONS[zone]))
        clock = NodeClock(self.node)
        tasks = TaskSet()
        network = VirtualNetwork(cluster.fabric, self.node)
        self.links = KeeperLinks(network, clock, tasks, zone, REGIONS)
        self.store = cluster.store_for(self.node)
        self.troubles = 0
        self.feed = KeeperFeed(self.store, self.links, clock, self.on_trouble)
        self.objects: dict[str, bytes] = {}
        members = self.links.members
        keepers = WatchHandlers(members.apply_change, members.mark_loaded)
        hosts = WatchHandlers(self.on_object)
        self.watchers = {
            KEEPERS_PREFIX: PrefixWatcher(
                self.feed, clock, KEEPERS_PREFIX, keepers, WAIT_MS
            ),
            PREFIX: PrefixWatcher(self.feed, clock, PREFIX, hosts, wait_ms),
        }
        for prefix, watcher in self.watchers.items():
            if confirm_soon and prefix == PREFIX:
                watcher.max_retry_ms = self.feed.confirm_soon(prefix, wait_ms)
            tasks.spawn(watcher.run(), prefix)

    def on_trouble(self) -> None:
        """Count a failure of the store that a keeper told of."""
        self.troubles += 1

    def on_object(self, stored: StoredObject) -> None:
        """Record an object, or remove a deleted one."""
        if stored.body:
            self.objects[stored.key] = stored.body
        else:
            self.objects.pop(stored.key, None)


class FeedCluster(KeeperCluster):
    """Keepers and followers that reach the store over paths that can be cut.

    Attributes:
        followers: the followers.
        location: the node of the store.
    """

    def __init__(self) -> None:
        """Create a store without keepers and followers."""
        super().__init__()
        self.followers: list[Follower] = []
        self.location = Node('store', Place('a', 'east'))

    def store_for(self, node: Node) -> NodeStore:
        """Return the store as a node reaches it."""
        return NodeStore(self.store, self.fabric, node, self.location)

    async def start(self, followers: int) -> None:
        """Start three keepers and some followers in each of two zones."""
        await self.start_three()
        for number in range(followers):
            zone = 'ac'[number % 2]
            self.followers.append(self.make_follower(f'f{number}', zone))
        await self.put('first')
        await self.wait(2 * WAIT_MS)

    def make_follower(self, name: str, zone: str) -> Follower:
        """Start a follower."""
        return Follower(self, name, zone)

    async def put(self, name: str) -> None:
        """Write an object that followers learn of."""
        await self.store.put(f'{PREFIX}{name}', b'here', None)

    async def time_until_known(self, name: str) -> float:
        """Write an object and return the time until all followers know it, in ms."""
        await self.put(name)
        began_ms = self.clock.now_ms()
        key = f'{PREFIX}{name}'
        while not all(key in one.objects for one in self.followers):
            await self.wait(10)
            if self.clock.now_ms() - began_ms > 2 * CHANGE_LIMIT_MS:
                break
        return self.clock.now_ms() - began_ms

    def cut_from_store(self, name: str) -> None:
        """Cut a node from the store in both directions."""
        self.fabric.cut(name, 'store')
        self.fabric.cut('store', name)


class KeeperFeedTest(testtools.TestCase):
    """What followers know, and what it costs the store."""

    @virtual
    async def test_calls_do_not_grow_with_followers(self) -> None:
        calls = []
        for followers in (4, 40):
            cluster = FeedCluster()
            await cluster.start(followers)
            before = cluster.store.reads
            await cluster.wait(QUIET_MS)
            calls.append(cluster.store.reads - before)
        self.assertTrue(calls[1] <= calls[0] + 2, calls)
        # Three prefixes in each of two regions, one call in each wait.
        self.assertTrue(calls[1] <= 2 * 3 * (QUIET_MS / WAIT_MS + 1), calls)

    @virtual
    async def test_changes_reach_all_followers_at_once(self) -> None:
        cluster = FeedCluster()
        await cluster.start(6)
        for name in ('x', 'y'):
            self.assertTrue(await cluster.time_until_known(name) < CALM_LIMIT_MS)
        await cluster.store.delete(f'{PREFIX}x')
        await cluster.wait(CALM_LIMIT_MS)
        for one in cluster.followers:
            self.assertNotIn(f'{PREFIX}x', one.objects)

    @virtual
    async def test_change_while_the_asked_keeper_fails(self) -> None:
        for failure in ('killed', 'frozen', 'silent'):
            cluster = FeedCluster()
            await cluster.start(4)
            if failure == 'killed':
                await cluster.kill('a')
            elif failure == 'frozen':
                cluster.nodes['a'].running.clear()
            else:
                for one in cluster.followers:
                    cluster.fabric.cut('a', one.node.name)
            took_ms = await cluster.time_until_known('x')
            self.assertTrue(took_ms < CHANGE_LIMIT_MS, (failure, took_ms))
            # Once it is known to have failed, another keeper is asked.
            await cluster.wait(2 * WAIT_MS)
            took_ms = await cluster.time_until_known('y')
            self.assertTrue(took_ms < CALM_LIMIT_MS, (failure, took_ms))

    @virtual
    async def test_change_while_a_keeper_lacks_the_store(self) -> None:
        cluster = FeedCluster()
        await cluster.start(4)
        for name in ('a', 'b', 'c'):
            cluster.cut_from_store(name)
            took_ms = await cluster.time_until_known(f'{name}-cut')
            bound_ms = 2 * WAIT_MS + CALM_LIMIT_MS + 1000
            self.assertTrue(took_ms < bound_ms, (name, took_ms))
        cluster.fabric.heal()
        await cluster.wait(CHANGE_LIMIT_MS)
        self.assertTrue(await cluster.time_until_known('healed') < CALM_LIMIT_MS)
        self.assertTrue(all(one.troubles for one in cluster.followers))

    @virtual
    async def test_follower_that_cannot_reach_the_store(self) -> None:
        cluster = FeedCluster()
        await cluster.start(4)
        cluster.cut_from_store('f0')
        await cluster.wait(QUIET_MS)
        self.assertTrue(await cluster.time_until_known('x') < CALM_LIMIT_MS)

    @virtual
    async def test_failure_of_the_store_is_told_once(self) -> None:
        cluster = FeedCluster()
        await cluster.start(2)
        self.assertEqual([0, 0], [one.troubles for one in cluster.followers])
        cluster.store.faults = Faults(down=True)
        await cluster.wait(1000)
        cluster.store.faults = Faults()
        await cluster.wait(QUIET_MS)
        self.assertEqual([1, 1], [one.troubles for one in cluster.followers])

    @virtual
    async def test_older_listing_brings_nothing_back(self) -> None:
        cluster = FeedCluster()
        await cluster.start(1)
        feed = cluster.followers[0].feed
        link = feed.links.of_region()[0]
        now_ms = feed.clock.now_ms()
        feed.confirm(PREFIX, now_ms - 100, 'store')
        listed = FollowedPrefix(1, 200.0, 0, None, False, [])
        whole = FollowPrefix(PREFIX, None, WAIT_MS)
        since = FollowPrefix(PREFIX, 1, WAIT_MS, WAIT_MS)
        self.assertFalse(feed.accepts(whole, listed, now_ms, link))
        self.assertTrue(feed.accepts(since, listed, now_ms, link))
        late = listed._replace(age_ms=2 * WAIT_MS + 1000.0)
        self.assertFalse(feed.accepts(since, late, now_ms, link))

    @virtual
    async def test_unused_prefix_is_not_followed(self) -> None:
        cluster = FeedCluster()
        await cluster.start(2)
        for one in cluster.followers:
            one.node.killed.set()
        await cluster.wait(UNUSED_MS + 8000)
        mirrors = [keeper.mirrors.by_prefix for keeper in cluster.keepers.values()]
        self.assertEqual([], [one for one in mirrors if PREFIX in one])


class StoreMirrorTest(testtools.TestCase):
    """What a keeper's copy answers."""

    async def mirror(self) -> tuple[MemoryStore, StoreMirror]:
        """Return a store with an object and a copy of it that is not read yet."""
        clock = make_clock()
        store = MemoryStore(clock)
        await store.put('a/1', b'x', None)
        mirror = StoreMirror(store, clock, 'a/', WAIT_MS)
        self.tasks = TaskSet()
        self.tasks.spawn(mirror.watcher.run(), 'mirror')
        return store, mirror

    @virtual
    async def test_deletions_before_the_first_reading(self) -> None:
        store, mirror = await self.mirror()
        await store.delete('a/1')
        answer = await mirror.follow(FollowPrefix('a/', 1, 100))
        self.assertTrue(answer.history_gone)
        self.assertEqual([], answer.objects)

    @virtual
    async def test_deletion_after_it_is_told(self) -> None:
        store, mirror = await self.mirror()
        whole = await mirror.follow(FollowPrefix('a/', None, 100))
        self.assertEqual(['a/1'], [one.key for one in whole.objects])
        await store.delete('a/1')
        answer = await mirror.follow(FollowPrefix('a/', whole.revision, 100))
        self.assertEqual([('a/1', b'')], [one[:2] for one in answer.objects])
        again = await mirror.follow(FollowPrefix('a/', answer.revision, 100))
        self.assertEqual([], again.objects)
        self.assertTrue(again.held_ms >= 100)

    @virtual
    async def test_follower_lists_anew_if_history_is_gone(self) -> None:
        cluster = FeedCluster()
        await cluster.start(1)
        feed = cluster.followers[0].feed
        with testtools.ExpectedException(StoreHistoryGone):
            await feed.watch(PREFIX, 0, WAIT_MS)
