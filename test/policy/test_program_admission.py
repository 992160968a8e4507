"""Simulation of a burst of programs slightly above the capacity of the hosts."""

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

import testtools

from pollenwalk.policy.program_admission import draw_retry_after_ms, is_wait_acceptable

SLOTS = 32
RUN_MS = 200.0
PAUSE_MS = 250.0
TURNS = 3
TARGET_MS = 300.0
PRIORITY = 1
CALLER_TIMEOUT_MS = 3000.0
# A program ends in time if it takes no longer than this multiple of its time on
# idle hosts, plus one target time.
IN_TIME_FACTOR = 1.2
MAX_TRIES = 6
BURST_SPAN_MS = (3000.0, 8000.0)
LAST_ARRIVAL_MS = 15_000.0

AdmissionRule = Callable[[float], bool]
Step = Callable[..., None]
Event = tuple[float, int, Step, 'Program']


class Program(NamedTuple):
    """A simulated program.

    Attributes:
        begun_ms: when its caller first tried to begin it.
        left: turns that are still to run.
        tries: refused tries to begin it.
    """

    begun_ms: float
    left: int = TURNS
    tries: int = 0


class Tally(NamedTuple):
    """Number of programs by how they ended."""

    in_time: int
    all: int
    refused: int

    @property
    def in_time_share(self) -> float:
        """Return the share of programs that ended in time."""
        return self.in_time / self.all


class Hosts:
    """Simulated hosts with a common queue, and the programs that they run.

    Attributes:
        rule: returns whether a program is admitted, given the expected wait in ms.
    """

    def __init__(self, rule: AdmissionRule, rng: random.Random) -> None:
        """Start with idle hosts."""
        self.rule = rule
        self.rng = rng
        self.running = 0
        self.queue: deque[Program] = deque()
        self.events: list[Event] = []
        self.sequence = 0
        self.in_time = 0
        self.refused = 0

    def schedule(self, time_ms: float, step: Step, program: Program) -> None:
        """Schedule a step of a program at a time."""
        self.sequence += 1
        heapq.heappush(self.events, (time_ms, self.sequence, step, program))

    def run(self, arrivals: list[float]) -> Tally:
        """Run the simulation until all programs have ended or were refused."""
        for time_ms in arrivals:
            self.schedule(time_ms, self.begin, Program(time_ms))
        while self.events:
            time_ms, _, step, program = heapq.heappop(self.events)
            step(time_ms, program)
        return Tally(self.in_time, len(arrivals), self.refused)

    def begin(self, now_ms: float, program: Program) -> None:
        """Admit a program, or schedule its next try unless it has none left."""
        wait_ms = (len(self.queue) + 1) * RUN_MS / SLOTS if self.queue else 0
        if self.rule(wait_ms):
            self.run_turn(now_ms, program)
        elif program.tries < MAX_TRIES:
            back_ms = now_ms + draw_retry_after_ms(CALLER_TIMEOUT_MS, self.rng)
            self.schedule(
                back_ms, self.begin, program._replace(tries=program.tries + 1)
            )
        else:
            self.refused += 1

    def run_turn(self, now_ms: float, program: Program) -> None:
        """Start a turn, or queue it if all slots are taken."""
        if self.running < SLOTS:
            self.running += 1
            self.schedule(now_ms + RUN_MS, self.end_turn, program)
        else:
            self.queue.append(program)

    def end_turn(self, now_ms: float, program: Program) -> None:
        """End a turn, start the next queued one, and schedule the program's next."""
        self.running -= 1
        if self.queue:
            self.run_turn(now_ms, self.queue.popleft())
        left = program.left - 1
        if left:
            self.schedule(now_ms + PAUSE_MS, self.run_turn, program._replace(left=left))
            return
        idle_ms = TURNS * RUN_MS + (TURNS - 1) * PAUSE_MS
        took_ms = now_ms - program.begun_ms
        self.in_time += took_ms <= idle_ms * IN_TIME_FACTOR + TARGET_MS


def arrivals(load: float, burst: float, rng: random.Random) -> Iterator[float]:
    """Yield random arrival times of programs in ms.

    Args:
        load: programs begun outside the burst, as a share of the capacity.
        burst: the same within the burst.
        rng: draws the times between arrivals.
    """
    now_ms = 0.0
    capacity = SLOTS / RUN_MS / TURNS
    while now_ms < LAST_ARRIVAL_MS:
        load_now = burst if BURST_SPAN_MS[0] <= now_ms < BURST_SPAN_MS[1] else load
        now_ms += rng.expovariate(capacity * load_now)
        yield now_ms


def admit_by_policy(wait_ms: float) -> bool:
    """Return whether the policy under test admits a program."""
    return is_wait_acceptable(wait_ms, TARGET_MS, PRIORITY)


def admit_all(_: float) -> bool:
    """Admit every program."""
    return True


class ProgramAdmissionTest(testtools.TestCase):
    """Programs that end in time with and without program admission."""

    def simulate(self, policy: AdmissionRule, load: float, burst: float) -> Tally:
        """Run the simulation with one policy; all runs have the same arrivals."""
        arrival_times = list(arrivals(load, burst, random.Random(7)))
        return Hosts(policy, random.Random(8)).run(arrival_times)

    def test_more_programs_end_in_time_in_a_burst(self) -> None:
        without_admission = self.simulate(admit_all, 0.4, 1.3)
        with_admission = self.simulate(admit_by_policy, 0.4, 1.3)
        self.assertTrue(
            with_admission.in_time_share > without_admission.in_time_share + 0.1,
            (with_admission, without_admission),
        )
        self.assertEqual(0, with_admission.refused)

    def test_no_program_is_refused_below_capacity(self) -> None:
        self.assertEqual(
            self.simulate(admit_all, 0.4, 0.8),
            self.simulate(admit_by_policy, 0.4, 0.8),
        )

    def test_urgent_programs_accept_a_longer_wait(self) -> None:
        self.assertTrue(is_wait_acceptable(TARGET_MS, TARGET_MS, 0))
        self.assertFalse(is_wait_acceptable(TARGET_MS, TARGET_MS, 1))

    def test_retry_delays_are_spread(self) -> None:
        rng = random.Random(1)
        delays = [draw_retry_after_ms(CALLER_TIMEOUT_MS, rng) for _ in range(100)]
        self.assertTrue(max(delays) <= CALLER_TIMEOUT_MS / 3)
        self.assertTrue(max(delays) - min(delays) > CALLER_TIMEOUT_MS / 20)
