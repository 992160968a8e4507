"""A route's retention is raised while a chain of turns goes on.

The first turn is answered under a retention of FORMER_S, the second one, which continues
it, under RETENTION_S. A third turn names the second one before RETENTION_S have passed.
"""

import asyncio

from review.case_3 import TROUBLE, main
from review.client_3 import Answer, call, turn_headers
from review.deployment_3 import LIMITS, Deployment, Record
from review.model_server_3 import ModelServer

FORMER_S = 10.0
RETENTION_S = 60.0
# Within which a configuration is in force after its acknowledgement, with a margin.
APPLIED_S = 3.5
# Less than RETENTION_S after the end of the second turn's answer.
LATER_S = 56.0
EVENTS = 3
DENIED = {404, 410}


def configuration(version: int, retention_s: float) -> dict[str, object]:
    """Return a version of the configuration."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'dialogue',
                'host': 'shop.example',
                'path_prefix': '/dialogue/',
                'kind': 'streaming',
                'timeout_ms': 3000,
                'target_latency_ms': 300,
                'priority': 0,
                'service': 'models',
                'max_attempts': 2,
                'retain_history': True,
                'retention_s': retention_s,
                'sticky': True,
                'resumable': False,
            }
        ],
        'services': [
            {
                'name': 'models',
                'health_path': '/health',
                'max_conns': 130,
                'engine': {'slots': 8, 'kv_capacity': 139376, 'tokens_per_event': 14},
            }
        ],
        'limits': LIMITS,
    }


async def play(deployment: Deployment, record: Record) -> bool:
    """Play the chain of turns; return whether the last turn was not denied."""
    server = ModelServer('server-1', 'models', EVENTS, 0.03)
    server.on_run = lambda run: record.note(f'{server.name} runs {run.id}: {run.body}')
    former_s = FORMER_S if TROUBLE else RETENTION_S
    await deployment.start(configuration(1, former_s))
    try:
        await server.start(deployment)
        await deployment.wait_until_ready()
        return await play_turns(deployment, record)
    finally:
        await server.end()


async def play_turns(deployment: Deployment, record: Record) -> bool:
    """Send the turns; return whether the last one was not denied."""

    async def turn(gateway: str, name: str, previous: str = '') -> Answer:
        headers = turn_headers(name, 'program', 'line', '100,60', 10_000)
        if previous:
            headers.append(('X-Pollenwalk-Previous-Turn', previous))
        record.note(
            f'turn {name} sent to {gateway}, previous turn {previous or "none"}'
        )
        address = deployment.addresses[gateway]
        answer = await call(address, 'POST', '/dialogue/a', headers, name.encode())
        record.note(f'turn {name} answered: {answer}')
        return answer

    answers = [await turn('gateway-1', 'turn-1')]
    if TROUBLE:
        await deployment.write('config/main', configuration(4, RETENTION_S))
        record.note(f'version 4 acknowledged: retention {FORMER_S} -> {RETENTION_S} s')
    await asyncio.sleep(APPLIED_S)
    answers.append(await turn('gateway-1', 'turn-2', 'turn-1'))
    if any(answer.status != 200 or not answer.whole for answer in answers):
        raise RuntimeError('the first turns were not answered')
    await asyncio.sleep(LATER_S)
    last = await turn('gateway-2', 'turn-3', 'turn-2')
    return last.status not in DENIED


main(__file__, play)
