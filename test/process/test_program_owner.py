"""Ends of programs whose records become durable late."""

import testtools

from pollenwalk.connection.program_messages import BeginProgram, EndProgram
from pollenwalk.errors import Outcome, Refusal
from standin.store import Faults
from standin.virtual.world import Shape, World
from test.helper import virtual

BEGIN = BeginProgram('spares-dispatch', 'caller', '')
# Enough for the journal to write what was pending while the store was down.
RECOVERY_MS = 8000.0


class LateEndTest(testtools.TestCase):
    """Requests to end a program that are refused while the record is pending."""

    @virtual
    async def test_end_refused_as_not_run_ends_nothing(self) -> None:
        world = World(Shape(witnesses=0))
        await world.start()
        entry = world.entries['entry1'].entry
        program = (await entry.routing.begin(BEGIN)).body['id']
        world.store.faults = Faults(down=True)
        refusal = None
        try:
            await entry.routing.view(EndProgram(program))
        except Refusal as caught:
            refusal = caught
        world.store.faults = Faults()
        await world.clock.sleep_ms(RECOVERY_MS)
        self.assertIsNotNone(refusal)
        ended = entry.routing.owner.table.programs[program].ended
        self.assertNotEqual((Outcome.NOT_RUN, True), (refusal.outcome, ended))
