"""Lines of turns that move to another zone once, and a restart of its gateway."""

import asyncio
import signal
import sys
from pathlib import Path

from stand_ins.lab import Lab, play, with_trouble
from stand_ins.talk import Conversation

RETENTION_S = 10.0
TALK_S = 62.0
TURN_INTERVAL_S = 1.5
# Two storage machines in each of two zones of one region.
STORAGE = {
    'storage-rimouski-1': 'rimouski',
    'storage-rimouski-2': 'rimouski',
    'storage-saguenay-1': 'saguenay',
    'storage-saguenay-2': 'saguenay',
}
FIRST_GATEWAY = 'front-rimouski-1'
GATEWAY = 'front-saguenay-1'
LINES = 3


async def case(lab: Lab) -> bool:
    """Return whether no turn is denied whose line is in use."""
    for name, zone in STORAGE.items():
        lab.add_keeper(name, zone)
    for name in (FIRST_GATEWAY, GATEWAY):
        lab.add_gateway(name, name.split('-')[1])
    await lab.wait_ready(len(STORAGE))
    lines = [Conversation(lab, f'line-{one}', RETENTION_S) for one in range(LINES)]
    await say(lines, FIRST_GATEWAY)
    end_s = lab.now_s + TALK_S
    while lab.now_s < end_s:
        await say(lines, GATEWAY)
        await asyncio.sleep(TURN_INTERVAL_S)
    if with_trouble():
        await lab.stop(GATEWAY, signal.SIGTERM)
        lab.restart(GATEWAY)
        await lab.wait_ready(len(STORAGE))
    await say(lines, GATEWAY)
    return not any(line.denied or line.wrong for line in lines)


async def say(lines: list[Conversation], gateway: str) -> None:
    """Send the next turn of each line through a gateway."""
    await asyncio.gather(*(line.say(gateway) for line in lines))


if __name__ == '__main__':
    sys.exit(play(case, Path(__file__).parent, RETENTION_S))
