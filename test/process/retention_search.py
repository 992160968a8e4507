"""A seeded search for turns that are lost before their retention has passed.

Programs go on through gateways of two regions, on routes whose retentions differ and
change, while keepers restart, lose power together, are cut off from gateways and are
replaced, never more than may be lost at the same time. Each turn that was answered, and
its whole chain, must be found until the longest retention has passed that its route had
since.

By hand: `python -m test.process.retention_search 1 200` plays the seeds from 1 to 200.
"""

import asyncio
import random
import sys
from typing import NamedTuple

from loguru import logger

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.version.routes import CallerLimits, RoutingConfiguration
from standin.virtual.loop import run_virtual
from test.process.test_keepers import KeeperCluster, clear_cache, make_record
from test.request.test_forwarding import STREAM

STEPS = 40
PROGRAMS = 6
ROUTES = 3
RETENTIONS_MS = (1000.0, 10_000.0, 60_000.0, 300_000.0)
SHORT_PAUSE_MS = 3000.0
LONG_PAUSE_MS = 60_000.0
DEADLINE_MS = 8000.0
APPLIED_MS = 3000.0
# Within which a keeper that was started has all its records.
CATCH_UP_MS = 10_000.0
HOSTS = [f'z{number}' for number in range(24)]
KEEPERS = 4
LOST = {RefusalCode.UNKNOWN_TURN, RefusalCode.HISTORY_INCOMPLETE}


class AnsweredTurn(NamedTuple):
    """A turn that was answered whole.

    Attributes:
        chain: ids of the turn and its predecessors, the oldest first.
        route: number of its route.
        ended_ms: when its answer ended.
        until_ms: until when it must be found.
    """

    chain: list[str]
    route: int
    ended_ms: float
    until_ms: float


class RetentionSearch:
    """One random order of events.

    Attributes:
        retentions_ms: the retention of each route.
        answered: the turns that were answered, by id.
        last: the last answered turn of each program.
        story: what was done, for the report.
    """

    def __init__(self, seed: int) -> None:
        """Draw the routes; nothing runs yet."""
        self.rng = random.Random(seed)
        self.cluster = KeeperCluster()
        self.unused = iter(HOSTS[KEEPERS:])
        self.hosts = HOSTS[:KEEPERS]
        self.retentions_ms = [self.rng.choice(RETENTIONS_MS) for _ in range(ROUTES)]
        self.answered: dict[str, AnsweredTurn] = {}
        self.last: dict[int, str] = {}
        self.groups: list[KeeperGroup] = []
        self.story: list[str] = []
        self.count = 0
        self.version = 1

    @property
    def now_ms(self) -> float:
        """Return the time of the search."""
        return self.cluster.clock.now_ms()

    def tell(self, what: str) -> None:
        """Add a line to the story."""
        self.story.append(f'{self.now_ms / 1000:7.2f} {what}')

    async def play(self) -> None:
        """Play all events.

        Raises:
            AssertionError: a turn was lost.
        """
        for name in self.hosts:
            await self.cluster.start_keeper(name, True)
        await self.cluster.wait(1500)
        self.groups = [
            self.cluster.start_group('east', 'z0'),
            self.cluster.start_group('west', 'z1'),
        ]
        await self.cluster.wait(500)
        for group in self.groups:
            group.raises.apply(self.configuration())
        faults = (
            self.restart_one,
            self.lose_power,
            self.cut_off,
            self.replace,
            self.replace_as_planned,
        )
        others = (self.change_route, self.pause, self.forget)
        for _ in range(STEPS):
            await self.talk()
            await self.rng.choice((*others, self.rng.choice(faults)))()
            await self.cluster.wait(self.rng.uniform(0, SHORT_PAUSE_MS))
        await self.check()

    async def talk(self) -> None:
        """Let some programs go on at some gateways."""
        programs = self.rng.sample(range(PROGRAMS), self.rng.randrange(1, PROGRAMS))
        await asyncio.gather(*map(self.go_on, programs))

    async def go_on(self, program: int) -> None:
        """Send the next turn of a program, or of a new one in its place.

        Raises:
            AssertionError: the turn that it continues was lost.
        """
        previous = self.last.get(program, '')
        if previous and self.answered[previous].until_ms <= self.now_ms:
            previous = ''
        route = self.rng.randrange(ROUTES)
        self.count += 1
        turn = f't{self.count:04}'
        group = self.rng.choice(self.groups)
        try:
            async with self.cluster.clock.timeout_ms(DEADLINE_MS):
                chain = await self.run_turn(group, turn, previous, route)
        except (Refusal, TimeoutError) as error:
            self.check_refusal(error, previous)
            return
        until_ms = self.now_ms + self.retentions_ms[route]
        self.answered[turn] = AnsweredTurn([*chain, turn], route, self.now_ms, until_ms)
        self.last[program] = turn

    async def run_turn(
        self, group: KeeperGroup, turn: str, previous: str, route: int
    ) -> list[str]:
        """Do what a gateway does for a turn; return the ids of its predecessors."""
        retention_ms = self.retentions_ms[route]
        chain: list[str] = []
        if previous:
            loaded = await group.chains.load(previous, retention_ms)
            chain = [record.turn for record in loaded]
        record = make_record(turn, previous)._replace(retention_ms=retention_ms)
        await group.retry_until_acknowledged(lambda: group.store_turn(record))
        await group.retry_until_acknowledged(
            lambda: group.chains.confirm([*chain, turn], retention_ms)
        )
        return chain

    def check_refusal(self, error: Exception, previous: str) -> None:
        """Check that a refusal does not say that a promised turn is lost."""
        is_promised = previous and self.answered[previous].until_ms > self.now_ms
        if is_promised and isinstance(error, Refusal) and error.code in LOST:
            raise AssertionError(f'{previous}: {error.message}')

    async def change_route(self) -> None:
        """Give a route another retention; a longer one holds for what is kept, too."""
        route = self.rng.randrange(ROUTES)
        former_ms = self.retentions_ms[route]
        retention_ms = self.rng.choice(RETENTIONS_MS)
        self.tell(f'retention of route {route}: {former_ms} -> {retention_ms}')
        self.retentions_ms[route] = retention_ms
        self.version += 1
        for group in self.groups:
            group.raises.apply(self.configuration())
        for turn, answered in self.answered.items():
            longer_ms = answered.ended_ms + retention_ms
            if answered.route == route and answered.until_ms > self.now_ms:
                until_ms = max(answered.until_ms, longer_ms)
                self.answered[turn] = answered._replace(until_ms=until_ms)
        # As long as a version may take to be in force.
        await self.cluster.wait(APPLIED_MS)

    def configuration(self) -> RoutingConfiguration:
        """Return the routes as they are now."""
        routes = tuple(
            STREAM._replace(
                name=f'r{number}', keeps_history=True, retention_ms=retention_ms
            )
            for number, retention_ms in enumerate(self.retentions_ms)
        )
        return RoutingConfiguration(self.version, {'h': routes}, {}, CallerLimits(0))

    async def pause(self) -> None:
        """Let nobody send anything for a while."""
        pause_ms = self.rng.uniform(0, LONG_PAUSE_MS)
        self.tell(f'nothing for {pause_ms:.0f}')
        await self.cluster.wait(pause_ms)

    async def forget(self) -> None:
        """Empty the cache of a gateway."""
        await clear_cache(self.rng.choice(self.groups))

    async def restart_one(self) -> None:
        """Kill one keeper; programs go on without it until it is back."""
        name = self.rng.choice(self.hosts)
        self.tell(f'{name} is killed')
        await self.cluster.kill(name)
        await self.talk()
        await self.cluster.wait(self.rng.uniform(0, LONG_PAUSE_MS))
        await self.talk()
        await self.cluster.start_keeper(name)
        await self.cluster.wait(CATCH_UP_MS)

    async def lose_power(self) -> None:
        """Kill all keepers; they are back at once."""
        self.tell('all lose power')
        for name in self.hosts:
            await self.cluster.kill(name)
        for name in self.hosts:
            await self.cluster.start_keeper(name)
        await self.cluster.wait(CATCH_UP_MS)

    async def cut_off(self) -> None:
        """Cut a keeper off from both gateways while programs go on."""
        name = self.rng.choice(self.hosts)
        for_ms = self.rng.uniform(0, LONG_PAUSE_MS)
        self.tell(f'{name} is cut off for {for_ms:.0f}')
        for gateway in ('east', 'west'):
            self.cluster.fabric.cut(gateway, name)
        await self.talk()
        await self.cluster.wait(for_ms)
        await self.talk()
        self.cluster.fabric.heal()
        await self.cluster.wait(CATCH_UP_MS)

    async def replace(self) -> None:
        """Lose a host for good; another one takes its place."""
        await self.replace_by(self.cluster.lose_host, 'is lost')

    async def replace_as_planned(self) -> None:
        """Stop a keeper for good; another one takes its place."""
        await self.replace_by(self.cluster.terminate, 'is stopped')

    async def replace_by(self, end, what: str) -> None:
        """End a keeper for good and start another one."""
        successor = next(self.unused, None)
        if successor is None:
            return
        name = self.rng.choice(self.hosts)
        self.tell(f'{name} {what}, {successor} comes')
        self.hosts.remove(name)
        await end(name)
        await self.talk()
        await self.cluster.start_keeper(successor)
        self.hosts.append(successor)
        await self.cluster.wait(2 * CATCH_UP_MS)

    async def check(self) -> None:
        """Check that each promised turn is found with its chain.

        Raises:
            AssertionError: one is not.
        """
        group = self.groups[0]
        await clear_cache(group)
        for turn, promised in list(self.answered.items()):
            if promised.until_ms <= self.now_ms:
                continue
            found = await group.chains.load(turn)
            if [record.turn for record in found] != promised.chain:
                raise AssertionError(f'{turn} was found with another chain')


async def run_seed(seed: int) -> str:
    """Play one seed; return what went wrong, with the story; empty if nothing did."""
    search = RetentionSearch(seed)
    try:
        await search.play()
    except (AssertionError, Refusal) as error:
        return '\n'.join((f'seed {seed}: {error!r}', *search.story))
    return ''


def play_seed(seed: int) -> str:
    """Play one seed in virtual time; see `run_seed`."""
    return run_virtual(run_seed(seed))


def main(first: int, last: int) -> None:
    """Play some seeds; print the stories of those that fail, and how many there are."""
    logger.remove()
    reports = [report for report in map(play_seed, range(first, last + 1)) if report]
    sys.stdout.write('\n\n'.join((*reports, f'{len(reports)} failed\n')))


if __name__ == '__main__':
    main(*map(int, sys.argv[1:3]))
