"""Simulation of a burst far above the capacity of hosts whose batches slow down."""

import heapq
import random
from collections.abc import Callable, Iterator
from functools import partial

import testtools

from pollenwalk.policy.fair_shares import counted_wait_ms
from pollenwalk.policy.program_admission import draw_retry_after_ms, is_wait_acceptable
from pollenwalk.policy.request_priority import is_promoted
from pollenwalk.policy.stretch_admission import (
    MAX_RANK_STEPS,
    RECENT_MS,
    StretchAdmission,
)
from pollenwalk.policy.turn_times import TurnTime

HOSTS = 6
SLOTS = 8
FIRST_MS = 30.0
PACE_MS = 5.0
# A full batch is slower than a single request by this factor.
FULL_BATCH = 1.35
EVENTS = (20, 80)
TURNS = (3, 8)
PAUSE_MS = (50.0, 250.0)
# A program is in time within a multiple of its time on idle hosts and an allowance
# for each turn.
MULTIPLES = (1.3, 1.6)
TURN_ALLOWANCE_MS = 150.0
CALLER_TIMEOUT_MS = 3000.0
TARGET_MS = 300.0
BURST_MS = (12_000.0, 18_000.0)
END_MS = 30_000.0
CALM = 0.5
SEEDS = (1, 2, 3, 4, 5, 6)

Step = Callable[[float], None]


class Program:
    """A simulated program; `in_time` is False until it has ended in time."""

    def __init__(self, begun_ms: float, rng: random.Random) -> None:
        """Draw the rank and the size of a program."""
        self.begun_ms = begun_ms
        self.rank = rng.choice((0, 1))
        self.turns = [rng.randint(*EVENTS) for _ in range(rng.randint(*TURNS))]
        self.pauses = [rng.uniform(*PAUSE_MS) for _ in self.turns]
        idle_ms = sum(self.pauses) + sum(FIRST_MS + PACE_MS * one for one in self.turns)
        allowance_ms = TURN_ALLOWANCE_MS * len(self.turns)
        self.due_ms = begun_ms + idle_ms * rng.uniform(*MULTIPLES) + allowance_ms
        self.organisation = ''
        self.admitted = False
        self.in_time = False


class Load:
    """Hosts with slots and queues, and the programs that they run.

    Attributes:
        slots: for each host, when each of its slots is free.
        slowness: for each host, a factor on the time of its turns.
    """

    def __init__(
        self, seed: int, uses_stretch: bool = True, uses_wait: bool = True
    ) -> None:
        """Start with idle hosts; programs are admitted by their turns' stretch and wait."""
        self.rng = random.Random(seed)
        self.uses_stretch = uses_stretch
        self.uses_wait = uses_wait
        self.exceeds_share = False
        self.admission = StretchAdmission()
        self.slots = [[0.0] * SLOTS for _ in range(HOSTS)]
        self.calls = [0] * HOSTS
        self.slowness = [1.0] * HOSTS
        self.events: list[tuple[float, float, Step]] = []
        self.programs: list[Program] = []
        self.refusals: list[float] = []

    def at(self, time_ms: float, step: Step) -> None:
        """Schedule a step."""
        heapq.heappush(self.events, (time_ms, self.rng.random(), step))

    def run(self, programs: Iterator[Program]) -> 'Load':
        """Run until all programs have ended or given up."""
        self.programs = list(programs)
        for program in self.programs:
            self.at(program.begun_ms, partial(self.begin, program))
        while self.events:
            time_ms, _, step = heapq.heappop(self.events)
            step(time_ms)
        return self

    def begin(self, program: Program, now_ms: float) -> None:
        """Send the first turn, or let the caller return while it is in time."""
        if self.may_begin(program, now_ms):
            program.admitted = True
            self.send(program, now_ms)
            return
        self.refusals.append(now_ms)
        back_ms = now_ms + draw_retry_after_ms(CALLER_TIMEOUT_MS, self.rng)
        if back_ms < program.due_ms:
            self.at(back_ms, partial(self.begin, program))

    def may_begin(self, program: Program, now_ms: float) -> bool:
        """Return whether the policies admit a program now."""
        wait_ms = max(min(self.calls) + 1 - SLOTS, 0) * FIRST_MS
        counted_ms = counted_wait_ms(wait_ms, self.exceeds_share)
        accepted = is_wait_acceptable(counted_ms, TARGET_MS, program.rank * 2)
        if self.uses_wait and not accepted:
            return False
        steps = 0 if is_promoted(str(program.begun_ms)) else program.rank
        steps = MAX_RANK_STEPS if self.exceeds_share else steps
        return not self.uses_stretch or self.admission.may_begin('up', steps, now_ms)

    def send(self, program: Program, now_ms: float) -> None:
        """Run the next turn at the host with the fewest calls."""
        host = min(range(HOSTS), key=lambda one: self.calls[one])
        self.calls[host] += 1
        load = self.calls[host] / SLOTS
        start_ms = max(heapq.heappop(self.slots[host]), now_ms)
        factor = 1 + (FULL_BATCH - 1) * min(load, 1)
        factor *= self.slowness[host] * self.rng.uniform(0.9, 1.1)
        events = program.turns.pop()
        first_ms = start_ms - now_ms + FIRST_MS * factor
        total_ms = first_ms + PACE_MS * factor * (events - 1)
        heapq.heappush(self.slots[host], now_ms + total_ms)
        turn = TurnTime('r', 'up', str(host), first_ms, total_ms, events, load)
        self.at(now_ms + total_ms, partial(self.end_turn, program, turn))

    def end_turn(self, program: Program, turn: TurnTime, now_ms: float) -> None:
        """End a turn, and begin the program's next one after a pause."""
        self.admission.record(turn, now_ms)
        self.calls[int(turn.host)] -= 1
        next_ms = now_ms + program.pauses.pop()
        if program.turns:
            self.at(next_ms, partial(self.send, program))
        program.in_time = not program.turns and next_ms <= program.due_ms

    def counted(self, rank: int | None = None) -> list[Program]:
        """Return the programs of a rank, or all, that began in the burst or later."""
        since_ms = BURST_MS[0]
        return [
            one
            for one in self.programs
            if one.begun_ms >= since_ms and rank in {None, one.rank}
        ]

    def in_time(self, rank: int | None = None) -> float:
        """Return the share of these programs that ended in time."""
        counted = self.counted(rank)
        return sum(one.in_time for one in counted) / len(counted)


def arrivals(seed: int, burst: float, calm: float = CALM) -> Iterator[Program]:
    """Yield programs at random times, by shares of the hosts' capacity."""
    rng = random.Random(seed)
    turn_ms = (FIRST_MS + PACE_MS * sum(EVENTS) / 2) * FULL_BATCH
    capacity = HOSTS * SLOTS / turn_ms / (sum(TURNS) / 2)
    now_ms = 0.0
    while now_ms < END_MS:
        load = burst if BURST_MS[0] <= now_ms < BURST_MS[1] else calm
        now_ms += rng.expovariate(capacity * load)
        yield Program(now_ms, rng)


def learned(host_load: float, factor: float = 1, turns: int = 40) -> StretchAdmission:
    """Return an admission that has seen calm turns, then, until 10 s, longer ones."""
    admission = StretchAdmission()
    for number in range(200):
        turn = TurnTime('r', 'up', str(number % 5), 30, 330, 61, 0.3)
        admission.record(turn, number * 45.0)
        if not number % 5:
            admission.may_begin('up', 0, number * 45.0)
    for number in range(turns):
        times_ms = (30 * factor, 330 * factor)
        turn = TurnTime('r', 'up', str(number % 5), *times_ms, 61, host_load)
        admission.record(turn, 9600.0 + number * 10)
    return admission


def admits_all(admission: StretchAdmission, now_ms: float) -> bool:
    """Return whether twenty programs of the least urgent rank may begin at once."""
    begun = [admission.may_begin('up', 3, now_ms) for _ in range(20)]
    return all(begun)


class StretchAdmissionTest(testtools.TestCase):
    """Programs in time with and without admission by the stretch of turns."""

    def test_more_programs_end_in_time_in_a_burst(self) -> None:
        # Guards against admission that refuses without helping those it admits.
        # Where the wait at hosts admits everything, it must help in each draw. Admission
        # by the wait is as good in some draws of twice the capacity, so the mean counts.
        gains = []
        for seed in SEEDS:
            by_both, by_wait, by_stretch, none = (
                Load(seed, uses_stretch, uses_wait).run(arrivals(seed, 2.0)).in_time()
                for uses_wait in (True, False)
                for uses_stretch in (True, False)
            )
            self.assertTrue(by_stretch > none, (seed, by_stretch, none))
            gains.append(by_both - by_wait)
        self.assertTrue(sum(gains) > 0, gains)

    def test_urgent_go_first_and_no_rank_starves(self) -> None:
        # Guards against both penalties: an urgent rank served less, and starvation.
        for seed in SEEDS:
            load = Load(seed).run(arrivals(seed, 3.0))
            self.assertTrue(load.in_time(0) >= load.in_time(1))
            shares = [
                sum(one.admitted for one in load.counted(rank))
                / len(load.counted(rank))
                for rank in (1, None)
            ]
            self.assertTrue(shares[0] >= shares[1] / 4, shares)

    def test_nothing_is_refused_in_calm(self) -> None:
        # Guards against refusals by noise, or because one host is slow.
        for slowness in (1.0, 3.0):
            for seed in SEEDS:
                load = Load(seed)
                load.slowness[0] = slowness
                load.run(arrivals(seed, CALM))
                self.assertEqual([], load.refusals)

    def test_no_refusal_without_enough_evidence(self) -> None:
        # Guards against refusals by few turns, or while hosts have free slots.
        self.assertFalse(admits_all(learned(1.5, 4), 10_000))
        self.assertTrue(admits_all(learned(1.5, 4, turns=4), 10_000))
        self.assertTrue(admits_all(StretchAdmission(), 10_000))

    def test_wrong_estimate_of_the_uncrowded_time(self) -> None:
        # Guards against refusals in calm if the estimate is half of what it should be,
        # and against no admission control in a burst if it is twice as much.
        self.assertTrue(admits_all(learned(0.5, 2), 10_000))
        self.assertFalse(admits_all(learned(1.5, 2), 10_000))

    def test_recovers_when_turns_are_fast_again(self) -> None:
        # Guards against refusals that outlast the shortage.
        admission = learned(1.5, 4)
        self.assertFalse(admits_all(admission, 10_000))
        self.assertTrue(admits_all(admission, 10_000 + RECENT_MS))
