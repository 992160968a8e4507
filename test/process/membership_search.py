"""A seeded search for states from which keepers don't come back.

Keepers join, retire, are replaced and lose power, disks, paths and the store, in a random
order within what may be lost at the same time. In the end all hosts that still exist are
up and reach each other and the store. Then the keepers must serve within the bound, and
every turn that was acknowledged must be found.

By hand: `python -m test.process.membership_search 1 200` plays the seeds from 1 to 200.
"""

import asyncio
import contextlib
import random
import sys
import traceback
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from typing import Any, NamedTuple

from loguru import logger

from pollenwalk.errors import PollenwalkError, Refusal, RefusalCode, StoreUnavailable
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.process.keeper_members import KEEPERS_PREFIX
from pollenwalk.program.turns import ReserveTokens
from standin.store import Faults
from standin.virtual.loop import run_virtual
from test.process.host_losses import CATCH_UP_MS, Losses
from test.process.test_keepers import KeeperCluster, clear_cache, make_record

# The bound of the smaller deployments.
RECOVER_MS = 12_000.0
RETENTION_MS = 600_000.0
WRITE_INTERVAL_MS = 150.0
STEPS = 14
MAX_PAUSE_MS = 3500.0
MAX_DOWN_MS = 3000.0
RETIREMENT = b'{"duration_s": 8}'
Step = Callable[[], Awaitable[None]]
HOSTS = [f'z{number}' for number in range(24)]


class Fleet(NamedTuple):
    """The size of a fleet, and how many of its disks may be lost at the same time."""

    keepers: int
    tolerated_losses: int


FLEETS = (Fleet(3, 1), Fleet(4, 1), Fleet(5, 1), Fleet(5, 2), Fleet(6, 2))


class MembershipSearch:
    """One random order of events.

    Attributes:
        hosts: the names of the hosts that exist; those of lost ones are not used again.
        away: the hosts that are down and will be back.
        acknowledged: the turns that were stored.
        story: what was done, for the report.
    """

    def __init__(self, seed: int) -> None:
        """Draw a fleet; nothing runs yet."""
        self.rng = random.Random(seed)
        self.fleet = self.rng.choice(FLEETS)
        self.cluster = KeeperCluster(self.fleet.tolerated_losses)
        self.hosts = HOSTS[: self.fleet.keepers]
        self.unused = iter(HOSTS[self.fleet.keepers :])
        self.away: set[str] = set()
        self.retiring: set[str] = set()
        self.losses = Losses()
        self.acknowledged: list[str] = []
        self.story: list[str] = [f'{self.fleet}']
        self.background: set[asyncio.Task[None]] = set()

    @property
    def now_ms(self) -> float:
        """Return the time of the search."""
        return self.cluster.clock.now_ms()

    def tell(self, what: str) -> None:
        """Add a line to the story."""
        self.story.append(f'{self.now_ms / 1000:7.2f} {what}')

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Go on with something while other events happen."""
        self.background.add(asyncio.ensure_future(coroutine))

    async def play(self) -> None:
        """Play all events, then check that the keepers serve.

        Raises:
            AssertionError: they don't, or a turn is lost.
        """
        for name in self.hosts:
            await self.cluster.start_keeper(name, True)
        await self.cluster.wait(1500)
        group = self.cluster.start_group('gateway', 'z0')
        await self.cluster.wait(500)
        writer = asyncio.ensure_future(self.write(group))
        for _ in range(STEPS):
            await self.cluster.wait(self.rng.uniform(20, MAX_PAUSE_MS))
            step = self.rng.choice(list(self.possible_steps()))
            await step()
        if self.rng.random() < 0.6:
            await self.cluster.wait(self.rng.uniform(0, 2 * CATCH_UP_MS))
            await self.lose_all_power()
        writer.cancel()
        await self.settle()
        await self.check(group)

    def possible_steps(self) -> Iterator[Step]:
        """Yield the events that are allowed now."""
        room = self.fleet.tolerated_losses - len(self.losses.names(self.now_ms))
        sound = self.sound()
        if room > 0 and sound:
            yield from (
                self.restart,
                self.wipe,
                self.wipe_without_power,
                self.cut_off,
                self.replace,
                self.replace,
                self.replace_as_planned,
            )
        if room > 0 and len(sound) >= 2 * self.fleet.tolerated_losses + 2:
            yield self.retire
        if self.losses.names(self.now_ms):
            yield from (self.wipe_as_soon_as_allowed, self.wipe_as_soon_as_allowed)
        yield self.kill_all
        if not self.losses.is_disturbed:
            yield from (self.disturb_store, self.disturb_store)
        if len(self.hosts) < self.fleet.keepers + 3:
            yield self.add

    def sound(self) -> list[str]:
        """Return the hosts that are up and don't count as lost."""
        lost = self.losses.names(self.now_ms)
        taken = lost | self.away | self.retiring
        return [name for name in self.hosts if name not in taken]

    async def write(self, group: KeeperGroup) -> None:
        """Store turns until cancelled."""
        number = 0
        while True:
            await self.cluster.wait(WRITE_INTERVAL_MS)
            number += 1
            turn = f't{number}'
            record = make_record(turn)._replace(retention_ms=RETENTION_MS)
            try:
                await group.store_turn(record)
            except Refusal:
                continue
            self.acknowledged.append(turn)

    async def restart(self) -> None:
        """Kill one keeper; it is back with its disk."""
        name = self.rng.choice(self.sound())
        self.tell(f'{name} is killed')
        await self.stop(name)
        self.spawn(self.come_back(name))

    async def wipe(self) -> None:
        """Kill one keeper; it is back with an empty disk."""
        name = self.rng.choice(self.sound())
        self.tell(f'{name} loses its disk')
        await self.stop(name)
        self.cluster.disks[name].wipe()
        self.spawn(self.come_back(name))

    async def wipe_as_soon_as_allowed(self) -> None:
        """Wait until one more disk may be lost, then lose it at once or a little later."""
        await self.cluster.wait(self.rng.choice((0, 0, 500, 1500)))
        give_up_ms = self.now_ms + 4 * CATCH_UP_MS
        while self.now_ms < give_up_ms:
            lost = self.losses.names(self.now_ms)
            if len(lost) < self.fleet.tolerated_losses and self.sound():
                await self.rng.choice((self.wipe, self.wipe_without_power))()
                return
            await self.cluster.wait(20)

    async def wipe_without_power(self) -> None:
        """One keeper loses its disk as all others lose power."""
        name = self.rng.choice(self.sound())
        self.tell(f'{name} loses its disk, all lose power')
        others = [one for one in self.hosts if one not in self.away]
        await self.stop_all(others)
        self.cluster.disks[name].wipe()
        for one in others:
            self.spawn(self.come_back(one))

    async def kill_all(self) -> None:
        """Kill all keepers; they are back within a second or so."""
        self.tell('all are killed')
        await self.lose_all_power()

    async def lose_all_power(self) -> None:
        """All that are up lose power, and one perhaps its disk, if that is allowed."""
        up = [one for one in self.hosts if one not in self.away]
        room = self.fleet.tolerated_losses - len(self.losses.names(self.now_ms))
        sound = self.sound()
        await self.stop_all(up)
        if room > 0 and sound and self.rng.random() < 0.7:
            wiped = self.rng.choice(sound)
            self.tell(f'{wiped} loses its disk with the power of all')
            self.cluster.disks[wiped].wipe()
        for one in up:
            self.spawn(self.come_back(one))

    async def cut_off(self) -> None:
        """Cut one keeper off from the other keepers, in one direction or both."""
        name = self.rng.choice(self.sound())
        both = self.rng.random() < 0.6
        for_ms = self.rng.uniform(500, 6000)
        self.tell(f'{name} is cut off for {for_ms:.0f}, both ways: {both}')
        self.losses.begin(name)
        for other in HOSTS:
            self.cluster.fabric.cut(name, other)
            if both:
                self.cluster.fabric.cut(other, name)
        self.spawn(self.heal_later(name, for_ms))

    async def heal_later(self, name: str, for_ms: float) -> None:
        """Restore the paths of a keeper after a while."""
        await self.cluster.wait(for_ms)
        cuts = self.cluster.fabric.cuts
        cut_paths = [path for path in cuts if name in path]
        for path in cut_paths:
            cuts.pop(path)
        self.losses.end(name, self.now_ms)

    async def replace(self) -> None:
        """Lose one host for good; a new one comes after a while."""
        name = self.rng.choice(self.sound())
        after_ms = self.rng.uniform(300, MAX_DOWN_MS)
        self.tell(f'{name} is gone for good, a successor comes in {after_ms:.0f}')
        self.losses.begin(name)
        self.hosts.remove(name)
        await self.cluster.lose_host(name)
        self.spawn(self.succeed(name, after_ms))

    async def succeed(self, lost: str, after_ms: float) -> None:
        """Start the successor of a lost host."""
        await self.cluster.wait(after_ms)
        name = next(self.unused, None)
        if name is None:
            return
        self.tell(f'{name} succeeds {lost}')
        await self.cluster.start_keeper(name)
        self.hosts.append(name)
        # The lost host counts until its successor has caught up.
        self.losses.until_ms.pop(lost)
        self.losses.catching_up.discard(lost)
        self.losses.end(name, self.now_ms)

    async def replace_as_planned(self) -> None:
        """Start a new keeper, then stop one and take its host away."""
        name = self.rng.choice(self.sound())
        new = next(self.unused, None)
        if new is None:
            return
        after_ms = self.rng.uniform(300, 2 * CATCH_UP_MS)
        self.tell(f'{new} is to replace {name}, which is stopped in {after_ms:.0f}')
        await self.cluster.start_keeper(new)
        self.hosts.append(new)
        self.losses.end(new, self.now_ms)
        self.spawn(self.stop_for_good(name, new, after_ms))

    async def stop_for_good(self, name: str, new: str, after_ms: float) -> None:
        """Stop a keeper after a while; it counts until its successor has caught up."""
        self.retiring.add(name)
        await self.cluster.wait(after_ms)
        while name in self.away:
            await self.cluster.wait(20)
        self.tell(f'{name} is stopped for good')
        self.hosts.remove(name)
        self.losses.begin(name)
        await self.cluster.terminate(name)
        self.losses.until_ms.pop(name)
        if self.losses.is_disturbed:
            self.losses.end(new, self.now_ms)

    async def add(self) -> None:
        """Start one more keeper."""
        name = next(self.unused, None)
        if name is None:
            return
        self.tell(f'{name} is added')
        await self.cluster.start_keeper(name)
        self.hosts.append(name)
        self.losses.end(name, self.now_ms)

    async def retire(self) -> None:
        """Let one keeper retire; its host is taken away once it says that it is done."""
        name = self.rng.choice(self.sound())
        self.tell(f'{name} retires')
        self.retiring.add(name)
        with contextlib.suppress(StoreUnavailable):
            await self.cluster.store.put(f'retirements/{name}', RETIREMENT, None)
        self.spawn(self.take_away(name))

    async def take_away(self, name: str) -> None:
        """Take a host away once its keeper has retired."""
        statuses = self.cluster.store.statuses
        while statuses.get(f'retirements/{name}', {}).get('state') != 'completed':
            await self.cluster.wait(20)
        while name in self.away:
            await self.cluster.wait(20)
        self.tell(f'{name} has retired and is taken away')
        self.hosts.remove(name)
        await self.cluster.lose_host(name)

    async def disturb_store(self) -> None:
        """Let the store be away, slow or lose answers for a while."""
        faults = self.rng.choice(
            (Faults(down=True), Faults(slow_ms=300), Faults(lose_answers=3)),
        )
        for_ms = self.rng.uniform(500, 9000)
        self.tell(f'{faults} for {for_ms:.0f}')
        self.losses.disturb_store(self.now_ms)
        self.cluster.store.faults = faults
        self.spawn(self.calm_store(for_ms))

    async def calm_store(self, for_ms: float) -> None:
        """End the trouble of the store."""
        await self.cluster.wait(for_ms)
        self.cluster.store.faults = Faults()
        self.losses.calm_store(self.now_ms)
        self.tell('the store is back')

    async def stop_all(self, names: list[str]) -> None:
        """Kill some keepers at the same moment."""
        for name in names:
            await self.stop(name)

    async def stop(self, name: str) -> None:
        """Kill a keeper that will be back."""
        self.losses.begin(name)
        self.away.add(name)
        await self.cluster.kill(name)

    async def come_back(self, name: str) -> None:
        """Start a keeper again after a while."""
        await self.cluster.wait(self.rng.uniform(100, MAX_DOWN_MS))
        if name not in self.hosts:
            return
        await self.cluster.start_keeper(name)
        self.away.discard(name)
        self.losses.end(name, self.now_ms)

    async def settle(self) -> None:
        """Wait until all trouble has ended, and then for as long as recovery may take.

        Retirements go on meanwhile.
        """
        self.tell('no more trouble')
        while self.away or self.cluster.store.faults != Faults():
            await self.cluster.wait(100)
        self.cluster.fabric.heal()
        self.tell('all are up')
        await self.cluster.wait(RECOVER_MS)

    async def check(self, group: KeeperGroup) -> None:
        """Check that the keepers serve and have every acknowledged turn.

        Raises:
            AssertionError: they don't.
        """
        self.tell('check')
        await self.reserve(group)
        await group.store_turn(make_record('last'))
        for turn in self.acknowledged:
            await clear_cache(group)
            chain = await group.chains.load(turn)
            assert [one.turn for one in chain] == [turn], turn
        try:
            await group.chains.load('never')
        except Refusal as refusal:
            assert refusal.code == RefusalCode.UNKNOWN_TURN, refusal.message

    async def reserve(self, group: KeeperGroup) -> None:
        """Reserve tokens at a majority of complete keepers.

        Raises:
            AssertionError: too few answer.
        """
        message = ReserveTokens('p', 'r', 10, RETENTION_MS)
        answers = 0
        async for spent in group.request_all(message):
            answers += int(spent.complete)
            if answers >= group.links.majority:
                return
        listed = sorted(group.links.members.by_name)
        raise AssertionError(f'{answers} complete answers of {listed}')


def play_seed(seed: int) -> str:
    """Play one seed; return what went wrong, with the story, or nothing."""
    search = MembershipSearch(seed)
    try:
        run_virtual(search.play())
    except (AssertionError, PollenwalkError) as error:
        listed = sorted(
            key.removeprefix(KEEPERS_PREFIX)
            for key in search.cluster.store.objects
            if key.startswith(KEEPERS_PREFIX)
        )
        where = traceback.extract_tb(error.__traceback__)[-1].name
        reason = getattr(error, 'message', error)
        return '\n'.join(
            [
                f'seed {seed}: {reason} ({where})',
                *search.story,
                f'listed: {listed}, up: {search.hosts}',
            ]
        )
    return ''


def main() -> int:
    """Play a range of seeds; print those that fail."""
    logger.remove()
    first, last = map(int, sys.argv[1:3])
    failed = 0
    for seed in range(first, last + 1):
        report = play_seed(seed)
        failed += bool(report)
        if report:
            sys.stdout.write(f'{report}\n\n')
            sys.stdout.flush()
    sys.stdout.write(f'{last - first + 1} played, {failed} failed\n')
    return int(bool(failed))


if __name__ == '__main__':
    sys.exit(main())
