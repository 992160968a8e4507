"""A soak of programs whose turns continue each other, beside faults; seeded.

Gateways and keepers are processes. Callers keep their connections until the process at
the other end is gone. Faults come in series and overlap for a while; with planned work
alone, no answer may be cut either.

    python -m test.process.turn_soak FIRST LAST    runs the seeds from FIRST to LAST
"""

import asyncio
import contextlib
import random
import signal
import sys
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NamedTuple

from loguru import logger

from pollenwalk.platform.documents import CONFIGURATION_KEY
from standin.platform.daemons import is_ready
from test.process.soaking import end_all, forever
from test.process.turn_daemons import (
    GATEWAYS,
    LONG,
    Turn,
    TurnClient,
    TurnDaemons,
    changed_configuration,
)

FAULTS_S = 12.0
RECOVER_S = 12.0
PROGRAMS = 12
# Each of so many programs sends large inputs, and as many long streams.
KINDS = 4
LARGE_BYTES = 100_000
PAUSE_S = 0.1
FAULT_PAUSE_S = 1.5
AWAY_S = 1.0
LONGEST_FREEZE_S = 3.2
STOP_S = 8.5
MAX_ADDED = 2
# A turn is continued sooner than the shortest is over.
RETENTIONS_S = (20.0, 60.0, 600.0)


class Outcome(NamedTuple):
    """What a soak has seen.

    Attributes:
        is_planned: whether there was planned work alone.
        sent: turns that were sent.
        answered: turns that were answered whole.
        denied: turns that were denied though the one before was answered whole.
        cut: times after which answers broke off before their deadline, in ms.
        late: answers that were under way at their deadline.
        resumed: programs that could go on after the faults.
        ended_alone: processes that ended without being told to.
    """

    is_planned: bool
    sent: int
    answered: int
    denied: int
    cut: list[int]
    late: int
    resumed: int
    ended_alone: int


class TurnSoak(TurnDaemons):
    """One run of the soak.

    Attributes:
        is_planned: whether there is planned work alone.
        last: the last turn of each program that was answered whole.
        turns: how all turns ended.
        faults: the faults that have begun.
        disturbed: processes that a fault is about now.
    """

    def __init__(self, seed: int) -> None:
        """Create a system without processes; each second seed has planned work alone."""
        super().__init__()
        self.rng = random.Random(seed)
        self.is_planned = bool(seed % 2)
        self.last: dict[str, str] = {}
        self.turns: list[Turn] = []
        self.denied = 0
        self.version = 1
        self.ended_alone = 0
        self.faults: list[asyncio.Task[None]] = []
        self.disturbed: set[str] = set()

    async def run(self) -> Outcome:
        """Play the faults, then let each program go on once more."""
        await self.start_all()
        programs = [
            forever(lambda number=number: self.talk(number))
            for number in range(PROGRAMS)
        ]
        watching = forever(self.restart_ended)
        faults = forever(self.cause_fault)
        await asyncio.sleep(FAULTS_S)
        await end_all([faults])
        await asyncio.gather(*self.faults)
        await self.wait_ready()
        await end_all([*programs, watching])
        resumed = await asyncio.gather(*map(self.resume, list(self.last)))
        answered = sum(turn.is_answered for turn in self.turns)
        cut = [round(turn.took_ms) for turn in self.turns if turn.is_cut]
        begun = sum(turn.status == HTTPStatus.OK for turn in self.turns)
        return Outcome(
            self.is_planned,
            len(self.turns),
            answered,
            self.denied,
            cut,
            begun - answered - len(cut),
            sum(resumed),
            self.ended_alone,
        )

    async def talk(self, number: int) -> None:
        """Send the turns of one program on a connection until that ends."""
        client = self.client(self.rng.choice(GATEWAYS))
        client.input = bytes(LARGE_BYTES if number % KINDS == 1 else 2)
        prefix = LONG if number % KINDS == 2 else 'p'
        try:
            while await self.send_next(client, f'{prefix}{number}'):
                await asyncio.sleep(PAUSE_S * self.rng.random())
        finally:
            await client.session.close()
        await asyncio.sleep(PAUSE_S)

    async def send_next(self, client: TurnClient, program: str) -> bool:
        """Send the next turn of a program; return whether it was answered."""
        attempt = f'{program}-{len(self.turns)}-{self.rng.getrandbits(32):x}'
        turn = await client.send(program, attempt, self.last.get(program, ''))
        self.turns.append(turn)
        if turn.is_answered:
            self.last[program] = attempt
        self.denied += turn.status == HTTPStatus.NOT_FOUND
        return turn.is_answered

    async def resume(self, program: str) -> bool:
        """Return whether a program can go on within RECOVER_S."""
        client = self.client(self.rng.choice(GATEWAYS))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECOVER_S):
                while not await self.send_next(client, program):
                    await asyncio.sleep(PAUSE_S)
                return True
        return False

    async def restart_ended(self) -> None:
        """Start processes again that have ended, as the platform does."""
        for name, process in list(self.running.items()):
            if process.poll() is not None and name not in self.disturbed:
                self.ended_alone += 1
                self.restart(name)
        await asyncio.sleep(PAUSE_S)

    async def cause_fault(self) -> None:
        """Let something happen to a process; the next may begin before its end."""
        planned = (self.stop_one, self.reload_one, self.add_one, self.change_retention)
        rough = (self.kill_one, self.freeze_one, self.freeze_one)
        fault = self.rng.choice(planned if self.is_planned else (*planned, *rough))
        name = self.rng.choice(list(self.daemons))
        self.faults.append(asyncio.ensure_future(self.disturb(fault, name)))
        await asyncio.sleep(FAULT_PAUSE_S * self.rng.random())

    async def disturb(self, fault: Callable[[str], Awaitable[None]], name: str) -> None:
        """Cause a fault of a process, unless it or another one like it has one now.

        One gateway is always ready, and no more keepers fail than may be lost.
        """
        if any(other[0] == name[0] for other in self.disturbed):
            return
        self.disturbed.add(name)
        try:
            await fault(name)
        finally:
            self.disturbed.discard(name)

    async def stop_one(self, name: str) -> None:
        """Stop a process as planned; it is back soon."""
        process = self.running[name]
        process.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_S):
                while process.poll() is None:
                    await asyncio.sleep(PAUSE_S)
        await self.kill_one(name)

    async def kill_one(self, name: str) -> None:
        """Kill a process, which is back soon."""
        self.kill(name)
        await asyncio.sleep(AWAY_S * self.rng.random())
        self.restart(name)
        await self.wait_back(name)

    async def wait_back(self, name: str) -> None:
        """Wait until a process serves again."""
        ready = self.daemons[name].ready
        while ready and not await is_ready(ready):
            await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(AWAY_S)

    async def freeze_one(self, name: str) -> None:
        """Let a process stand still for a while; meanwhile a keeper may come."""
        self.freeze(name)
        if self.rng.random() < 0.5:
            await self.add_one(name)
        await asyncio.sleep(LONGEST_FREEZE_S * self.rng.random())
        self.wake(name)
        await asyncio.sleep(AWAY_S)

    async def reload_one(self, name: str) -> None:
        """Let a gateway read its settings again."""
        if self.daemons[name].ready:
            self.running[name].send_signal(signal.SIGHUP)

    async def change_retention(self, _name: str) -> None:
        """Raise or lower how long turns are kept."""
        self.version += 1
        retention_s = self.rng.choice(RETENTIONS_S)
        changed = changed_configuration(self.version, retention_s)
        await self.write(CONFIGURATION_KEY, changed)

    async def add_one(self, _name: str) -> None:
        """Add a keeper, unless enough have been added."""
        added = sum(name.startswith('k0') for name in self.daemons)
        if added < MAX_ADDED:
            self.add_keeper(f'k0{added}', 'here', first_start=False)


async def soak(seed: int) -> Outcome:
    """Run the soak with one seed."""
    system = TurnSoak(seed)
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
