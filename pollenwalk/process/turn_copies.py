"""Copies of a keeper's turns at other keepers, counted by what these really hold.

A record names the keepers that were asked to store it first. These may have lost it or
left since, so whoever is about to remove a keeper compares what the remaining ones hold
with what they should.
"""

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

from loguru import logger

from pollenwalk.connection.wire import encode_datagram
from pollenwalk.errors import PollenwalkError
from pollenwalk.process.clock import MS_PER_SECOND, Clock
from pollenwalk.process.keeper_links import KeeperLinks
from pollenwalk.process.keeper_members import Member
from pollenwalk.process.keeper_state import KeeperState
from pollenwalk.process.record_batches import batched
from pollenwalk.process.stored_turns import IndexedRecord
from pollenwalk.process.tasks import TaskSet
from pollenwalk.program.turns import (
    KeepTurns,
    Missing,
    PushRecords,
)

# How long a keeper that asks for copies waits for each answer. It is shorter than the
# time after which an unanswered request counts as the loss of a keeper.
ANSWER_WAIT_MS = 400.0
# A keeper that waits for copies asks again within this time. Whoever asks later has
# begun anew, and turns may have come since the copies were made.
MAX_RESULT_AGE_MS = 2000.0


class CopyRun(NamedTuple):
    """A copy that another keeper has asked for.

    Attributes:
        task: the copy, whose result is whether each turn is on enough keepers.
        asked_at_ms: when it was asked for last.
    """

    task: asyncio.Task[bool]
    asked_at_ms: float


class TurnCopies:
    """Copies the turns of one keeper to others that lack them.

    Attributes:
        own_name: name of the keeper.
        required_copies: how many keepers must have each turn.
        copying: the copies that other keepers have asked for, by the names of the
            keepers whose copies are to count.
    """

    def __init__(
        self,
        state: KeeperState,
        links: KeeperLinks,
        clock: Clock,
        tasks: TaskSet,
        own_name: str,
        required_copies: int,
    ) -> None:
        """Create the copies of a keeper; nothing has been compared yet."""
        self.state = state
        self.links = links
        self.clock = clock
        self.tasks = tasks
        self.own_name = own_name
        self.required_copies = required_copies
        self.copying: dict[frozenset[str], CopyRun] = {}

    async def ensure_for(self, names: list[str]) -> bool:
        """Start or continue a copy for another keeper.

        Args:
            names: names of the keepers whose copies count.

        Returns:
            Whether each turn is on enough of them; False while that goes on.
        """
        key = frozenset(names)
        run = self.copying.get(key)
        now_ms = self.clock.now_ms()
        if run is None or now_ms - run.asked_at_ms > MAX_RESULT_AGE_MS:
            task = self.tasks.spawn(self.ensure_named(key), 'ensure_copies')
        else:
            task = run.task
        self.copying[key] = CopyRun(task, now_ms)
        await asyncio.wait({task}, timeout=ANSWER_WAIT_MS / MS_PER_SECOND)
        if not task.done():
            return False
        self.copying.pop(key, None)
        return not task.cancelled() and task.result()

    async def ensure_named(self, names: frozenset[str]) -> bool:
        """Copy the turns to keepers that are given by their names.

        Returns:
            Whether each turn is on enough of them. It is not if one of them is not
            listed, as far as this keeper knows.
        """
        staying = [
            link.member for link in self.links.ordered() if link.member.name in names
        ]
        return len(staying) == len(names) and await self.ensure(staying)

    async def ensure(self, staying: list[Member]) -> bool:
        """Copy each turn to as many keepers as must have it.

        Args:
            staying: the keepers whose copies count, the preferred ones first.

        Returns:
            Whether each turn is on enough of them; otherwise the caller retries.
        """
        if len(staying) < self.required_copies:
            return False
        staying = sorted(staying, key=lambda member: member.full)
        # All at once: in a large fleet one after the other would take longer than a
        # keeper has.
        others = [member for member in staying if member.name != self.own_name]
        pushed = await asyncio.gather(
            *(self.push_or_log(member, staying) for member in others)
        )
        return all(pushed)

    async def push_or_log(self, member: Member, staying: list[Member]) -> bool:
        """Send another keeper the turns that it is to have; log a failure.

        Returns:
            Whether it has acknowledged all of them.
        """
        try:
            await self.push_turns(member, staying)
        except PollenwalkError as error:
            logger.warning('copy_failed', keeper=member.name, reason=error.message)
            return False
        return True

    async def push_turns(self, member: Member, staying: list[Member]) -> None:
        """Send another keeper the turns that it is to have and lacks."""
        chosen = (
            (entry.turn, self.choose_replicas(entry, staying))
            for entry in self.state.turns.entries()
        )
        replicas = {turn: names for turn, names in chosen if member.name in names}
        if not replicas:
            return
        link = self.links.link(member)
        missing = await self.extend_at(member, list(replicas))
        async for records in self.state.reader.batches(missing):
            updated = (one._replace(replicas=replicas[one.turn]) for one in records)
            push = PushRecords(list(map(encode_datagram, updated)))
            await self.links.request(link, push)

    async def extend_at(self, member: Member, turns: list[str]) -> list[str]:
        """Have another keeper keep turns from now on for as long as they are needed.

        It may have a copy that nobody told of later uses, as it counts for nothing yet.

        Returns:
            The ids of those that it does not have.
        """
        link = self.links.link(member)
        missing: list[str] = []
        for message in self.state.extensions.present(turns):
            known = message if member.extends_turns else KeepTurns(message.turns)
            answer: Missing = await self.links.request(link, known)
            missing.extend(answer.turns)
        return missing

    def choose_replicas(
        self, record: IndexedRecord, staying: list[Member]
    ) -> list[str]:
        """Return the names of the keepers that are to have a turn.

        Its present replicas among `staying` are preferred, then the first others.
        """
        present = {*record.replicas, self.own_name}
        names = [member.name for member in staying]
        kept = [name for name in names if name in present]
        added = [name for name in names if name not in present]
        return [*kept, *added][: self.required_copies]

    async def push(self, member: Member, records: Iterable[bytes]) -> None:
        """Send encoded records to another keeper, in batches."""
        link = self.links.link(member)
        for batch in batched(records):
            await self.links.request(link, PushRecords(batch))
