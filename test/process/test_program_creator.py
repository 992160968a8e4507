"""Creation of programs whose records become durable late."""

import testtools

from pollenwalk.connection.program_messages import BeginProgram
from pollenwalk.errors import Outcome, Refusal
from standin.store import Faults
from standin.virtual.world import Shape, World
from test.helper import virtual

BEGIN = BeginProgram('spares-dispatch', 'caller', '')
# Enough for the journal to write what was pending while the store was down.
RECOVERY_MS = 8000.0


class LateCreationTest(testtools.TestCase):
    """Requests that are refused while their records are pending."""

    @virtual
    async def test_begin_refused_as_not_run_creates_nothing(self) -> None:
        world = World(Shape(witnesses=0))
        await world.start()
        entry = world.entries['entry1'].entry
        world.store.faults = Faults(down=True)
        refusal = None
        try:
            await entry.routing.begin(BEGIN)
        except Refusal as caught:
            refusal = caught
        world.store.faults = Faults()
        await world.clock.sleep_ms(RECOVERY_MS)
        self.assertIsNotNone(refusal)
        created = bool(entry.routing.owner.table.programs)
        self.assertNotEqual((Outcome.NOT_RUN, True), (refusal.outcome, created))

    @virtual
    async def test_repeat_of_pending_begin_is_unknown(self) -> None:
        world = World(Shape(witnesses=0))
        await world.start()
        owner = world.entries['entry1'].entry.routing.owner
        creator = owner.program_creator
        request = BEGIN._replace(key='key', program=creator.new_id())
        world.store.faults = Faults(down=True)
        outcomes = []
        for _ in range(3):
            try:
                await creator.create(request)
            except Refusal as caught:
                outcomes.append(caught.outcome)
        world.store.faults = Faults()
        await world.clock.sleep_ms(RECOVERY_MS)
        self.assertEqual([Outcome.UNKNOWN] * 3, outcomes)
        program = await creator.create(request)
        self.assertEqual(request.program, program.id)
        self.assertEqual([program.id], list(owner.table.programs))
