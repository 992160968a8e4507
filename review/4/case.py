"""A keeper without its records retires, and leaves single copies behind."""

import asyncio
import signal
import sys
from pathlib import Path

from stand_ins.lab import STORAGE, CannotRun, Lab, play, with_trouble
from stand_ins.talk import Conversation

RETENTION_S = 60.0
HOME, OTHER = 'front-rimouski-1', 'front-saguenay-1'
RETIRED, RESTARTED, _ = STORAGE
PROGRAMS = 8
TALK_S = 3.0
DOWN_S = 1.0
DURATION_S = 10
# `catch_up_s` of the sheet is 4.4: only one keeper counts as lost at a time.
GAP_S = 5.0
RESTART_S = 1.0


async def replace_broken_disk(lab: Lab) -> None:
    """Let a machine lose its disk, and have it taken away.

    Raises:
        CannotRun: it was not emptied in time.
    """
    await lab.stop(RETIRED, signal.SIGKILL)
    lab.wipe(RETIRED)
    key = ('retirements', RETIRED)
    lab.store.put(key, {'spec': {'duration_s': DURATION_S}, 'status': None})
    lab.note(f'the operator asks for {RETIRED} to be emptied')
    await asyncio.sleep(DOWN_S)
    lab.restart(RETIRED)
    for _ in range(DURATION_S * 100):
        status = lab.store.objects[key]['status'] or {}
        if status.get('state') == 'completed':
            lab.note(f'{RETIRED} reports completed and is removed')
            await lab.stop(RETIRED, signal.SIGKILL)
            return
        await asyncio.sleep(0.01)
    raise CannotRun(f'{RETIRED} was not emptied')


async def case(lab: Lab) -> bool:
    """Return whether each turn was found that was answered within the retention."""
    for name, zone in STORAGE.items():
        lab.add_keeper(name, zone)
    lab.add_gateway(HOME, 'rimouski')
    lab.add_gateway(OTHER, 'saguenay')
    await lab.wait_ready(len(STORAGE))
    lines = [Conversation(lab, f'p{number}', RETENTION_S) for number in range(PROGRAMS)]
    talking = [asyncio.ensure_future(line.go_on(HOME)) for line in lines]
    await asyncio.sleep(TALK_S)
    for line in lines:
        line.running = False
    await asyncio.gather(*talking)
    if with_trouble():
        await replace_broken_disk(lab)
    await asyncio.sleep(GAP_S)
    if with_trouble():
        await lab.stop(RESTARTED, signal.SIGTERM)
    lab.note('the lines move to another zone')
    await asyncio.gather(*(line.say(OTHER) for line in lines))
    if with_trouble():
        await asyncio.sleep(RESTART_S)
        lab.restart(RESTARTED)
    denied = sum(bool(line.denied) for line in lines)
    lab.note(f'{denied} of {PROGRAMS} lines were told that their last turn is unknown')
    return not any(line.denied or line.wrong for line in lines)


if __name__ == '__main__':
    sys.exit(play(case, Path(__file__).resolve().parent, RETENTION_S))
