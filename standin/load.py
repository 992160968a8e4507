"""The load tool: seeded programs against running entries."""

import asyncio
import random
import sys
from collections.abc import Iterator
from typing import Any

from pollenwalk.process.clock import MS_PER_SECOND, LoopClock
from standin.caller import SPARES, TEA_CHEST, Caller, Story, Tally
from standin.demo import percentiles
from standin.entry_client import HttpEntryClient
from standin.ledger import Ledger

PROGRESS_MS = 2000
BURST = 20


def gaps_ms(arrival: str, rate: float, rng: random.Random) -> Iterator[float]:
    """Draw the pauses between beginnings, for ever.

    Args:
        arrival: 'poisson', 'steady' or 'burst'.
        rate: beginnings a second on average.
        rng: the source of randomness.

    Yields:
        Milliseconds.
    """
    mean_ms = MS_PER_SECOND / rate
    number = 0
    while True:
        number += 1
        if arrival == 'poisson':
            yield rng.expovariate(1 / mean_ms)
        elif arrival == 'steady':
            yield mean_ms
        else:
            yield 0 if number % BURST else mean_ms * BURST


def pick_story(share: float, rng: random.Random) -> Story:
    """Draw a program's kind."""
    return SPARES if rng.random() < share else TEA_CHEST


async def run_programs(options: dict[str, Any]) -> dict[str, Any]:
    """Run programs and report.

    Args:
        options: the [load] section.

    Returns:
        The figures as JSON.
    """
    rng = random.Random(options['seed'])
    clock = LoopClock()
    tally = Tally(Ledger())
    client = HttpEntryClient(options['entries'], random.Random(options['seed']))
    progress = asyncio.ensure_future(show_progress(tally, clock))
    begun_ms = clock.now_ms()
    running = []
    gaps = gaps_ms(options['arrival'], options['rate'], rng)
    for number in range(options['programs']):
        story = pick_story(options['spares_share'], rng)
        name = f'load-{options["seed"]}-{number}'
        caller = Caller(name, client, clock, random.Random(name), tally)
        running.append(asyncio.ensure_future(caller.run(story)))
        await clock.sleep_ms(next(gaps))
    await asyncio.gather(*running)
    progress.cancel()
    await client.close()
    return figures(tally, clock.now_ms() - begun_ms)


async def show_progress(tally: Tally, clock: LoopClock) -> None:
    """Write a line to standard error now and then."""
    while True:
        await clock.sleep_ms(PROGRESS_MS)
        sys.stderr.write(
            f'begun {tally.begun}, completed {tally.completed}, '
            f'calls {tally.calls}, refused {len(tally.refused)}\n',
        )


def figures(tally: Tally, elapsed_ms: float) -> dict[str, Any]:
    """Put the report together."""
    return {
        'programs_begun': tally.begun,
        'programs_completed': tally.completed,
        'calls': tally.calls,
        'calls_per_second': tally.calls * MS_PER_SECOND / elapsed_ms,
        'lost': len(tally.lost),
        'mixed': len(tally.mixed),
        'unknown': len(tally.unknown),
        'refused': tally.refused,
        'tries_again': tally.late_tries,
        'elapsed_ms': elapsed_ms,
        'latency_ms': percentiles(tally.latency_ms)._asdict(),
    }
