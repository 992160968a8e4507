"""A retention that is raised while programs go on; real processes."""

import asyncio
from http import HTTPStatus

import testtools

from pollenwalk.platform.documents import CONFIGURATION_KEY
from test.helper import on_loop
from test.process.turn_daemons import KEEPERS, Turn, TurnDaemons, changed_configuration

FORMER_S = 1.0
RETENTION_S = 50.0
# Within which a version is in force.
APPLIED_S = 3.5
# Less than the retention, and longer than a turn is kept by the former one.
LATER_S = 45.0


class RaisedRetention(TurnDaemons):
    """A program that goes on after the raise, and keepers that lose power then."""

    async def run(self) -> Turn:
        """Return how the turn ended that came shortly before the retention's end."""
        await self.start_all()
        await self.write(CONFIGURATION_KEY, changed_configuration(2, FORMER_S))
        await asyncio.sleep(APPLIED_S)
        here, there = self.client('g1'), self.client('g2')
        await here.send('going', 'going-1')
        await self.write(CONFIGURATION_KEY, changed_configuration(3, RETENTION_S))
        await asyncio.sleep(APPLIED_S)
        await here.send('going', 'going-2', 'going-1')
        for name, _ in KEEPERS:
            self.kill(name)
        for name, _ in KEEPERS:
            self.restart(name)
        await asyncio.sleep(LATER_S)
        return await there.send('going', 'going-3', 'going-2')


class RaisedRetentionTest(testtools.TestCase):
    """Turns are kept for the retention that is in force."""

    @on_loop
    async def test_chain_is_kept_for_a_raised_retention(self) -> None:
        # Guards against a predecessor that expires by the retention of its own time.
        system = RaisedRetention()
        try:
            turn = await system.run()
        finally:
            await system.end()
        self.assertEqual(HTTPStatus.OK, turn.status)
