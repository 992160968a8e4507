"""How gateways learn their number from a keeper, and the bound of bodies."""

import math

import testtools

from pollenwalk.connection.load_messages import FleetState, GatewayLoad
from pollenwalk.connection.request_bodies import MIN_HOST_BYTES
from pollenwalk.process.host_bounds import HostBounds
from pollenwalk.version.active_configuration import ActiveConfiguration
from pollenwalk.version.organisations import Organisation
from pollenwalk.version.routes import CallerLimits, RoutingConfiguration
from test.helper import on_loop
from test.process.test_limited_hosts import started
from test.process.test_stream_versions import wait_until

GATEWAYS = 3


class GatewayCountTest(testtools.TestCase):
    """Guards against a number that never arrives, and a fleet of two versions."""

    @on_loop
    async def test_keeper_tells_the_number(self) -> None:
        async with started(None) as upstream:
            gateways = await upstream.start_gateways(GATEWAYS)
            counts = [one.host_bounds.gateways for one in gateways]
            await wait_until(
                lambda: all(one.highest_lower == GATEWAYS for one in counts)
            )

    @on_loop
    async def test_former_gateway_gets_the_former_answer(self) -> None:
        async with started(None) as upstream:
            gateway = await upstream.start_gateway('g0')
            link = gateway.links.first()
            former = GatewayLoad('former', 'a', 0, wants_to_leave=False)
            answer = await gateway.links.request(link, former)
            self.assertIsInstance(answer, FleetState)


class BodyLimitTest(testtools.TestCase):
    """Guards against a bound where none is asked for, and one below a whole body."""

    def limit(
        self,
        max_body_bytes: int,
        organisations: dict[str, Organisation] | None,
        *,
        bounds_bodies: bool,
    ) -> float:
        """Return the bound with a configuration."""
        configuration = ActiveConfiguration()
        limits = CallerLimits(max_body_bytes)
        configuration.current = RoutingConfiguration(1, {}, {}, limits, organisations)
        bounds = HostBounds(configuration, bounds_bodies=bounds_bodies)
        return bounds.body_limit_bytes()

    def test_bound_is_asked_for(self) -> None:
        self.assertEqual(math.inf, self.limit(1000, None, bounds_bodies=False))
        for organisations, asked in ((None, True), ({}, False)):
            limit = self.limit(1000, organisations, bounds_bodies=asked)
            self.assertEqual(MIN_HOST_BYTES, limit)

    def test_longest_body_fits(self) -> None:
        longest = MIN_HOST_BYTES * 2
        self.assertEqual(longest, self.limit(longest, None, bounds_bodies=True))
