"""The memory of a keeper, as a process, beside many large turns."""

import asyncio
import os
from pathlib import Path

import testtools

from pollenwalk.connection.peer import Peer
from pollenwalk.connection.tcp_network import TcpNetwork
from pollenwalk.process.clock import LoopClock
from pollenwalk.process.tasks import TaskSet
from pollenwalk.program.turns import Chain, FindChain, TurnRecord
from standin.experiments.measure import KIB
from standin.platform.daemons import Daemons
from test.helper import on_loop

REGIONS = {'here': 'east'}
INPUT_BYTES = 100_000
TURNS = 1500
STORED_TOGETHER = 10
# Memory of the smallest machine of a keeper of any deployment.
MACHINE_BYTES = 128_000_000
REQUEST_TIMEOUT_MS = 10_000.0
START_S = 12.0
BYTES_PER_CHUNK = 1000


class LargeTurns(Daemons):
    """One keeper and a client that stores turns at it.

    Attributes:
        peer: the client's connection.
    """

    def __init__(self) -> None:
        """Create a system without processes."""
        super().__init__(REGIONS)
        self.tasks = TaskSet()

    async def start_keeper(self) -> None:
        """Start the store and the keeper."""
        await self.start({'version': 1, 'routes': [], 'services': []})
        self.add_keeper('k1', 'here')
        self.connect()

    def connect(self) -> None:
        """Forget the connection."""
        address = self.daemons['k1'].address
        self.peer = Peer(address, TcpNetwork(), LoopClock(), self.tasks)

    async def store_turns(self, numbers: range) -> None:
        """Store turns, a few at a time."""
        for start in numbers[::STORED_TOGETHER]:
            records = map(large_turn, range(start, start + STORED_TOGETHER))
            await asyncio.gather(
                *(self.peer.request(one, REQUEST_TIMEOUT_MS) for one in records)
            )

    async def wait_until_served(self) -> None:
        """Wait until the keeper answers."""
        while True:
            try:
                await self.peer.request(FindChain('t0'), REQUEST_TIMEOUT_MS)
            except Exception:  # noqa: BLE001
                await asyncio.sleep(0.05)
                continue
            return

    def peak_bytes(self, name: str = 'k1') -> int:
        """Return the most memory that a keeper has used since its start."""
        path = Path(f'/proc/{self.running[name].pid}/status')
        lines = path.read_text(encoding='ascii').splitlines()
        peak = next(line for line in lines if line.startswith('VmHWM:'))
        return int(peak.split()[1]) * KIB

    async def end(self) -> None:
        """End everything."""
        await self.tasks.cancel()
        await self.close()


def large_turn(number: int) -> TurnRecord:
    """Return a turn with a large input, of which each is another one."""
    text = f'{number}'.encode() + os.urandom(BYTES_PER_CHUNK) * (
        INPUT_BYTES // BYTES_PER_CHUNK
    )
    return TurnRecord(f't{number}', 'p', '', text, b'', 5, 60_000, [])


class KeeperMemoryTest(testtools.TestCase):
    """A keeper holds more on its disk than it has memory."""

    @on_loop
    async def test_more_turns_than_memory(self) -> None:
        # Guards against a keeper that is ended for its memory while it stores, compacts or
        # reads again more turns than that memory holds.
        system = LargeTurns()
        try:
            peaks, first = await self.play(system)
        finally:
            await system.end()
        self.assertEqual(['t0'], [one.turn for one in first.turns])
        self.assertTrue(max(peaks) < MACHINE_BYTES, peaks)

    async def play(self, system: LargeTurns) -> tuple[list[int], Chain]:
        """Store turns, and let the keeper start again.

        Returns:
            The most memory before and after the start, and a chain that it finds then.
        """
        await system.start_keeper()
        await system.wait_until_served()
        await system.store_turns(range(TURNS))
        while_storing = system.peak_bytes()
        system.kill('k1')
        system.restart('k1')
        system.connect()
        async with asyncio.timeout(START_S):
            await system.wait_until_served()
        found: Chain = await system.peer.request(FindChain('t0'), REQUEST_TIMEOUT_MS)
        return [while_storing, system.peak_bytes()], found

    @on_loop
    async def test_joining_keeper_and_its_source(self) -> None:
        # Guards against a joining keeper, or the one that it fetches from, that is ended for
        # its memory as one sends faster than the other takes.
        system = LargeTurns()
        try:
            peaks = await self.join(system)
        finally:
            await system.end()
        self.assertTrue(max(peaks.values()) < MACHINE_BYTES, peaks)

    async def join(self, system: LargeTurns) -> dict[str, int]:
        """Let a keeper fetch turns that only one other has; return the most memory."""
        await system.start_keeper()
        system.add_keeper('k2', 'here')
        await system.wait_until_served()
        await system.wait_listed('k2')
        await system.store_turns(range(TURNS))
        system.add_keeper('k3', 'here', first_start=False)
        await system.wait_listed('k3')
        return {name: system.peak_bytes(name) for name in ('k1', 'k3')}
