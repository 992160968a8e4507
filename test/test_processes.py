"""The daemons as separate processes: killed, stopped, and loaded."""

import asyncio
import random

import testtools

from pollenwalk.process.clock import LoopClock
from standin.caller import SPARES, TEA_CHEST, Caller, Tally
from standin.door import HttpDoor
from standin.ledger import Ledger
from standin.processes import Processes

ZONES = ('rimouski', 'saguenay', 'envigado')
PROGRAMS = 6


class ProcessesTest(testtools.TestCase):
    """Whole programs through processes that come and go."""

    def setUp(self) -> None:
        super().setUp()
        self.processes = Processes()
        self.addCleanup(self.processes.close)

    def test_kill_and_stop_under_load(self) -> None:
        self.processes.start_all(ZONES, models=1, plains=1)
        tally = asyncio.run(self.run_programs())
        self.assertEqual([], tally.refused)
        self.assertEqual([], tally.mixed)
        self.assertEqual(tally.begun, tally.completed)
        for story in (SPARES, TEA_CHEST):
            executions = [
                execution
                for tag, execution in tally.answered.items()
                if tag.startswith(story.declaration)
            ]
            self.assertEqual(sorted(set(executions)), sorted(executions))

    async def run_programs(self) -> Tally:
        """Run programs while one entry is killed and one sidecar stopped."""
        clock = LoopClock()
        tally = Tally(Ledger())
        door = HttpDoor(self.processes.urls, random.Random(1))
        running = []
        for number in range(PROGRAMS):
            for story in (SPARES, TEA_CHEST):
                name = f'{story.declaration}-{number}'
                caller = Caller(name, door, clock, random.Random(name), tally)
                running.append(asyncio.ensure_future(caller.run(story)))
        await clock.sleep_ms(300)
        self.processes.kill('entry0')
        await asyncio.gather(*running)
        await door.close()
        codes = [
            await asyncio.to_thread(self.processes.stop, name)
            for name in ('entry1', 'advisory-0', 'orders-0')
        ]
        self.assertEqual([0, 0, 0], codes)
        return tally
