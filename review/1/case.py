"""After a planned replacement of a keeper, the loss of one disk stops all turns."""

import asyncio
import signal
import sys
from pathlib import Path

from stand_ins.lab import STORAGE, Lab, play, with_trouble
from stand_ins.talk import Conversation

RETENTION_S = 60.0
GATEWAYS = ('front-rimouski-1', 'front-saguenay-1')
WIPED, _, REPLACED = STORAGE
SUCCESSOR, SUCCESSOR_ZONE = 'storage-gatineau-2', 'gatineau'
PROGRAMS = 6
BEFORE_S = 2.0
# Time for the successor before the machine that it replaces is stopped, and for the
# system after that; `catch_up_s` of the sheet is 4.4.
OVERLAP_S = 8.0
GAP_S = 6.0
DOWN_S = 1.0
# `recover_s` of the sheet is 12: what is sent later than that must be served again.
RECOVER_S = 13.0
AFTER_S = 15.0


class Share:
    """How many of some turns were served."""

    def __init__(self) -> None:
        """Count nothing yet."""
        self.sent = 0
        self.served = 0

    def __str__(self) -> str:
        """Return both numbers."""
        return f'{self.served} of {self.sent}'

    @property
    def is_quarter(self) -> bool:
        """Return whether a quarter or more was served."""
        return self.served * 4 >= self.sent


async def send_turns(lab: Lab, name: str, for_s: float) -> Share:
    """Let lines of turns go on through both gateways for a while."""
    share = Share()
    until_s = lab.now_s + for_s

    async def talk(number: int) -> None:
        line = Conversation(lab, f'{name}-{number}', RETENTION_S)
        while lab.now_s < until_s:
            share.sent += 1
            served = await line.say(GATEWAYS[number % 2])
            share.served += served
            await asyncio.sleep(0.5)

    await asyncio.gather(*map(talk, range(PROGRAMS)))
    lab.note(f'{name}: {share} turns were served')
    return share


async def replace_as_planned(lab: Lab) -> None:
    """Add a machine, then stop the one that it replaces, for good."""
    lab.add_keeper(SUCCESSOR, SUCCESSOR_ZONE, first_start=False)
    await lab.wait_log(SUCCESSOR, '"registered"')
    await asyncio.sleep(OVERLAP_S)
    await lab.stop(REPLACED, signal.SIGTERM)
    lab.note(f'{REPLACED} is removed')
    await asyncio.sleep(GAP_S)


async def lose_disk(lab: Lab) -> None:
    """Let a machine come back at its address with an empty disk."""
    await lab.stop(WIPED, signal.SIGKILL)
    lab.wipe(WIPED)
    await asyncio.sleep(DOWN_S)
    lab.restart(WIPED)


async def case(lab: Lab) -> bool:
    """Return whether turns are served again after the loss of one disk."""
    for name, zone in STORAGE.items():
        lab.add_keeper(name, zone)
    for name in GATEWAYS:
        lab.add_gateway(name, name.split('-')[1])
    await lab.wait_ready(len(STORAGE))
    if with_trouble():
        await replace_as_planned(lab)
    before = await send_turns(lab, 'before', BEFORE_S)
    if with_trouble():
        await lose_disk(lab)
    await asyncio.sleep(RECOVER_S)
    lab.note(f'listed: {lab.store.names("keepers")}')
    after = await send_turns(lab, 'after', AFTER_S)
    return after.is_quarter or not before.is_quarter


if __name__ == '__main__':
    sys.exit(play(case, Path(__file__).resolve().parent, RETENTION_S))
