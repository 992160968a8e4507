"""Case 9: a front machine is stopped as planned and cuts a stream that it took late."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / '6'))

from standins2.http import Client, new_id, turn_headers  # noqa: E402
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
STOPPED = 'front-rimouski-1'
FRONTS = {STOPPED: 'rimouski', 'front-saguenay-1': 'saguenay'}
GAP_S = 0.05
SHORT_EVENTS = 3
LONG_EVENTS = 55
SHORT_STREAMS = 30
# When clients send on their kept connections, after the SIGTERM. Each sends while the
# stream of the one before lasts, so that the machine doesn't end earlier.
SENT_S = (1.5, 3.4, 5.0)
GRACE_S = 8.0


async def case(platform: Platform, with_trouble: bool) -> bool:
    """Send streams to a machine that stops; see whether each ends whole."""
    await start_deployment(platform, STORAGE, FRONTS)
    server = ModelServer('i-1', gap_s=GAP_S, events=SHORT_EVENTS)
    await server.listen(platform.new_ip(), platform.ports['front'])
    entry = server.entry('conseiller', 'rimouski', 8, 1700000000000)
    platform.store.write('servers/i-1', entry)
    await asyncio.sleep(0.5)
    clients = [Client(platform.front(STOPPED)) for _ in SENT_S]

    async def send(client: Client, number: int) -> bool:
        """Send one stream; return whether it was broken off after it had been run.

        Raises:
            CaseError: the request was not run.
        """
        attempt = new_id()
        headers = turn_headers(f'program{number}', attempt)
        headers['X-Pollenwalk-Token-Usage'] = f'1840,{14 * server.events}'
        began = time.monotonic()
        answer = await client.send('/fit/a', headers, f'input {number}'.encode())
        has_run = any(run.attempt == attempt for run in server.runs)
        platform.note(
            f'stream {attempt}: {answer.status}, whole: {answer.whole}, run: {has_run}, '
            f'{answer.body.count(b"data:")} events, {time.monotonic() - began:.2f} s'
        )
        if not has_run and answer.status == 0:
            raise CaseError('a request crossed the end of its connection')
        return has_run and not answer.whole

    for number in range(SHORT_STREAMS):
        if await send(clients[number % len(clients)], number):
            raise CaseError('a stream in calm was broken off')
    server.events = LONG_EVENTS
    began = time.monotonic()
    if with_trouble:
        platform.processes[STOPPED].send_signal(signal.SIGTERM)
        platform.note(f'{STOPPED} gets SIGTERM')
    streams = []
    for number, sent_s in enumerate(SENT_S):
        await asyncio.sleep(max(began + sent_s - time.monotonic(), 0))
        platform.note(f'client {number} sends {sent_s} s after the SIGTERM')
        stream = send(clients[number], SHORT_STREAMS + number)
        streams.append(asyncio.create_task(stream))
    broken = await asyncio.gather(*streams)
    await asyncio.sleep(max(began + GRACE_S - time.monotonic(), 0))
    if with_trouble:
        status = platform.processes[STOPPED].poll()
        platform.note(f'{GRACE_S} s after the SIGTERM its exit status is {status}')
    summary = f'broken off: {sum(broken)} of {len(broken)} streams'
    platform.note(summary)
    print(summary)
    return any(broken)


if __name__ == '__main__':
    run_case(FOLDER, case)
