"""A version splits a route between two model services."""

import asyncio
import sys
from collections import Counter
from pathlib import Path
from typing import Any

from stand_ins.lab import CannotRun, Lab, configuration, play, with_trouble

RETENTION_S = 60.0
CONFIG_APPLY_S = 3.0
STORAGE = {
    'storage-rimouski-1': 'rimouski',
    'storage-saguenay-1': 'saguenay',
    'storage-gatineau-1': 'gatineau',
}
GATEWAY = 'front-rimouski-1'
PATH = '/fit/2f'
# Tokens for each event of the service that served alone, and of the other one.
FORMER_TOKENS = 4
OTHER_TOKENS = 16
MOST = 48
BUDGET = 96
TURNS = 20
# So that a turn that was refused for load comes back later.
PAUSE_S = 0.2
PROGRAMS = 10


async def case(lab: Lab) -> bool:
    """Return whether all programs stay within their budget and one more turn."""
    for name, zone in STORAGE.items():
        lab.add_keeper(name, zone)
    lab.add_gateway(GATEWAY, 'rimouski')
    await lab.add_engine('i-91d2', 'rimouski', 'conseiller-2', OTHER_TOKENS)
    lab.engines[0].tokens_per_event = FORMER_TOKENS
    lab.write_configuration(version(8, {'service': 'conseiller'}))
    await lab.wait_ready(len(STORAGE))
    if with_trouble():
        split = [
            {'service': 'conseiller', 'weight': 50},
            {'service': 'conseiller-2', 'weight': 50},
        ]
        lab.write_configuration(version(9, {'traffic_split': split}))
    await asyncio.sleep(CONFIG_APPLY_S + 1)
    spent: Counter[str] = Counter()
    for _ in range(TURNS):
        await asyncio.gather(*(turn(lab, one, spent) for one in range(PROGRAMS)))
        await asyncio.sleep(PAUSE_S)
    for program, tokens in sorted(spent.items()):
        lab.note(f'{program} was handed {tokens} tokens; its budget is {BUDGET}')
    if not spent:
        raise CannotRun('no turn was served')
    return max(spent.values()) <= BUDGET + MOST


def version(number: int, leads_to: dict[str, Any]) -> dict[str, Any]:
    """Return a version in which the route of this case leads somewhere."""
    spec = configuration(RETENTION_S)
    guide, query = spec['routes']
    query.pop('service')
    engine = spec['services'][0]['engine']
    return {
        **spec,
        'version': number,
        'routes': [guide, {**query, **leads_to}],
        'services': [
            service('conseiller', {**engine, 'tokens_per_event': FORMER_TOKENS}),
            service('conseiller-2', {**engine, 'tokens_per_event': OTHER_TOKENS}),
        ],
    }


def service(name: str, engine: dict[str, Any]) -> dict[str, Any]:
    """Return the entry of one model service."""
    return {'name': name, 'max_conns': 140, 'engine': engine}


async def turn(lab: Lab, number: int, spent: Counter[str]) -> None:
    """Send one turn of a program and count the tokens that it is handed."""
    program = f'program-{number}'
    _, answer = await lab.turn(GATEWAY, PATH, program, '', b'go on\n', BUDGET, MOST)
    if answer.status != 200:
        return
    events = answer.body.count(b'data: ')
    run = next(
        engine
        for engine in lab.engines
        if any(
            one.id == answer.headers['x-pollenwalk-request-id'] for one in engine.runs
        )
    )
    spent[program] += events * run.tokens_per_event


if __name__ == '__main__':
    sys.exit(play(case, Path(__file__).parent, RETENTION_S))
