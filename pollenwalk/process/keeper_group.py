"""The keepers as a gateway uses them: enough copies, enough voices.

With f keepers that may be lost at once, a record counts when f + 1 disks
have it; it does not exist when all keepers but f say so; and a majority of
all keepers decides on budgets.
"""

import asyncio
from collections.abc import AsyncIterator, Iterable
from typing import Any, NamedTuple

from loguru import logger

from pollenwalk.connection.channel import Network
from pollenwalk.connection.peer import Peer
from pollenwalk.errors import PollenwalkError, Refusal, RefusalCode
from pollenwalk.process.clock import Clock
from pollenwalk.process.members import Member, Members
from pollenwalk.process.tasks import TaskSet
from pollenwalk.program.turn_index import TurnIndex
from pollenwalk.program.turns import (
    Chain,
    FindChain,
    SettleTokens,
    Stored,
    TurnRecord,
)

# A round trip between regions, two syncs and a lost packet.
ASK_TIMEOUT_MS = 700.0
# After this another keeper is asked for a copy as well: several syncs near,
# a round trip between regions far away.
NEAR_HEDGE_MS = 40.0
FAR_HEDGE_MS = 150.0
# A keeper that gave no answer is asked last for so long.
SUSPECT_MS = 1500.0
# Retry-After while too few keepers answer: they are back within a second.
RETRY_MS = 400
# Turns that a gateway remembers; the least gateway has 128 MB in all.
CACHE_BYTES = 16_000_000


class Link(NamedTuple):
    """A keeper and the way to it."""

    member: Member
    peer: Peer
    distance: int


class KeeperGroup:
    """All keepers that the store lists."""

    def __init__(
        self,
        network: Network,
        clock: Clock,
        tasks: TaskSet,
        zone: str,
        regions: dict[str, str],
        tolerated_losses: int,
    ) -> None:
        """Start with none known."""
        self.network = network
        self.clock = clock
        self.tasks = tasks
        self.zone = zone
        self.regions = regions
        self.tolerated_losses = tolerated_losses
        self.members = Members()
        self.links: dict[str, Link] = {}
        self.suspected: dict[str, float] = {}
        self.cache = TurnIndex(clock, CACHE_BYTES)

    def ordered(self) -> list[Link]:
        """Give the keepers, those that answer and stand near first."""
        now_ms = self.clock.now_ms()
        links = [self.link(member) for member in self.members.by_name.values()]
        return sorted(
            links,
            key=lambda link: (
                self.suspected.get(link.member.name, 0) > now_ms,
                link.distance,
                link.member.name,
            ),
        )

    def link(self, member: Member) -> Link:
        """Give the way to a keeper, which is new where its address is."""
        known = self.links.get(member.name)
        if known is None or known.member.address != member.address:
            peer = Peer(member.address, self.network, self.clock, self.tasks)
            peer.drops_when_silent = True
            known = Link(member, peer, self.distance(member.zone))
            self.links[member.name] = known
        return known._replace(member=member)

    def distance(self, zone: str) -> int:
        """Rank a zone: this one, this region, another region."""
        if zone == self.zone:
            return 0
        return 1 if self.regions.get(zone) == self.regions.get(self.zone) else 2

    @property
    def copies(self) -> int:
        """Give how many disks must have a record."""
        return self.tolerated_losses + 1

    @property
    def majority(self) -> int:
        """Give how many keepers decide on budgets."""
        return len(self.members.by_name) // 2 + 1

    async def ask(self, link: Link, message: Any) -> Any:
        """Ask one keeper.

        Raises:
            PollenwalkError: it gave no answer.
        """
        try:
            answer = await link.peer.ask(message, ASK_TIMEOUT_MS)
        except PollenwalkError as error:
            until_ms = self.clock.now_ms() + SUSPECT_MS
            self.suspected[link.member.name] = until_ms
            logger.warning(
                'keeper_silent',
                keeper=link.member.name,
                message=type(message).__name__,
                reason=error.message,
            )
            raise
        self.suspected.pop(link.member.name, None)
        return answer

    async def answers(
        self,
        links: Iterable[Link],
        message: Any,
    ) -> AsyncIterator[Any]:
        """Ask several keepers at once and give the answers as they come."""
        asking = [asyncio.ensure_future(self.ask(link, message)) for link in links]
        try:
            for next_done in asyncio.as_completed(asking):
                try:
                    yield await next_done
                except PollenwalkError:
                    # Logged by `ask`; the others may be enough.
                    continue
        finally:
            for task in asking:
                task.cancel()

    async def keep(self, record: TurnRecord) -> None:
        """Have a turn kept on enough disks.

        Raises:
            Refusal: too few keepers answer.
        """
        links = [link for link in self.ordered() if not link.member.retiring]
        first = links[: self.copies]
        record = record._replace(holders=[link.member.name for link in first])
        copies = Copies(self, record, links)
        await copies.make()
        self.cache.put(record)

    async def chain(self, turn: str) -> list[TurnRecord]:
        """Find a turn and all before it, the oldest first.

        Raises:
            Refusal: it does not exist, or nobody can be certain.
        """
        found = self.cache.chain(turn)
        turns = found.turns
        while found.missing:
            found = await self.find(found.missing)
            for record in found.turns:
                self.cache.put(record)
            turns = [*found.turns, *turns]
        return turns

    async def find(self, turn: str) -> Chain:
        """Find a part of a chain at the keepers.

        Raises:
            Refusal: the turn does not exist, or nobody can be certain.
        """
        links = self.ordered()
        absent = 0
        for link in links:
            try:
                found: Chain = await self.ask(link, FindChain(turn))
            except PollenwalkError:
                # Logged by `ask`; another keeper may have the turn.
                continue
            if found.turns:
                return found
            absent += int(found.complete)
        if links and absent >= len(links) - self.tolerated_losses:
            raise Refusal(RefusalCode.UNKNOWN_TURN, f'no turn {turn}')
        raise keepers_unavailable(f'{absent} of {len(links)} have no turn {turn}')

    def settle(self, message: SettleTokens) -> None:
        """Tell all keepers what a turn has shown, in the background."""
        for link in self.ordered():
            self.tasks.spawn(self.ask(link, message), 'settle')


class Copies:
    """One record on its way to enough disks."""

    def __init__(
        self,
        group: KeeperGroup,
        record: TurnRecord,
        links: list[Link],
    ) -> None:
        """Prepare to send a record to the first of some keepers."""
        self.group = group
        self.record = record
        self.spare = links
        self.made = 0
        self.sending: set[asyncio.Task[Stored]] = set()

    async def make(self) -> None:
        """Send until enough keepers have the record.

        Raises:
            Refusal: no keeper is left to ask.
        """
        try:
            await self.make_all()
        finally:
            for task in self.sending:
                # The copy may still be useful; nobody waits for it.
                task.add_done_callback(asyncio.Task.exception)

    async def make_all(self) -> None:
        """Send to as many as are missing; to more when they are slow."""
        self.send_to(self.group.copies)
        while self.made < self.group.copies:
            if not self.sending:
                raise keepers_unavailable(f'{self.made} copies were made')
            done, self.sending = await asyncio.wait(
                self.sending,
                timeout=self.hedge_ms() / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            good = [task for task in done if task.exception() is None]
            self.made += len(good)
            self.send_to(len(done) - len(good) if done else 1)

    def send_to(self, count: int) -> None:
        """Send to the next keepers."""
        chosen, self.spare = self.spare[:count], self.spare[count:]
        for link in chosen:
            asking = self.group.ask(link, self.record)
            self.sending.add(asyncio.ensure_future(asking))
            self.distance = link.distance

    def hedge_ms(self) -> float:
        """Give how long the last keeper asked may take."""
        return FAR_HEDGE_MS if self.distance > 1 else NEAR_HEDGE_MS


def keepers_unavailable(reason: str) -> Refusal:
    """Refuse a turn for now: too few keepers answer."""
    return Refusal(
        RefusalCode.KEEPERS_UNAVAILABLE,
        reason,
        retry_after_ms=RETRY_MS,
    )
