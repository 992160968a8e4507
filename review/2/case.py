"""A line of turns that comes in through two zones, and one keeper that is killed."""

import asyncio
import signal
import sys
from pathlib import Path

from stand_ins.lab import STORAGE, ZONES, Lab, play, with_trouble
from stand_ins.talk import Conversation

RETENTION_S = 10.0
TALK_S = 62.0
TURN_INTERVAL_S = 1.5
DOWN_S = 3.0
# The lines alternate between two zones; at the end they come in through the third.
FIRST_GATEWAYS = ('front-rimouski-1', 'front-saguenay-1')
LAST_GATEWAY = 'front-gatineau-1'
KILLED = 'storage-gatineau-1'
LINES = 3


async def case(lab: Lab) -> bool:
    """Return whether no turn is denied whose line is in use."""
    # Three zones of one region, between which lines may move.
    ZONES.update(dict.fromkeys(ZONES, 'quebec-est'))
    for name, zone in STORAGE.items():
        lab.add_keeper(name, zone)
    for name in (*FIRST_GATEWAYS, LAST_GATEWAY):
        lab.add_gateway(name, name.split('-')[1])
    await lab.wait_ready(len(STORAGE))
    lines = [Conversation(lab, f'line-{one}', RETENTION_S) for one in range(LINES)]
    await talk(lab, lines)
    if with_trouble():
        await lab.stop(KILLED, signal.SIGKILL)
    await asyncio.gather(*(line.say(LAST_GATEWAY) for line in lines))
    if with_trouble():
        await asyncio.sleep(DOWN_S)
        lab.restart(KILLED)
    return not any(line.denied or line.wrong for line in lines)


async def talk(lab: Lab, lines: list[Conversation]) -> None:
    """Send turn after turn of all lines, through the two zones by turns."""
    end_s = lab.now_s + TALK_S
    number = 0
    while lab.now_s < end_s:
        gateway = FIRST_GATEWAYS[number % len(FIRST_GATEWAYS)]
        await asyncio.gather(*(line.say(gateway) for line in lines))
        number += 1
        await asyncio.sleep(TURN_INTERVAL_S)


if __name__ == '__main__':
    sys.exit(play(case, Path(__file__).parent, RETENTION_S))
