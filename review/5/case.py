"""After a route is split, programs at the second service exceed their budgets."""

import asyncio
import sys
from pathlib import Path

from stand_ins.lab import STORAGE, Lab, configuration, play, with_trouble

RETENTION_S = 60.0
GATEWAY = 'front-rimouski-1'
PATH = '/fit/2f'
SECOND, SECOND_TOKENS_PER_EVENT = 'conseiller-2', 48
BUDGET, MOST = 480, 48
PROGRAMS = 12
# More turns than the budget holds, even of the smallest size.
MAX_TURNS = 40
# `config_apply_ms` of the sheet, and a second more.
APPLY_S = 4.0


def split_configuration() -> dict:
    """Return the next version: half of the programs go to a second service."""
    spec = configuration(RETENTION_S)
    spec['version'] += 3
    for route in spec['routes']:
        route.pop('service')
        route['traffic_split'] = [
            {'service': 'conseiller', 'weight': 50},
            {'service': SECOND, 'weight': 50},
        ]
    first = spec['services'][0]
    engine = {**first['engine'], 'tokens_per_event': SECOND_TOKENS_PER_EVENT}
    spec['services'].append({**first, 'name': SECOND, 'engine': engine})
    return spec


async def spend(lab: Lab, program: str) -> int:
    """Send turns until one is refused; return the tokens that were handed out."""
    handed = 0
    for number in range(MAX_TURNS):
        text = f'{program} input {number}\n'.encode()
        request, answer = await lab.turn(
            GATEWAY, PATH, program, '', text, budget=BUDGET, most=MOST
        )
        if answer.status == 402:
            break
        handed += sum(
            answer.body.count(b'id: ') * engine.tokens_per_event
            for engine in lab.engines
            for run in engine.runs
            if run.id == request
        )
    lab.note(f'{program} got {handed} tokens of {BUDGET}')
    return handed


async def case(lab: Lab) -> bool:
    """Return whether no program got more than its budget and one turn."""
    for name, zone in STORAGE.items():
        lab.add_keeper(name, zone)
    lab.add_gateway(GATEWAY, 'rimouski')
    await lab.add_engine('i-02d9e6b4', 'rimouski', SECOND, SECOND_TOKENS_PER_EVENT)
    await lab.wait_ready(len(STORAGE))
    before = [spend(lab, f'before-{number}') for number in range(PROGRAMS)]
    handed = await asyncio.gather(*before)
    if with_trouble():
        lab.write_configuration(split_configuration())
    await asyncio.sleep(APPLY_S)
    after = [spend(lab, f'after-{number}') for number in range(PROGRAMS)]
    handed += await asyncio.gather(*after)
    over = [tokens for tokens in handed if tokens > BUDGET + MOST]
    lab.note(f'{len(over)} of {len(handed)} programs got more than {BUDGET + MOST}')
    return not over


if __name__ == '__main__':
    sys.exit(play(case, Path(__file__).resolve().parent, RETENTION_S))
