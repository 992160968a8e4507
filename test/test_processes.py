"""The daemons as separate processes: killed, frozen, stopped, and loaded."""

import asyncio
import json
import random
import signal
from collections.abc import Awaitable, Callable

import testtools

from pollenwalk.process.clock import LoopClock
from standin.caller import SPARES, TEA_CHEST, Caller, Tally
from standin.entry_client import HttpEntryClient
from standin.ledger import Ledger
from standin.processes import Processes

ZONES = ('rimouski', 'saguenay', 'envigado')
PROGRAMS = 6
DISTURB_AFTER_MS = 300
FREEZE_MS = 8000


class ProcessesTest(testtools.TestCase):
    """Whole programs through processes that come and go."""

    def setUp(self) -> None:
        super().setUp()
        self.processes = Processes()
        self.addCleanup(self.processes.close)
        self.processes.traced = True
        self.processes.start_all(ZONES, models=1, plains=1)

    def test_kill_and_stop_under_load(self) -> None:
        self.check(asyncio.run(self.run_programs(self.kill_entry)))
        for name in ('entry1', 'entry2', 'advisory-0', 'orders-0'):
            self.assertEqual(0, self.processes.stop(name), name)
        self.check_spans()

    def test_freeze_under_load(self) -> None:
        self.check(asyncio.run(self.run_programs(self.freeze_entry)))
        self.assertEqual(0, self.processes.stop('entry0'))

    async def kill_entry(self) -> None:
        """Kill one entry."""
        self.processes.kill('entry0')

    async def freeze_entry(self) -> None:
        """Freeze one entry for longer than its takeover takes."""
        process = self.processes.running['entry0']
        process.send_signal(signal.SIGSTOP)
        await LoopClock().sleep_ms(FREEZE_MS)
        process.send_signal(signal.SIGCONT)

    async def run_programs(self, disturb: Callable[[], Awaitable[None]]) -> Tally:
        """Run programs while something happens to an entry."""
        clock = LoopClock()
        tally = Tally(Ledger())
        client = HttpEntryClient(self.processes.urls, random.Random(1))
        running = []
        for number in range(PROGRAMS):
            for story in (SPARES, TEA_CHEST):
                name = f'{story.declaration}-{number}'
                caller = Caller(name, client, clock, random.Random(name), tally)
                running.append(asyncio.ensure_future(caller.run(story)))
        await clock.sleep_ms(DISTURB_AFTER_MS)
        await disturb()
        await asyncio.gather(*running)
        await client.close()
        return tally

    def check_spans(self) -> None:
        """See that the hops of a call through three processes share a trace."""
        hops: dict[str, set[str]] = {}
        for name in ('entry1', 'entry2', 'advisory-0', 'orders-0'):
            for line in self.processes.spans_of(name).read_text().splitlines():
                span = json.loads(line)
                hops.setdefault(span['context']['trace_id'], set()).add(span['name'])
        self.assertIn({'entry', 'dispatch', 'upstream'}, list(hops.values()))

    def check(self, tally: Tally) -> None:
        """See that all programs completed and no order ran twice."""
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
