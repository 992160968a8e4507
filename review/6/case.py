"""Case 6: turns with inputs of 100 kB; storage machines end again and again."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / '6'))

from standins2.http import Client, new_id, turn_headers  # noqa: E402
from standins2.platform import Platform, run_case, start_deployment  # noqa: E402
from standins2.server import ModelServer  # noqa: E402

STORAGE = {
    'storage-rimouski-1': 'rimouski',
    'storage-saguenay-1': 'saguenay',
    'storage-gatineau-1': 'gatineau',
}
FRONTS = {'front-rimouski-1': 'rimouski', 'front-saguenay-1': 'saguenay'}
STORAGE_MB = 170
FRONT_MB = 150
# The platform starts a process again after a short delay.
RESTART_S = 0.3
# The rule: three ends of one machine, on two machines at least.
ENDS = 3
MACHINES = 2
TURNS_PER_S = 12
LARGE_INPUT = 100_000
SHEET_INPUT = 4_300
TRAFFIC_S = 75


class Watchman:
    """The platform's limit on memory: ends a process above it, and starts it again."""

    def __init__(self, platform: Platform) -> None:
        """Watch all machines of a platform."""
        self.platform = platform
        self.ends: dict[str, int] = {}
        self.peaks: dict[str, float] = {}

    async def run(self) -> None:
        """Look at each process 20 times a second."""
        while True:
            await asyncio.sleep(0.05)
            for name in [*STORAGE, *FRONTS]:
                await self.look(name)

    async def look(self, name: str) -> None:
        """End a process that uses more than its machine has; also see if it has ended."""
        platform = self.platform
        limit_mb = STORAGE_MB if name in STORAGE else FRONT_MB
        used_mb = platform.memory_mb(name)
        self.peaks[name] = max(self.peaks.get(name, 0), used_mb)
        if used_mb <= limit_mb and platform.processes[name].poll() is None:
            return
        self.ends[name] = self.ends.get(name, 0) + 1
        platform.note(f'{name} ends with {used_mb:.0f} MB of {limit_mb} MB')
        platform.kill(name)
        await asyncio.sleep(RESTART_S)
        platform.restart(name)


async def case(platform: Platform, with_trouble: bool) -> bool:
    """Send turns at a steady rate, and count how often processes end."""
    await start_deployment(platform, STORAGE, FRONTS, (STORAGE_MB, FRONT_MB))
    server = ModelServer('i-1', gap_s=0.005)
    await server.listen(platform.new_ip(), platform.ports['front'])
    entry = server.entry('conseiller', 'rimouski', 8, 1700000000000)
    platform.store.write('servers/i-1', entry)
    await asyncio.sleep(0.5)
    watchman = Watchman(platform)
    watching = asyncio.create_task(watchman.run())
    fronts = [platform.front(name) for name in FRONTS]
    size = LARGE_INPUT if with_trouble else SHEET_INPUT
    counts: dict[str, int] = {}

    async def send(number: int) -> None:
        """Send the first turn of a program."""
        attempt = new_id()
        body = os.urandom(size // 2).hex().encode()
        headers = turn_headers(f'program{number}', attempt)
        client = Client(fronts[number % 2])
        answer = await client.send('/repair/a', headers, body)
        client.close()
        outcome = f'{answer.status}{"" if answer.whole else " cut"}'
        counts[outcome] = counts.get(outcome, 0) + 1
        platform.note(f'turn {attempt} of {size} bytes: {outcome}')

    began = time.monotonic()
    sending = []
    for number in range(TRAFFIC_S * TURNS_PER_S):
        sending.append(asyncio.create_task(send(number)))
        next_at = began + (number + 1) / TURNS_PER_S
        await asyncio.sleep(max(next_at - time.monotonic(), 0))
    await asyncio.gather(*sending)
    watching.cancel()
    peaks = {name: round(used) for name, used in watchman.peaks.items()}
    summary = (
        f'answers {counts}; runs {len(server.runs)}; ends {watchman.ends}; '
        f'most MB {peaks}'
    )
    platform.note(summary)
    print(summary)
    often = [name for name, ends in watchman.ends.items() if ends >= ENDS]
    return len(often) >= MACHINES


if __name__ == '__main__':
    run_case(FOLDER, case)
