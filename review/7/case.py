"""Case 7: a front machine freezes while a storage machine is added."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / '6'))

from standins2.http import Answer, Client, new_id, turn_headers  # noqa: E402
from standins2.platform import (  # noqa: E402
    CaseError,
    Platform,
    run_case,
    start_deployment,
)
from standins2.server import ModelServer  # noqa: E402

STORAGE = {
    'storage-rimouski-1': 'rimouski',
    'storage-saguenay-1': 'saguenay',
    'storage-gatineau-1': 'gatineau',
}
ADDED = 'storage-rimouski-2'
FRONTS = {'front-rimouski-1': 'rimouski', 'front-rimouski-2': 'rimouski'}
FREEZE_S = 3.2
PROGRAMS = 8
# Clients that wait for the frozen machine send so long before it wakes.
WAITING_S = 0.3


async def case(platform: Platform, with_trouble: bool) -> bool:
    """Go on, at a machine that has just woken, from turns that were answered whole."""
    await start_deployment(platform, STORAGE, FRONTS)
    server = ModelServer('i-1')
    await server.listen(platform.new_ip(), platform.ports['front'])
    entry = server.entry('conseiller', 'rimouski', 8, 1700000000000)
    platform.store.write('servers/i-1', entry)
    await asyncio.sleep(0.5)
    # Each program has a connection to each of the front machines.
    frozen, other = (
        [Client(platform.front(name)) for _ in range(PROGRAMS)] for name in FRONTS
    )
    answered_at: dict[str, float] = {}

    async def send(
        client: Client, number: int, previous: str = ''
    ) -> tuple[str, Answer]:
        """Send one turn of a program."""
        attempt = new_id()
        headers = turn_headers(f'program{number}', attempt, previous)
        answer = await client.send('/repair/a', headers, b'input')
        platform.note(
            f'turn {attempt} after {previous or "none"} at {client.ip}: '
            f'{answer.status}, whole: {answer.whole}'
        )
        if answer.status == 200 and answer.whole:
            answered_at[attempt] = time.monotonic()
        return attempt, answer

    async def send_all(clients: list[Client], previous: list[str]) -> list[str]:
        """Send one turn of each program; return the attempts, all answered whole."""
        sent = await asyncio.gather(
            *(send(clients[number], number, one) for number, one in enumerate(previous))
        )
        if not all(attempt in answered_at for attempt, _ in sent):
            raise CaseError('a turn in calm was not answered')
        return [attempt for attempt, _ in sent]

    first = await send_all(frozen, [''] * PROGRAMS)
    platform.add('keeper', ADDED, 'rimouski', 170, first=False)
    await asyncio.sleep(0.25)
    if with_trouble:
        platform.pause('front-rimouski-1')
    frozen_at = time.monotonic()
    await platform.wait_listed([ADDED])
    await asyncio.sleep(0.3)
    second = await send_all(other, first)
    left_s = FREEZE_S - WAITING_S - (time.monotonic() - frozen_at)
    if left_s < 0:
        raise CaseError('this machine is too slow now')
    await asyncio.sleep(left_s)
    third = [
        asyncio.create_task(send(frozen[number], number, one))
        for number, one in enumerate(second)
    ]
    await asyncio.sleep(WAITING_S)
    if with_trouble:
        platform.wake('front-rimouski-1')
    platform.note(f'frozen for {time.monotonic() - frozen_at:.2f} s')
    lost = [
        answer for _, answer in await asyncio.gather(*third) if answer.status == 404
    ]
    platform.note(f'{len(lost)} of {len(third)} turns got 404')
    print(f'{len(lost)} of {len(third)} turns got 404')
    return bool(lost)


if __name__ == '__main__':
    run_case(FOLDER, case)
