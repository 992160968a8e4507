"""A short run of the soak of requests that crash hosts."""

import testtools

from test.helper import on_loop
from test.process.crash_soak import soak
from test.process.test_crashing_requests import WANTED_SERVED
from test.process.test_killed_daemons import MAX_AFTER_THIRD

SEEDS = (1, 2, 3)


class CrashSoakTest(testtools.TestCase):
    """What must hold once all processes are in touch again."""

    @on_loop
    async def test_few_seeds(self) -> None:
        for seed in SEEDS:
            seen = await soak(seed)
            # Two requests are deadly, one with a body and one without.
            self.assertTrue(seen.late_sends <= 2 * MAX_AFTER_THIRD, (seed, seen))
            self.assertEqual(0, seen.given_up, (seed, seen))
            wanted = WANTED_SERVED * seen.asked
            self.assertTrue(seen.asked and seen.answered >= wanted, (seed, seen))
