"""The demo: both deployments' programs on stand-ins, judged from outside."""

import asyncio
import random
import signal
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from pollenwalk.connection.http_server import free_port
from standin.caller import SPARES, TEA_CHEST, Caller, Tally
from standin.engine import EngineShape
from standin.entry_client import HttpEntryClient
from standin.system import BOTH, System

IDEMPOTENT = frozenset(('lookup', 'chat'))
ARRIVAL_MS = 25.0
RELEASE_WAIT_MS = 3000
RELEASE_CHECK_MS = 50
HISTOGRAM_MAX_MS = 3_600_000
DIGITS = 3


class Latency(NamedTuple):
    """Percentiles of whole programs, in ms."""

    p50: float
    p95: float
    p99: float


class Report(NamedTuple):
    """What the demo found, counted at the stand-ins and the callers."""

    programs_begun: int
    programs_completed: int
    calls: int
    lost: int
    mixed: int
    doubled: int
    out_of_order: int
    over_budget: int
    held_after_end: int
    latency_ms: Latency
    wasted_cache_tokens: int
    cross_region_bytes: int


def percentiles(values: list[float]) -> Latency:
    """Summarize times in ms."""
    histogram = HdrHistogram(1, HISTOGRAM_MAX_MS, DIGITS)
    for one in values:
        histogram.record_value(max(int(one), 1))
    return Latency(
        *(float(histogram.get_value_at_percentile(rank)) for rank in (50, 95, 99)),
    )


def judge(system: System, tally: Tally) -> Report:
    """Count what the callers and the stand-ins saw."""
    ledger = system.ledger
    missing = [
        tag for tag, execution in tally.answered.items() if not ledger.runs_of(tag)
    ]
    over_budget = [
        program
        for program, limit in tally.budgets.items()
        if ledger.generated[program] > limit
    ]
    return Report(
        tally.begun,
        tally.completed,
        tally.calls,
        len(tally.lost) + len(missing) + len(tally.refused),
        len(tally.mixed),
        len(ledger.doubled(IDEMPOTENT)),
        len(ledger.out_of_order()),
        len(over_budget),
        system.held(tally.programs),
        percentiles(tally.latency_ms),
        ledger.prefilled_again,
        system.map.crossed_bytes,
    )


async def run_demo(programs: int, seed: int) -> Report:
    """Run some programs and judge them.

    Args:
        programs: how many programs of each deployment.
        seed: of all randomness.

    Returns:
        What was found.
    """
    system = System(BOTH, seed, EngineShape())
    await system.start([free_port(), free_port()])
    rng = random.Random(seed)
    client = HttpEntryClient(system.urls, random.Random(seed))
    tally = Tally(system.ledger)
    running = []
    for number in range(programs):
        for story in (SPARES, TEA_CHEST):
            name = f'{story.declaration}-{number}'
            own_rng = random.Random(f'{seed}/{name}')
            caller = Caller(name, client, system.clock, own_rng, tally)
            running.append(asyncio.ensure_future(caller.run(story)))
            await system.clock.sleep_ms(rng.expovariate(1 / ARRIVAL_MS))
    await asyncio.gather(*running)
    await wait_released(system, tally)
    report = judge(system, tally)
    await client.close()
    await system.stop()
    return report


async def wait_released(system: System, tally: Tally) -> None:
    """Wait a moment until the last releases reach the engines."""
    until_ms = system.clock.now_ms() + RELEASE_WAIT_MS
    while system.held(tally.programs) and system.clock.now_ms() < until_ms:
        await system.clock.sleep_ms(RELEASE_CHECK_MS)


async def serve(port: int, seed: int) -> None:
    """Keep the system running until SIGTERM or SIGINT.

    Args:
        port: of the first entry; the second takes the next.
        seed: of all randomness.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for one in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(one, stopped.set)
    system = System(BOTH, seed, EngineShape())
    await system.start([port, port + 1])
    await stopped.wait()
    await system.stop()
