"""One attempt at a time of each call on which hosts have crashed."""

import testtools

from pollenwalk.connection.crash_messages import CrashReport
from pollenwalk.connection.peer_messages import Done
from pollenwalk.connection.trial_messages import EndTrial, RequestTrial
from pollenwalk.process.call_trials import MAX_TRIAL_MS, MAX_TRIALS, CallTrials
from pollenwalk.process.crash_records import CrashRecords
from test.helper import make_clock, virtual

DURATION_MS = 2000.0
REPORT = CrashReport('r', 'h/0/1', False, 0, 50)


class Keeper:
    """The part of a keeper that keeps attempts apart."""

    def __init__(self) -> None:
        """Create one that knows of no crash."""
        self.clock = make_clock()
        self.crashes = CrashRecords(self.clock)
        self.trials = CallTrials(self.clock, self.crashes, self.learn)

    def learn(self, reports: tuple[CrashReport, ...]) -> None:
        """Record crashes."""
        for report in reports:
            self.crashes.learn(report, 'message')

    def ask(
        self, attempt: str, request: str = 'r', duration_ms: float = DURATION_MS
    ) -> bool:
        """Return whether an attempt may be sent."""
        asked = RequestTrial(request, attempt, duration_ms)
        return self.trials.answer(asked).granted


class CallTrialsTest(testtools.TestCase):
    """What attempts at several gateways are told."""

    @virtual
    async def test_second_attempt_waits_for_the_first(self) -> None:
        keeper = Keeper()
        self.assertTrue(keeper.ask('a'))
        await keeper.clock.sleep_ms(500)
        refused = keeper.trials.answer(RequestTrial('r', 'b', DURATION_MS))
        self.assertEqual((False, DURATION_MS - 500), refused[:2])
        self.assertTrue(keeper.ask('c', 'another'))
        self.assertTrue(keeper.ask('a'))

    @virtual
    async def test_end_of_an_attempt_lets_the_next_begin(self) -> None:
        keeper = Keeper()
        keeper.ask('a')
        keeper.trials.answer(EndTrial('r', 'b', ()))
        self.assertFalse(keeper.ask('b'))
        self.assertIsInstance(keeper.trials.answer(EndTrial('r', 'a', ())), Done)
        self.assertTrue(keeper.ask('b'))

    @virtual
    async def test_gateway_that_dies_keeps_nobody_back(self) -> None:
        keeper = Keeper()
        keeper.ask('a', duration_ms=10 * MAX_TRIAL_MS)
        await keeper.clock.sleep_ms(MAX_TRIAL_MS - 1)
        self.assertFalse(keeper.ask('b'))
        await keeper.clock.sleep_ms(1)
        self.assertTrue(keeper.ask('b'))

    @virtual
    async def test_next_attempt_learns_of_the_crash(self) -> None:
        keeper = Keeper()
        keeper.ask('a')
        keeper.trials.answer(EndTrial('r', 'a', (REPORT,)))
        decision = keeper.trials.answer(RequestTrial('r', 'b', DURATION_MS))
        self.assertEqual(['h/0/1'], [one.host for one in decision.crashes])

    @virtual
    async def test_flood_of_calls_is_bounded(self) -> None:
        keeper = Keeper()
        for number in range(2 * MAX_TRIALS):
            self.assertTrue(keeper.ask('a', f'r{number}'))
        self.assertEqual(MAX_TRIALS, len(keeper.trials.by_request))
        self.assertFalse(keeper.ask('b', 'r0'))
        await keeper.clock.sleep_ms(DURATION_MS)
        self.assertTrue(keeper.ask('b', 'late'))
        self.assertEqual(1, len(keeper.trials.by_request))
