"""A storage machine is replaced as planned; later another one loses its disk."""

import asyncio
import signal
import sys
from pathlib import Path

from stand_ins.lab import STORAGE, Lab, play, with_trouble
from stand_ins.talk import BUDGET, PATH

RETENTION_S = 60.0
# Bounds of the site file.
RECOVER_S = 12.0
CATCH_UP_S = 4.4
# The rule RECOVER: a quarter of the requests.
LEAST_SHARE = 0.25
REQUESTS = 40
INTERVAL_S = 0.2
GATEWAYS = ('front-rimouski-1', 'front-gatineau-1')
REPLACED = 'storage-saguenay-1'
SUCCESSOR = 'storage-saguenay-2'
WIPED = 'storage-gatineau-1'
DOWN_S = 1.0


async def case(lab: Lab) -> bool:
    """Return whether a quarter of the requests is served after the fault."""
    for name, zone in STORAGE.items():
        lab.add_keeper(name, zone)
    for name in GATEWAYS:
        lab.add_gateway(name, name.split('-')[1])
    await lab.wait_ready(len(STORAGE))
    before = await share_served(lab, 'before')
    if with_trouble():
        await replace_as_planned(lab)
        await lose_disk(lab)
    lab.note('all machines are back')
    await asyncio.sleep(RECOVER_S)
    after = await share_served(lab, 'after')
    lab.note(f'served {before:.2f} before the fault, {after:.2f} after it')
    return before < LEAST_SHARE or after >= LEAST_SHARE


async def replace_as_planned(lab: Lab) -> None:
    """Add the successor, then stop the machine that it replaces for good."""
    lab.add_keeper(SUCCESSOR, 'saguenay', first_start=False)
    await lab.wait_log(SUCCESSOR, 'registered')
    await asyncio.sleep(CATCH_UP_S)
    await lab.stop(REPLACED, signal.SIGTERM)
    await asyncio.sleep(CATCH_UP_S)
    lab.note(f'keepers listed in the store: {lab.store.names("keepers")}')
    share = await share_served(lab, 'between')
    lab.note(f'served {share:.2f} with the successor')


async def lose_disk(lab: Lab) -> None:
    """Stop one machine, empty its disk and start it again."""
    await lab.stop(WIPED, signal.SIGKILL)
    lab.wipe(WIPED)
    await asyncio.sleep(DOWN_S)
    lab.restart(WIPED)


async def share_served(lab: Lab, name: str) -> float:
    """Send first turns of new programs; return the share that is served."""
    sending = []
    for number in range(REQUESTS):
        gateway = GATEWAYS[number % len(GATEWAYS)]
        program = f'{name}-{number}'
        turn = lab.turn(gateway, PATH, program, '', b'which insert fits\n', BUDGET)
        sending.append(asyncio.ensure_future(turn))
        await asyncio.sleep(INTERVAL_S)
    answers = [answer for _, answer in await asyncio.gather(*sending)]
    served = sum(answer.status == 200 and answer.whole for answer in answers)
    return served / REQUESTS


if __name__ == '__main__':
    sys.exit(play(case, Path(__file__).parent, RETENTION_S))
