"""Tests of a gateway's watches of the store and of its readiness."""

import random

import testtools

from pollenwalk.platform.documents import CONFIGURATION_PREFIX, HOSTS_PREFIX
from pollenwalk.process.gateway import Gateway, GatewaySettings
from pollenwalk.process.store import Changes
from pollenwalk.version.routes import CallerLimits, RoutingConfiguration
from standin.link import Place
from standin.store import Faults, MemoryStore
from standin.virtual.fabric import Fabric, VirtualNetwork
from standin.virtual.node import Node, NodeClock
from test.helper import virtual

CHANGE_DELAY_MS = 3000
LEAVE_NOTICE_MS = 2000


class PartlyUnavailableStore(MemoryStore):
    """A store that fails the watches of one prefix and records all wait times."""

    lost = ''

    async def watch(self, prefix: str, revision: int, wait_ms: int = 0) -> Changes:
        """Record the wait time; fail a watch of the unavailable prefix."""
        self.waits[prefix] = wait_ms
        faults = self.faults
        self.faults = Faults(down=prefix == self.lost)
        try:
            await self.before()
        finally:
            self.faults = faults
        return await super().watch(prefix, revision, wait_ms)


class GatewayTest(testtools.TestCase):
    """A gateway in virtual time, without keepers and hosts."""

    async def start_gateway(self, lost: str = '', **switches: bool) -> Gateway:
        """Start a gateway and wait 10 s.

        Args:
            lost: prefix whose watches fail; empty for none.
            switches: settings that are not as usual.
        """
        node = Node('gateway', Place('a', 'east'))
        clock = NodeClock(node)
        store = PartlyUnavailableStore(clock)
        store.waits: dict[str, int] = {}
        store.lost = lost
        settings = GatewaySettings(
            'gateway',
            'a',
            {'a': 'east'},
            1,
            CHANGE_DELAY_MS,
            LEAVE_NOTICE_MS,
            **switches,
        )
        network = VirtualNetwork(Fabric(), node)
        gateway = Gateway(settings, store, network, clock, random.Random(1))
        await gateway.start()
        await clock.sleep_ms(10_000)
        self.waits = store.waits
        return gateway

    @virtual
    async def test_any_failed_watch_makes_deletions_doubtful(self) -> None:
        for kind in (CONFIGURATION_PREFIX, HOSTS_PREFIX):
            gateway = await self.start_gateway(kind)
            self.assertTrue(gateway.host_table.registrations_may_have_lapsed(), kind)
            await gateway.stop()

    @virtual
    async def test_deletions_are_trusted_while_watches_work(self) -> None:
        gateway = await self.start_gateway()
        self.assertFalse(gateway.host_table.registrations_may_have_lapsed())
        await gateway.stop()

    @virtual
    async def test_watches_end_within_the_configured_delays(self) -> None:
        gateway = await self.start_gateway()
        self.assertTrue(self.waits[CONFIGURATION_PREFIX] <= CHANGE_DELAY_MS / 2)
        self.assertTrue(self.waits[HOSTS_PREFIX] <= LEAVE_NOTICE_MS * 2 / 3)
        await gateway.stop()

    @virtual
    async def test_silent_hosts_are_avoided_where_asked_for(self) -> None:
        """Guards against deployments without organisations that are served otherwise."""
        for switched_on, by_key, expected in (
            (False, None, False),
            (True, None, True),
            (False, {}, True),
        ):
            gateway = await self.start_gateway(avoid_silent_hosts=switched_on)
            gateway.active_configuration.current = RoutingConfiguration(
                1, {}, {}, CallerLimits(1000), by_key
            )
            self.assertEqual(expected, gateway.silent_hosts.is_enabled())
            self.assertTrue(gateway.silent_hosts.checked_at_ms > 0)
            await gateway.stop()

    @virtual
    async def test_not_ready_without_a_configuration(self) -> None:
        gateway = await self.start_gateway()
        self.assertFalse(gateway.ready)
        await gateway.stop()
