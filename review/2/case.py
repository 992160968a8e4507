"""A conversation that spans a rolling restart of the keepers loses its history."""

import asyncio
import signal
import sys
from pathlib import Path

from stand_ins.lab import STORAGE, Lab, play, with_trouble
from stand_ins.talk import TURN_INTERVAL_S, Conversation

RETENTION_S = 20.0
HOME, OTHER = 'front-rimouski-1', 'front-saguenay-1'
TURNS_BEFORE = 8
DOWN_S = 1.0
# `catch_up_s` of the sheet is 4.4: only one keeper counts as lost at a time.
GAP_S = 4.6
# The conversation goes on through one zone for this long after the restarts.
CONTINUES_S = 70.0
LAST_TURNS = 3


async def case(lab: Lab) -> bool:
    """Return whether each turn was found that was answered within the retention."""
    for name, zone in STORAGE.items():
        lab.add_keeper(name, zone)
    lab.add_gateway(HOME, 'rimouski')
    lab.add_gateway(OTHER, 'saguenay')
    await lab.wait_ready(len(STORAGE))
    conversation = Conversation(lab, 'p1', RETENTION_S)
    talking = asyncio.ensure_future(conversation.go_on(HOME))
    await asyncio.sleep(TURNS_BEFORE * TURN_INTERVAL_S)
    for name in STORAGE:
        if with_trouble():
            await lab.stop(name, signal.SIGTERM)
            await asyncio.sleep(DOWN_S)
            lab.restart(name)
            await lab.wait_log(name, 'records_read', 2)
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(CONTINUES_S)
    conversation.running = False
    await talking
    lab.note(f'{conversation.count} turns; the line moves to another zone')
    answered = [await conversation.say(OTHER) for _ in range(LAST_TURNS)]
    lab.note(f'{sum(answered)} of {LAST_TURNS} turns there were answered whole')
    return not conversation.denied and not conversation.wrong


if __name__ == '__main__':
    sys.exit(play(case, Path(__file__).resolve().parent, RETENTION_S))
