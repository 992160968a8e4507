"""Placement policies on the same seeded arrivals, in virtual time.

The real entries and sidecars run over stand-in engines. Each policy meets the
same programs at the same moments; ratios are ours against the best baseline.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from pollenwalk.policy.placement import (
    ExpectedFinish,
    HostView,
    LeastLoaded,
    Placement,
    PlacementRequest,
    RoundRobin,
    Sticky,
    round_trip_ms,
)
from standin.caller import Caller, Story, Tally
from standin.demo import percentiles
from standin.virtual.loop import run_virtual
from standin.virtual.world import Shape, World, WorldEntryClient

BASELINES = ('round-robin', 'least-loaded', 'sticky')
OURS = 'expected-finish'
ORACLE = 'oracle'
LOADS = (0.5, 0.8, 0.95, 1.2)
RUN_MS = 15_000
MODELS = ('rimouski', 'rimouski', 'saguenay', 'gatineau')
PLAINS = ('rimouski', 'saguenay', 'gatineau', 'saguenay') * 2
ENTRIES = ('rimouski', 'saguenay', 'envigado', 'gatineau')
SLOTS = 4
MEMORY_TOKENS = 1500
STORY = Story(
    'spares-dispatch',
    'advisory',
    'orders',
    ('reserve', 'order', 'refund'),
    (3, 12),
    300.0,
)
# One engine at full batches does so many of these programs in a second.
PROGRAMS_PER_ENGINE_SECOND = 2.8
DEADLINE_FACTOR = 3.0
MS_PER_SECOND = 1000


class Outcome(NamedTuple):
    """One policy at one load."""

    policy: str
    load: float
    p50_ms: float
    p95_ms: float
    p99_ms: float
    completed: int
    in_time: int
    prefilled: int
    wasted: int
    crossed_bytes: int
    tries_again: int
    refused: int


class Oracle:
    """Knows the true load of every engine; no real entry could."""

    def __init__(self, world: World) -> None:
        """Look into the engines of `world`."""
        self.world = world

    def choose(
        self, hosts: Sequence[HostView], request: PlacementRequest
    ) -> HostView | None:
        """Pick the host that truly finishes first."""
        return min(
            hosts,
            key=lambda host: (self.finish_ms(host, request), host.sidecar),
            default=None,
        )

    def finish_ms(self, host: HostView, request: PlacementRequest) -> float:
        """Count the steps before the call's first token."""
        engine = self.world.engines.get(host.sidecar)
        if engine is None:
            return round_trip_ms(host, request) + host.estimated_calls
        cached = engine.cache.get(request.program, 0)
        sidecar = self.world.sidecars[host.sidecar].sidecar
        work = [
            one.to_prefill * request.prefill_ms
            + (one.request.max_tokens - len(one.stream.texts)) * engine.shape.step_ms
            for one in engine.batch
        ]
        waiting = len(sidecar.executor.slot_queue.waiting) + len(engine.waiting)
        free = max(engine.shape.slots - len(work), 0)
        typical = sum(work) / len(work) if work else request.expected_decode_ms
        queue_ms = max(waiting + 1 - free, 0) * typical / engine.shape.slots
        prefill_ms = max(request.prompt_tokens - cached, 0) * request.prefill_ms
        return round_trip_ms(host, request) + queue_ms + prefill_ms


def make_policy(name: str, world: World, rng: random.Random) -> Placement:
    """Make a policy of a name."""
    makers: dict[str, Callable[[], Placement]] = {
        'round-robin': RoundRobin,
        'least-loaded': lambda: LeastLoaded(rng),
        'sticky': lambda: Sticky(rng),
        OURS: ExpectedFinish,
        ORACLE: lambda: Oracle(world),
    }
    return makers[name]()


async def run_policy(name: str, load: float, seed: int) -> Outcome:
    """Run one policy through one seeded load."""
    world = World(Shape(ENTRIES, MODELS, PLAINS, 2, seed))
    world.engine_shape = world.engine_shape._replace(
        slots=SLOTS,
        memory_tokens=MEMORY_TOKENS,
    )
    world.slots = SLOTS
    await world.start()
    for number, process in enumerate(world.entries.values()):
        policy = make_policy(name, world, random.Random(seed + number))
        process.entry.placement = policy
        context = process.entry.owner.context._replace(placement=policy)
        process.entry.owner.context = context
    crossed = world.fabric.map.crossed_bytes
    tally = await drive(world, load, seed)
    fast = [one for one in tally.latency_ms if one <= deadline_ms()]
    shape = percentiles(tally.latency_ms)
    return Outcome(
        name,
        load,
        shape.p50,
        shape.p95,
        shape.p99,
        tally.completed,
        len(fast),
        world.ledger.prefilled,
        world.ledger.prefilled_again,
        world.fabric.map.crossed_bytes - crossed,
        tally.late_tries,
        len(tally.refused),
    )


def deadline_ms() -> float:
    """Return the time in which a program counts as done by its deadline."""
    turns = sum(STORY.turns) / 2
    return DEADLINE_FACTOR * turns * (STORY.pause_ms + 16 * 10.0)


async def drive(world: World, load: float, seed: int) -> Tally:
    """Begin programs at the rate that makes the load, and wait for all."""
    rng = random.Random(f'arrivals/{seed}/{load}')
    client = WorldEntryClient(world, random.Random(seed))
    tally = Tally(world.ledger)
    rate = load * PROGRAMS_PER_ENGINE_SECOND * len(MODELS)
    running = []
    number = 0
    while world.clock.now_ms() < RUN_MS:
        name = f'place{number}'
        number += 1
        caller = Caller(
            name, client, world.clock, random.Random(f'{seed}/{name}'), tally
        )
        running.append(asyncio.ensure_future(caller.run(STORY)))
        await world.clock.sleep_ms(rng.expovariate(rate / MS_PER_SECOND))
    await asyncio.gather(*running)
    return tally


def best(outcomes: dict[str, Outcome], field: str) -> float:
    """Return the best baseline's figure."""
    return min(getattr(outcomes[name], field) for name in BASELINES)


def ratios(table: dict[float, dict[str, Outcome]]) -> dict[str, float]:
    """Compare ours with the best baseline of the same run."""
    high = table[0.95]
    over = table[1.2]
    middle = table[0.8]
    goodput = max(over[name].in_time for name in BASELINES)
    return {
        'p95_latency': high[OURS].p95_ms / best(high, 'p95_ms'),
        'wasted_cache': high[OURS].wasted / max(best(high, 'wasted'), 1),
        'cross_region_bytes': (high[OURS].crossed_bytes / best(high, 'crossed_bytes')),
        'goodput_overload': over[OURS].in_time / max(goodput, 1),
        'p95_against_oracle': middle[OURS].p95_ms / middle[ORACLE].p95_ms,
    }


def run(seed: int) -> dict[str, Any]:
    """Run all policies at all loads."""
    table = {
        load: {
            name: run_virtual(run_policy(name, load, seed))
            for name in (*BASELINES, OURS, ORACLE)
        }
        for load in LOADS
    }
    return {
        'seed': seed,
        'ratios': ratios(table),
        'goals': {
            'p95_latency': 0.6,
            'wasted_cache': 0.5,
            'cross_region_bytes': 0.6,
            'goodput_overload': 1.5,
            'p95_against_oracle': 1.1,
        },
        'table': [
            outcome._asdict() for row in table.values() for outcome in row.values()
        ],
    }


def plot(result: dict[str, Any], path: Path) -> None:
    """Draw whole-program p95 against load, a line a policy."""
    import matplotlib  # noqa: PLC0415, WPS433

    matplotlib.use('Agg')
    from matplotlib import pyplot  # noqa: PLC0415, WPS433

    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4))
    for name in (*BASELINES, OURS, ORACLE):
        rows = [row for row in result['table'] if row['policy'] == name]
        loads = [row['load'] for row in rows]
        axes[0].plot(loads, [row['p95_ms'] for row in rows], marker='o', label=name)
        axes[1].plot(loads, [row['wasted'] for row in rows], marker='o', label=name)
    axes[0].set(xlabel='load', ylabel='whole program p95, ms')
    axes[1].set(xlabel='load', ylabel='tokens prefilled again')
    axes[0].legend()
    figure.tight_layout()
    figure.savefig(path)
