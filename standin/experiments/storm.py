"""Tries sent to an upstream that refuses everything, with and without budgets.

The same programs meet the same outage in virtual time; the second run lets
every retry pass that the first would have refused.
"""

import asyncio
import random
from typing import Any
from unittest import mock

from pollenwalk.request.retry import RetryBudget
from standin.caller import SPARES, Caller, Tally
from standin.virtual.loop import run_virtual
from standin.virtual.world import Shape, World, WorldEntryClient

PROGRAMS = 40
EVERY_MS = 100
HEALTHY_MS = 1000
OUTAGE_MS = 10_000
MANY = 1_000_000


async def outage(seed: int) -> dict[str, float]:
    """Run programs through an outage of the plain service."""
    world = World(Shape(seed=seed))
    await world.start()
    client = WorldEntryClient(world, random.Random(seed))
    tally = Tally(world.ledger)
    running = []
    services = list(world.services.values())
    for number in range(PROGRAMS):
        if number * EVERY_MS == HEALTHY_MS:
            for service in services:
                service.refuse = MANY
        name = f'storm{number}'
        caller = Caller(name, client, world.clock, random.Random(name), tally)
        running.append(asyncio.ensure_future(caller.run(SPARES)))
        await world.clock.sleep_ms(EVERY_MS)
    await world.clock.sleep_ms(OUTAGE_MS)
    refused = sum(MANY - service.refuse for service in services)
    for service in services:
        service.refuse = 0
    await asyncio.gather(*running)
    return {
        'tries_refused': refused,
        'completed': tally.completed,
        'begun': tally.begun,
        'callers_tries_again': tally.late_tries,
        'tries_for_each_of_callers': refused / max(tally.late_tries, 1),
    }


def run(seed: int) -> dict[str, Any]:
    """Run both and compare."""
    with_budgets = run_virtual(outage(seed))
    with mock.patch.object(RetryBudget, 'spend', lambda budget: True):
        without = run_virtual(outage(seed))
    return {
        'seed': seed,
        'with_budgets': with_budgets,
        'without_budgets': without,
        'ratios': {
            'tries_with_to_without': (
                with_budgets['tries_refused'] / without['tries_refused']
            ),
        },
    }
