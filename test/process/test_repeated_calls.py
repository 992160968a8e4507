"""Tests of the time until keys are confirmed again after an outage of the store."""

from collections.abc import Callable
from typing import Any

import testtools

from pollenwalk.errors import StoreUnavailable
from pollenwalk.process.configuration_lease import LEASE_SHARE, WATCH_SHARE
from pollenwalk.process.store import WATCH_TIMEOUT_MS, Changes
from standin.virtual.node import Node
from test.helper import virtual
from test.process.test_keeper_feed import PREFIX, FeedCluster, Follower

REVOCATION_MS = 5000.0
OUTAGE_MS = 9000.0
# A round of questions to 50 keepers of another region.
ASK_ALL_MS = 3000.0
# Stated bounds: times until a confirmation, and calls that begin within a second.
KEEPER_BOUND_MS = 500.0
FOLLOWER_BOUND_MS = 300.0
MAX_CALLS = {'keeper': 3, 'follower': 1}


class CountedStore:
    """The store as one process reaches it; counts the watches of `PREFIX`.

    Attributes:
        begun: when each watch began, in ms.
        answers: when each watch that was answered began, and when it was answered.
        refuses: whether watches fail at once, as on a connection that is reset.
        slow_ms: added to each answer.
    """

    def __init__(self, inner: Any) -> None:
        """Count the watches of `inner`."""
        self.inner = inner
        self.clock = inner.inner.clock
        self.begun: list[float] = []
        self.answers: list[tuple[float, float]] = []
        self.refuses = False
        self.slow_ms = 0.0

    def __getattr__(self, name: str) -> Any:
        """Pass on the calls that are not counted."""
        return getattr(self.inner, name)

    async def watch(
        self, prefix: str, revision: int, wait_ms: int = WATCH_TIMEOUT_MS
    ) -> Changes:
        """Wait for changes."""
        if prefix != PREFIX:
            return await self.inner.watch(prefix, revision, wait_ms)
        began_ms = self.clock.now_ms()
        self.begun.append(began_ms)
        if self.refuses:
            raise StoreUnavailable('connection reset')
        changes = await self.inner.watch(prefix, revision, wait_ms)
        await self.clock.sleep_ms(self.slow_ms)
        self.answers.append((began_ms, self.clock.now_ms()))
        return changes

    def most_in_a_second(self) -> int:
        """Return the most watches that began within one second."""
        counts = [sum(at <= one < at + 1000 for one in self.begun) for at in self.begun]
        return max(counts, default=0)


class OutageCluster(FeedCluster):
    """Keepers and followers of which `PREFIX` must be confirmed soon."""

    revocation_ms = REVOCATION_MS

    def store_for(self, node: Node) -> Any:
        """Return the store as a node reaches it, the same one for each call."""
        stores = self.__dict__.setdefault('stores', {})
        if node.name not in stores:
            stores[node.name] = CountedStore(super().store_for(node))
        return stores[node.name]

    def make_follower(self, name: str, zone: str) -> Follower:
        """Start a follower with short watches."""
        wait_ms = REVOCATION_MS * WATCH_SHARE
        one = Follower(self, name, zone, wait_ms, confirm_soon=True)
        watcher = one.watchers[PREFIX]
        watcher.handlers = watcher.handlers._replace(
            relay=lambda prefix: one.feed.relay(prefix, self.ask_all_keepers())
        )
        return one

    async def ask_all_keepers(self) -> None:
        """Ask many keepers one after the other, none of which reaches the store."""
        await self.wait(ASK_ALL_MS)

    async def lose_store(self, kind: str) -> None:
        """Let the store answer nothing, or refuse all calls, then answer again."""
        for name, store in self.stores.items():
            store.begun.clear()
            store.refuses = kind == 'refused'
            if kind == 'silent':
                self.cut_from_store(name)
        await self.wait(OUTAGE_MS)
        self.fabric.heal()
        for store in self.stores.values():
            store.refuses = False

    def unconfirmed(self) -> int:
        """Return the number of followers whose lease does not hold."""
        limit_ms = self.clock.now_ms() - REVOCATION_MS * LEASE_SHARE
        watchers = [one.watchers[PREFIX] for one in self.followers]
        return sum((one.confirmed_at_ms or 0) < limit_ms for one in watchers)

    async def time_until(self, condition: Callable[[], bool]) -> float:
        """Return the time until a condition holds, at most 6 s."""
        began_ms = self.clock.now_ms()
        while not condition() and self.clock.now_ms() < began_ms + 6000:
            await self.wait(10)
        return self.clock.now_ms() - began_ms


class OutageTest(testtools.TestCase):
    """Confirmation of keys after the store was away."""

    async def check_outage(self, kind: str, frozen: str) -> None:
        """Check the times after an outage, and the calls during it."""
        cluster = OutageCluster()
        await cluster.start(6)
        if frozen:
            cluster.nodes[frozen].running.clear()
        await cluster.lose_store(kind)
        back_ms = cluster.clock.now_ms()
        self.assertEqual(6, cluster.unconfirmed())
        for name, store in cluster.stores.items():
            limit = MAX_CALLS['keeper' if name in cluster.keepers else 'follower']
            self.assertTrue(store.most_in_a_second() <= limit, (kind, name))
        asked = [cluster.stores[name] for name in 'abc' if name != frozen]
        took_ms = await cluster.time_until(
            lambda: any(one.answers and one.answers[-1][1] > back_ms for one in asked)
        )
        self.assertTrue(took_ms <= KEEPER_BOUND_MS, (kind, took_ms))
        took_ms = await cluster.time_until(lambda: not cluster.unconfirmed())
        self.assertTrue(took_ms <= FOLLOWER_BOUND_MS, (kind, took_ms))
        # A lease that began after the call that was answered would be too long.
        latest_ms = max(at for one in cluster.stores.values() for at in one.begun)
        for one in cluster.followers:
            self.assertTrue(one.watchers[PREFIX].confirmed_at_ms <= latest_ms + 1)

    @virtual
    async def test_confirmed_soon_after_an_outage(self) -> None:
        for kind, frozen in (('silent', ''), ('refused', ''), ('silent', 'a')):
            await self.check_outage(kind, frozen)

    @virtual
    async def test_slow_store_gets_no_more_calls(self) -> None:
        # The phases of questions and watches change the number of calls by chance, so
        # each one is checked: it begins once the former one of its process is answered.
        for slow_ms in (160.0, 400.0):
            cluster = OutageCluster()
            await cluster.start(4)
            for store in cluster.stores.values():
                store.slow_ms = slow_ms
                store.begun.clear()
                store.answers.clear()
            await cluster.wait(20_000)
            for name, store in cluster.stores.items():
                answered_ms = [at_ms for _, at_ms in store.answers]
                pairs = zip(store.begun[1:], answered_ms, strict=False)
                self.assertTrue(all(at >= end for at, end in pairs), (slow_ms, name))
                self.assertTrue(len(store.begun) <= len(answered_ms) + 1, name)
