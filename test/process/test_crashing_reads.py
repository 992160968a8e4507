"""Reads without a body that crash hosts, sent by several programs; real processes."""

import asyncio

import testtools

from standin.platform.daemons import exchange
from test.helper import on_loop
from test.process.test_crashing_requests import DEADLY_END, DOWN_S, is_deadly
from test.process.test_killed_daemons import (
    CONTACT_S,
    MAX_AFTER_THIRD,
    MAX_ROUNDS,
    PARALLEL,
    KilledDaemons,
)

# Rounds of parallel reads after CONTACT_S, each after all hosts are back.
ROUNDS = 8
THIRD = 3
DEADLY_READ = f'/p{DEADLY_END}'


class ReadingPrograms(KilledDaemons):
    """Programs that read at drawn gateways, each with an id of its own."""

    async def read(self, target: str) -> bytes:
        """Read a target as a new program."""
        self.sent += 1
        head = (
            f'GET {target} HTTP/1.1\r\nHost: lookup.example\r\n'
            f'X-Pollenwalk-Request-Id: r{self.sent}\r\nConnection: close\r\n'
            f'X-Pollenwalk-Program-Id: p{self.sent}\r\n'
            f'X-Pollenwalk-Session-Id: s{self.sent}\r\n'
            'X-Pollenwalk-Deadline-Ms: 2000\r\n\r\n'
        )
        address = self.daemons[self.rng.choice(('g1', 'g2'))].address
        return await exchange(address, head.encode())

    async def read_in_parallel(self) -> None:
        """Read the deadly target several times at once, when all hosts are back."""
        await asyncio.gather(*(self.read(DEADLY_READ) for _ in range(PARALLEL)))
        await asyncio.sleep(2 * DOWN_S)

    async def read_until_long_after_third_crash(self) -> None:
        """Read until the third crash is CONTACT_S ago, or it does not come."""
        for _ in range(MAX_ROUNDS):
            third = self.crash_times()[THIRD - 1 : THIRD]
            if third and asyncio.get_running_loop().time() > third[0] + CONTACT_S:
                return
            await self.read_in_parallel()

    async def count_late_sends(self) -> int:
        """Return how many reads reach hosts later than CONTACT_S after the third crash."""
        await self.start_all()
        await self.read_until_long_after_third_crash()
        before = self.deadly_reads()
        for _ in range(ROUNDS):
            await self.read_in_parallel()
        return self.deadly_reads() - before

    def crash_times(self) -> list[float]:
        """Return the times of all crashes, the first one first."""
        return sorted(at_s for host in self.hosts for at_s in host.crashed_at_s)

    def deadly_reads(self) -> int:
        """Return how many times the deadly target has reached a host."""
        return sum(
            is_deadly(request) for host in self.hosts for request in host.received
        )


class CrashingReadsTest(testtools.TestCase):
    """What the rule BUDGET allows after the third crash, over all programs."""

    @on_loop
    async def test_other_programs_repeat_a_deadly_read(self) -> None:
        # Guards against a count of crashes that begins anew with each program.
        system = ReadingPrograms()
        try:
            sends = await system.count_late_sends()
        finally:
            await system.end()
        self.assertTrue(sends <= MAX_AFTER_THIRD, sends)
