"""A soak of requests that crash hosts, beside faults of gateways and keepers; seeded.

Gateways and keepers are processes. Callers keep their connections until the process at
the other end is gone. Faults come in series and overlap for a while, and end before the
sends are counted, so that all processes are in touch then.

    python -m test.process.crash_soak FIRST LAST    runs the seeds from FIRST to LAST
"""

import asyncio
import contextlib
import random
import signal
import sys
from typing import NamedTuple

from loguru import logger

from standin.platform.daemons import is_ready
from test.process.soaking import end_all, forever
from test.process.test_crashing_reads import THIRD, ReadingPrograms
from test.process.test_crashing_requests import DEADLY
from test.process.test_killed_daemons import CONTACT_S

FAULTS_S = 6.0
COUNTED_S = 3.0
CALLERS = 6
CALL_PAUSE_S = 0.05
DEADLY_PAUSE_S = 0.15
FAULT_PAUSE_S = 0.7
AWAY_S = 1.0
ANSWER_S = 3.0
GIVEN_UP = b'crashes_hosts'
BUSY_READ = '/p/busy'


class Outcome(NamedTuple):
    """What a soak has seen.

    Attributes:
        crashes: crashes of hosts.
        late_sends: deadly requests that reached hosts while all were in touch, later
            than CONTACT_S after the third crash.
        given_up: harmless requests that were refused as ones that crash hosts.
        answered: harmless requests that were answered while sends were counted.
        asked: harmless requests that were sent meanwhile.
    """

    crashes: int
    late_sends: int
    given_up: int
    answered: int
    asked: int


class CrashSoak(ReadingPrograms):
    """One run of the soak.

    Attributes:
        counts: whether sends and answers are counted now.
        faults: the faults that have begun.
    """

    def __init__(self, seed: int) -> None:
        """Create a system without processes."""
        super().__init__()
        self.rng = random.Random(seed)
        self.counts = False
        self.faults: list[asyncio.Task[None]] = []
        self.given_up = 0
        self.answered = 0
        self.asked = 0

    async def run(self) -> Outcome:
        """Play the faults, wait until all are in touch, and count."""
        await self.start_all()
        callers = [forever(self.use_connection) for _ in range(CALLERS)]
        callers.append(forever(self.send_deadly))
        faults = forever(self.cause_fault)
        await asyncio.sleep(FAULTS_S)
        await end_all([faults])
        await asyncio.gather(*self.faults)
        await self.wait_ready()
        await asyncio.sleep(CONTACT_S)
        third = self.crash_times()[THIRD - 1 : THIRD] or [0.0]
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(max(third[0] + CONTACT_S - now_s, 0))
        self.counts = True
        before = self.deadly_reads()
        await asyncio.sleep(COUNTED_S)
        late = self.deadly_reads() - before
        await end_all(callers)
        crashes = len(self.crash_times())
        return Outcome(crashes, late, self.given_up, self.answered, self.asked)

    async def use_connection(self) -> None:
        """Send harmless reads on one connection until it ends."""
        ip, _, port = self.daemons[self.rng.choice(('g1', 'g2'))].address.rpartition(
            ':'
        )
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                while True:
                    await self.read_harmless(reader, writer)
            finally:
                writer.close()
        await asyncio.sleep(CALL_PAUSE_S)

    async def read_harmless(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Make one harmless read, the same as others, on an open connection."""
        self.sent += 1
        counted = self.counts
        self.asked += counted
        writer.write(
            f'GET {BUSY_READ} HTTP/1.1\r\nHost: lookup.example\r\n'
            f'X-Pollenwalk-Request-Id: r{self.sent}\r\n'
            f'X-Pollenwalk-Program-Id: p{self.sent}\r\n'
            'X-Pollenwalk-Deadline-Ms: 2000\r\n\r\n'.encode()
        )
        async with asyncio.timeout(ANSWER_S):
            head = await reader.readuntil(b'\r\n\r\n')
            length = head.lower().partition(b'content-length: ')[2].split(b'\r\n')[0]
            body = await reader.readexactly(int(length or 0))
        self.given_up += GIVEN_UP in body
        self.answered += counted and head.startswith(b'HTTP/1.1 200')
        await asyncio.sleep(CALL_PAUSE_S)

    async def send_deadly(self) -> None:
        """Send a deadly read, or one with a body, a few times in parallel."""
        parallel = range(self.rng.choice((1, 1, 2, 4)))
        if self.rng.random() < 0.5:
            await asyncio.gather(*(self.read('/p/deadly') for _ in parallel))
        else:
            await asyncio.gather(*(self.call(DEADLY) for _ in parallel))
        await asyncio.sleep(DEADLY_PAUSE_S * self.rng.random())

    async def cause_fault(self) -> None:
        """Let a process or a host fail; the next fault may begin before its end."""
        fault = self.rng.choice(
            (self.kill_one, self.stop_one, self.freeze_one, self.reload_one, self.crash)
        )
        name = self.rng.choice(list(self.daemons))
        self.faults.append(asyncio.ensure_future(fault(name)))
        await asyncio.sleep(FAULT_PAUSE_S * self.rng.random())

    async def kill_one(self, name: str) -> None:
        """Kill a process, which is back soon."""
        if name in self.running:
            self.kill(name)
            await asyncio.sleep(AWAY_S * self.rng.random())
            self.restart(name)

    async def stop_one(self, name: str) -> None:
        """Stop a gateway as planned, and kill it if it takes long."""
        if name in self.running and name.startswith('g'):
            self.running[name].send_signal(signal.SIGTERM)
            await asyncio.sleep(AWAY_S)
            await self.kill_one(name)

    async def freeze_one(self, name: str) -> None:
        """Let a process stand still for a while."""
        if name not in self.running:
            return
        process = self.running[name]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(AWAY_S * self.rng.random())
        process.send_signal(signal.SIGCONT)

    async def reload_one(self, name: str) -> None:
        """Let a gateway that has started read its settings again."""
        ready = self.daemons[name].ready
        if name in self.running and ready and await is_ready(ready):
            self.running[name].send_signal(signal.SIGHUP)

    async def crash(self, _name: str) -> None:
        """Let a host crash by itself."""
        await self.rng.choice(self.hosts).crash()


async def soak(seed: int) -> Outcome:
    """Run the soak with one seed."""
    system = CrashSoak(seed)
    try:
        return await system.run()
    finally:
        await system.end()


def main(first: int, last: int) -> None:
    """Run some seeds, and print what each has seen."""
    logger.remove()
    for seed in range(first, last + 1):
        sys.stdout.write(f'seed {seed}: {asyncio.run(soak(seed))}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main(*map(int, sys.argv[1:3]))
