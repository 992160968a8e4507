"""A burst of programs, a little beyond what the hosts can run."""

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

import testtools

from pollenwalk.policy.program_admission import is_wait_acceptable, retry_delay_ms

SLOTS = 32
RUN_MS = 200.0
PAUSE_MS = 250.0
TURNS = 3
TARGET_MS = 300.0
PRIORITY = 1
CALLER_MS = 3000.0
# A program ends in time within so much of its time on idle hosts, and a target.
TIME_FACTOR = 1.2
TRIES = 6
BURST_MS = (3000.0, 8000.0)
END_MS = 15_000.0

AdmissionRule = Callable[[float], bool]
Step = Callable[..., None]
Event = tuple[float, int, Step, 'Program']


class Program(NamedTuple):
    """One program.

    Attributes:
        begun_ms: when its caller came first.
        left: turns that it still has.
        tries: of its first turn.
    """

    begun_ms: float
    left: int = TURNS
    tries: int = 0


class Tally(NamedTuple):
    """What callers got."""

    in_time: int
    all: int
    refused: int

    @property
    def share(self) -> float:
        """Give the share of programs that ended in time."""
        return self.in_time / self.all


class Hosts:
    """Hosts with one queue, and the programs that they serve."""

    def __init__(self, rule: AdmissionRule, rng: random.Random) -> None:
        """Start idle."""
        self.rule = rule
        self.rng = rng
        self.running = 0
        self.queue: deque[Program] = deque()
        self.events: list[Event] = []
        self.number = 0
        self.in_time = 0
        self.refused = 0

    def at(self, time_ms: float, step: Step, program: Program) -> None:
        """Plan a step."""
        self.number += 1
        heapq.heappush(self.events, (time_ms, self.number, step, program))

    def run(self, arrivals: list[float]) -> Tally:
        """Serve all arrivals to the end."""
        for time_ms in arrivals:
            self.at(time_ms, self.first, Program(time_ms))
        while self.events:
            time_ms, _, step, program = heapq.heappop(self.events)
            step(time_ms, program)
        return Tally(self.in_time, len(arrivals), self.refused)

    def first(self, now_ms: float, program: Program) -> None:
        """Let a program in, or tell it when to come again."""
        wait_ms = (len(self.queue) + 1) * RUN_MS / SLOTS if self.queue else 0
        if self.rule(wait_ms):
            self.turn(now_ms, program)
        elif program.tries < TRIES:
            back_ms = now_ms + retry_delay_ms(CALLER_MS, self.rng)
            self.at(back_ms, self.first, program._replace(tries=program.tries + 1))
        else:
            self.refused += 1

    def turn(self, now_ms: float, program: Program) -> None:
        """Run a turn, or queue it."""
        if self.running < SLOTS:
            self.running += 1
            self.at(now_ms + RUN_MS, self.ended, program)
        else:
            self.queue.append(program)

    def ended(self, now_ms: float, program: Program) -> None:
        """End a turn, and begin the next one that waits."""
        self.running -= 1
        if self.queue:
            self.turn(now_ms, self.queue.popleft())
        left = program.left - 1
        if left:
            self.at(now_ms + PAUSE_MS, self.turn, program._replace(left=left))
            return
        idle_ms = TURNS * RUN_MS + (TURNS - 1) * PAUSE_MS
        took_ms = now_ms - program.begun_ms
        self.in_time += took_ms <= idle_ms * TIME_FACTOR + TARGET_MS


def arrivals(load: float, burst: float, rng: random.Random) -> Iterator[float]:
    """Draw when programs come, for a share of what the hosts can run."""
    now_ms = 0.0
    capacity = SLOTS / RUN_MS / TURNS
    while now_ms < END_MS:
        now_share = burst if BURST_MS[0] <= now_ms < BURST_MS[1] else load
        now_ms += rng.expovariate(capacity * now_share)
        yield now_ms


def admit_by_policy(wait_ms: float) -> bool:
    """Ask the policy."""
    return is_wait_acceptable(wait_ms, TARGET_MS, PRIORITY)


def admit_all(_: float) -> bool:
    """Let everybody in."""
    return True


class ProgramAdmissionTest(testtools.TestCase):
    """Compare what callers get with and without program admission."""

    def play(self, policy: AdmissionRule, load: float, burst: float) -> Tally:
        """Play the same arrivals with one policy."""
        found = list(arrivals(load, burst, random.Random(7)))
        return Hosts(policy, random.Random(8)).run(found)

    def test_a_burst_beyond_capacity(self) -> None:
        without = self.play(admit_all, 0.4, 1.3)
        held = self.play(admit_by_policy, 0.4, 1.3)
        self.assertTrue(held.share > without.share + 0.1, (held, without))
        self.assertEqual(0, held.refused)

    def test_nobody_is_turned_back_below_capacity(self) -> None:
        self.assertEqual(
            self.play(admit_all, 0.4, 0.8),
            self.play(admit_by_policy, 0.4, 0.8),
        )

    def test_urgent_programs_wait_longer(self) -> None:
        self.assertTrue(is_wait_acceptable(TARGET_MS, TARGET_MS, 0))
        self.assertFalse(is_wait_acceptable(TARGET_MS, TARGET_MS, 1))

    def test_returns_are_spread_within_the_time_left(self) -> None:
        rng = random.Random(1)
        returns = [retry_delay_ms(CALLER_MS, rng) for _ in range(100)]
        self.assertTrue(max(returns) <= CALLER_MS / 3)
        self.assertTrue(max(returns) - min(returns) > CALLER_MS / 20)
