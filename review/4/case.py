"""Another writer's entry among the servers, with fields missing."""

import asyncio
import sys
from pathlib import Path
from typing import Any

from stand_ins.engine import Engine
from stand_ins.http import Answer, exchange
from stand_ins.lab import (
    ROUTE_HOST,
    STORAGE,
    CannotRun,
    Lab,
    configuration,
    play,
    with_trouble,
)

RETENTION_S = 60.0
CONFIG_APPLY_S = 3.0
GATEWAYS = ('front-rimouski-1', 'front-saguenay-1')
FIRST_PATH = '/fit/2f'
ADDED_PATH = '/stock/2f'
ADDED_SERVICE = 'comptoir'
SOUND_SERVERS = ('i-21c04f7e', 'i-58d1b9a3')
# An event of a sound server takes so long; each answer has three.
EVENT_S = 0.05
# The name has a typographic dash.
ODD_NAME = 'comptoir\u2013essai'
CALLERS = 16
REQUESTS = 30
PAUSE_S = 0.05
# The rule CONFIG: at least a quarter as often as on the first routes.
LEAST_SHARE = 0.25


async def case(lab: Lab) -> bool:
    """Return whether the added route is served often enough."""
    for name, zone in STORAGE.items():
        lab.add_keeper(name, zone)
    for name in GATEWAYS:
        lab.add_gateway(name, name.split('-')[1])
    await lab.wait_ready(len(STORAGE))
    for name in SOUND_SERVERS:
        engine = await lab.add_engine(name, 'rimouski', ADDED_SERVICE)
        engine.pause_s = EVENT_S
        engine.tells_load = True
    lab.write_configuration(with_added_route())
    if with_trouble():
        write_odd_entry(lab)
    await asyncio.sleep(CONFIG_APPLY_S)
    first = await share_served(lab, FIRST_PATH)
    added = await share_served(lab, ADDED_PATH)
    lab.note(f'served {first:.2f} on the first route, {added:.2f} on the added one')
    if not first:
        raise CannotRun('nothing was served')
    return added >= first * LEAST_SHARE


def with_added_route() -> dict[str, Any]:
    """Return a version with one more route, to a service of its own."""
    spec = configuration(RETENTION_S)
    added = {
        'name': 'stock-lookup',
        'host': ROUTE_HOST,
        'path_prefix': '/stock/',
        'kind': 'safe',
        'service': ADDED_SERVICE,
        'timeout_ms': 1500,
        'target_latency_ms': 400,
        'priority': 2,
        'max_attempts': 2,
    }
    return {
        **spec,
        'version': 9,
        'routes': [*spec['routes'], added],
        'services': [*spec['services'], {'name': ADDED_SERVICE, 'max_conns': 100}],
    }


def write_odd_entry(lab: Lab) -> None:
    """Write an entry that lacks `version`, `cold_left_ms` and `seq`."""
    spec = {
        'service': ADDED_SERVICE,
        'address': lab.engines[-1].address,
        'zone': 'rimouski',
        'slots': 8,
        'state': 'ready',
    }
    lab.store.put(('servers', ODD_NAME), {'spec': spec, 'status': None})
    lab.note(f'entry of another writer: servers/{ODD_NAME} {spec}')


async def share_served(lab: Lab, path: str) -> float:
    """Let callers send to both gateways; return the share that is served."""
    callers = (
        call_again(lab, GATEWAYS[number % len(GATEWAYS)], path)
        for number in range(CALLERS)
    )
    served = await asyncio.gather(*callers)
    return sum(served) / (CALLERS * REQUESTS)


async def call_again(lab: Lab, gateway: str, path: str) -> int:
    """Send one request after the other; return how many were served."""
    served = 0
    for _ in range(REQUESTS):
        answer = await call(lab, gateway, path)
        served += int(answer.status == 200 and answer.whole)
        await asyncio.sleep(PAUSE_S)
    return served


async def call(lab: Lab, gateway: str, path: str) -> Answer:
    """Send one request and record the answer and whether a server ran it."""
    request_id, headers = lab.turn_headers('')
    headers.pop('X-Pollenwalk-Program-Id')
    headers.pop('X-Pollenwalk-Session-Id')
    lab.note(f'sent {request_id} {path} to {gateway}')
    address = lab.addresses[gateway]
    answer = await exchange(address, 'POST', path, headers, b'insert 7\n')
    ran = any(has_run(engine, request_id) for engine in lab.engines)
    lab.note(f'answered {request_id} {answer.status} ran={ran} {answer.body[:60]!r}')
    return answer


def has_run(engine: Engine, request_id: str) -> bool:
    """Return whether a server ran a request."""
    return any(run.id == request_id for run in engine.runs)


if __name__ == '__main__':
    sys.exit(play(case, Path(__file__).parent, RETENTION_S))
