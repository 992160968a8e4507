"""How gateways learn their number from a keeper."""

import testtools

from pollenwalk.connection.load_messages import FleetState, GatewayLoad
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
            counts = [one.idle_shares.gateways for one in gateways]
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
