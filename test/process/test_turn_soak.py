"""A short run of the soak of programs whose turns continue each other."""

import testtools

from test.helper import on_loop
from test.process.turn_soak import PROGRAMS, soak

# One of planned work alone, and one with all faults.
SEEDS = (1, 2)


class TurnSoakTest(testtools.TestCase):
    """No program ends because of a gateway or a keeper."""

    @on_loop
    async def test_few_seeds(self) -> None:
        for seed in SEEDS:
            seen = await soak(seed)
            self.assertEqual(0, seen.denied, (seed, seen))
            self.assertEqual(PROGRAMS, seen.resumed, (seed, seen))
            self.assertEqual(0, seen.ended_alone, (seed, seen))
            if seen.is_planned:
                self.assertEqual([], seen.cut, (seed, seen))
