"""Runs one case and turns its result into the exit status of its script."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.deployment_3 import Deployment, Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_S = 110.0
# Whether the disruption of the case takes place.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

Play = Callable[[Deployment, Record], Awaitable[bool]]


def main(file: str, play: Play) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if not, 2 if it could not run.

    Args:
        file: the file of the case, beside which the record is written.
        play: plays the case; returns whether the rule held.
    """
    record = Record(Path(file).with_name('record.txt'))
    record.note(f'disruption: {"yes" if TROUBLE else "no"}')
    status = NOT_RUN
    # So that the processes are ended, too, if the script is.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        status = HELD if asyncio.run(run(play, record)) else BROKEN
    except (Exception, KeyboardInterrupt):  # noqa: BLE001
        record.note(traceback.format_exc())
        traceback.print_exc()
    record.note(
        ('the rule held', 'THE RULE WAS BROKEN', 'the case could not run')[status]
    )
    record.close()
    print(record.lines[-1])
    sys.exit(status)


async def run(play: Play, record: Record) -> bool:
    """Play a case with a deployment of its own."""
    deployment = Deployment()
    try:
        async with asyncio.timeout(LONGEST_S):
            return await play(deployment, record)
    finally:
        await deployment.end()
