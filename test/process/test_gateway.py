"""What a gateway believes of the store and of itself."""

import random

import testtools

from pollenwalk.platform.documents import CONFIGURATION_PREFIX, HOSTS_PREFIX
from pollenwalk.process.gateway import Gateway, GatewaySettings
from pollenwalk.process.store import Changes
from standin.link import Place
from standin.store import Faults, MemoryStore
from standin.virtual.fabric import Fabric, VirtualNetwork
from standin.virtual.node import Node, NodeClock
from test.helper import virtual

CHANGE_DELAY_MS = 3000
LEAVE_NOTICE_MS = 2000


class PartlyLostStore(MemoryStore):
    """A store that fails the watches of one kind, and keeps each wait."""

    lost = ''

    async def watch(self, prefix: str, revision: int, wait_ms: int = 0) -> Changes:
        """Fail a lost kind."""
        self.waits[prefix] = wait_ms
        faults = self.faults
        self.faults = Faults(down=prefix == self.lost)
        try:
            await self.before()
        finally:
            self.faults = faults
        return await super().watch(prefix, revision, wait_ms)


class GatewayTest(testtools.TestCase):
    """One gateway in virtual time, without keepers and hosts."""

    async def gateway(self, lost: str = '') -> Gateway:
        """Start a gateway and let some seconds pass."""
        node = Node('gateway', Place('a', 'east'))
        clock = NodeClock(node)
        store = PartlyLostStore(clock)
        store.waits: dict[str, int] = {}
        store.lost = lost
        settings = GatewaySettings(
            'gateway',
            'a',
            {'a': 'east'},
            1,
            CHANGE_DELAY_MS,
            LEAVE_NOTICE_MS,
        )
        network = VirtualNetwork(Fabric(), node)
        gateway = Gateway(settings, store, network, clock, random.Random(1))
        await gateway.start()
        await clock.sleep_ms(10_000)
        self.waits = store.waits
        return gateway

    @virtual
    async def test_any_watch_that_fails_makes_entries_doubtful(self) -> None:
        for kind in (CONFIGURATION_PREFIX, HOSTS_PREFIX):
            gateway = await self.gateway(kind)
            self.assertTrue(gateway.host_table.registrations_may_have_lapsed(), kind)
            await gateway.stop()

    @virtual
    async def test_entries_go_at_once_while_all_watches_work(self) -> None:
        gateway = await self.gateway()
        self.assertFalse(gateway.host_table.registrations_may_have_lapsed())
        await gateway.stop()

    @virtual
    async def test_watches_end_before_what_depends_on_them(self) -> None:
        gateway = await self.gateway()
        self.assertTrue(self.waits[CONFIGURATION_PREFIX] <= CHANGE_DELAY_MS / 2)
        self.assertTrue(self.waits[HOSTS_PREFIX] <= LEAVE_NOTICE_MS * 2 / 3)
        await gateway.stop()

    @virtual
    async def test_not_ready_without_a_configuration(self) -> None:
        gateway = await self.gateway()
        self.assertFalse(gateway.ready)
        await gateway.stop()
