"""Two storage machines are emptied at once; later another one loses its disk."""

import asyncio
import signal
import sys
from pathlib import Path

from stand_ins.lab import CannotRun, Lab, play, with_trouble
from stand_ins.talk import Conversation

RETENTION_S = 60.0
CATCH_UP_S = 4.4
DOWN_S = 1.0
EMPTIED = ('storage-rimouski-1', 'storage-rimouski-2')
STORAGE = {
    EMPTIED[0]: 'rimouski',
    EMPTIED[1]: 'rimouski',
    'storage-saguenay-1': 'saguenay',
    'storage-gatineau-1': 'gatineau',
}
GATEWAY = 'front-rimouski-1'
# It has handled none of the turns before the end.
OTHER_GATEWAY = 'front-saguenay-1'
WIPED = 'storage-saguenay-1'
LINES = 5
TURNS = 3
RETIRE_S = 10
LONGEST_RETIRE_S = 20.0
POLL_S = 0.05


async def case(lab: Lab) -> bool:
    """Return whether all lines go on."""
    for name, zone in STORAGE.items():
        lab.add_keeper(name, zone)
    for name in (GATEWAY, OTHER_GATEWAY):
        lab.add_gateway(name, name.split('-')[1])
    await lab.wait_ready(len(STORAGE))
    lines = [Conversation(lab, f'line-{one}', RETENTION_S) for one in range(LINES)]
    for _ in range(TURNS):
        await asyncio.gather(*(line.say(GATEWAY) for line in lines))
    if with_trouble():
        await empty_machines(lab)
        await asyncio.sleep(CATCH_UP_S)
        await lose_disk(lab)
        await asyncio.sleep(CATCH_UP_S)
    await asyncio.gather(*(line.say(OTHER_GATEWAY) for line in lines))
    return not any(line.denied or line.wrong for line in lines)


async def empty_machines(lab: Lab) -> None:
    """Ask for both machines to be emptied; remove each once it says so."""
    for name in EMPTIED:
        entry = {'spec': {'duration_s': RETIRE_S}, 'status': None}
        lab.store.put(('retirements', name), entry)
        lab.note(f'retirement of {name} asked for')
    await asyncio.gather(*(remove_emptied(lab, name) for name in EMPTIED))


async def remove_emptied(lab: Lab, name: str) -> None:
    """Remove a machine with its disk as soon as its status is `completed`."""
    give_up_at_s = lab.now_s + LONGEST_RETIRE_S
    while (status_of(lab, name) or {}).get('state') != 'completed':
        if lab.now_s > give_up_at_s:
            raise CannotRun(f'{name} has not been emptied')
        await asyncio.sleep(POLL_S)
    lab.note(f'{name} says completed')
    await lab.stop(name, signal.SIGKILL)
    lab.wipe(name)


def status_of(lab: Lab, name: str) -> dict[str, str] | None:
    """Return the status of a retirement."""
    return lab.store.objects[('retirements', name)]['status']


async def lose_disk(lab: Lab) -> None:
    """Stop one machine, empty its disk and start it again."""
    await lab.stop(WIPED, signal.SIGKILL)
    lab.wipe(WIPED)
    await asyncio.sleep(DOWN_S)
    lab.restart(WIPED)


if __name__ == '__main__':
    sys.exit(play(case, Path(__file__).parent, RETENTION_S))
