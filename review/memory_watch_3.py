"""The platform's part that ends a process which uses more than its machine's memory."""

import asyncio
from pathlib import Path

from review.deployment_3 import GATEWAYS, Deployment, Record

BYTES_PER_KIB = 1024
BYTES_PER_MB = 1_000_000
CHECK_S = 0.02
RESTART_S = 0.5


class MemoryWatch:
    """Kills gateways that use more than their machine's memory, and starts them again.

    Attributes:
        ends: how many times each gateway was killed.
        most_mb: the most memory that each one was seen to use.
    """

    def __init__(self, deployment: Deployment, record: Record, memory_mb: int) -> None:
        """Watch the gateways of a deployment, whose machines have `memory_mb`."""
        self.deployment = deployment
        self.record = record
        self.memory_mb = memory_mb
        self.ends = dict.fromkeys(GATEWAYS, 0)
        self.most_mb = dict.fromkeys(GATEWAYS, 0.0)

    async def run(self) -> None:
        """Look at all gateways at regular intervals."""
        await asyncio.gather(*map(self.watch, GATEWAYS))

    async def watch(self, name: str) -> None:
        """Look at one gateway at regular intervals."""
        while True:
            await self.check(name)
            await asyncio.sleep(CHECK_S)

    async def check(self, name: str) -> None:
        """Kill one gateway if it uses too much, and start it again."""
        process = self.deployment.running[name]
        used_mb = resident_mb(process.pid)
        self.most_mb[name] = max(self.most_mb[name], round(used_mb))
        if used_mb <= self.memory_mb:
            return
        self.ends[name] += 1
        self.record.note(f'{name} uses {used_mb:.0f} MB of {self.memory_mb}: killed')
        process.kill()
        process.wait()
        await asyncio.sleep(RESTART_S)
        self.deployment.respawn(name)
        self.record.note(f'{name} started again')


def resident_mb(process_id: int) -> float:
    """Return how much memory a process uses now."""
    status = Path(f'/proc/{process_id}/status').read_text()
    resident = status.partition('VmRSS:')[2].split()[0]
    return int(resident) * BYTES_PER_KIB / BYTES_PER_MB
