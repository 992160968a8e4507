"""Keeps all turns of a history at the keepers for as long as the history is in use.

A keeper removes a turn some time after its last use, and counts a new turn as a use of
those before it only if it has all of them. A gateway answers from its cache, and new
turns go to the keepers near the caller. So when a caller has moved or keepers were away,
nobody would use the first turns where they are. The gateway that continues a history
therefore tells the keepers of its turns, and stores those again that too few have.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from typing import Any

from loguru import logger

from pollenwalk.errors import PollenwalkError
from pollenwalk.process.clock import Clock
from pollenwalk.process.keeper_links import KeeperLinks
from pollenwalk.process.tasks import TaskSet
from pollenwalk.program.turns import KeepTurns, Missing, TurnRecord

# Share of its retention after which the keepers of a turn are told again. A record
# expires after more than one and a half times its retention, so that it is kept for its
# whole retention after the last turn of the history.
REFRESH_SHARE = 0.5
# If one turn of a history is due, those are told with it that will be due within this
# share of their retention, so that a long history does not cost a message each turn.
EARLY_SHARE = 0.25
# Number of turns above which those that are due are forgotten.
MIN_PRUNED_TURNS = 1000

StoreTurn = Callable[[TurnRecord], Awaitable[Any]]


class TurnRetention:
    """Tells keepers which turns are in use.

    Attributes:
        store_turn: stores a turn at enough keepers.
        due_at_ms: when the keepers of a turn are to be told again; a turn that is not
            here is due.
        prune_at: number of turns at which those that are due are forgotten.
    """

    def __init__(
        self,
        links: KeeperLinks,
        clock: Clock,
        tasks: TaskSet,
        required_copies: int,
        store_turn: StoreTurn,
    ) -> None:
        """Create the retention of a gateway that has told nobody yet."""
        self.links = links
        self.clock = clock
        self.tasks = tasks
        self.required_copies = required_copies
        self.store_turn = store_turn
        self.due_at_ms: dict[str, float] = {}
        self.prune_at = MIN_PRUNED_TURNS

    def note_told(self, record: TurnRecord) -> None:
        """Note that enough keepers have just stored a turn or were told of its use."""
        self.prune()
        refresh_ms = record.retention_ms * REFRESH_SHARE
        self.due_at_ms[record.turn] = self.clock.now_ms() + refresh_ms

    def prune(self) -> None:
        """Forget the turns that are due, once there are many."""
        if len(self.due_at_ms) < self.prune_at:
            return
        now_ms = self.clock.now_ms()
        self.due_at_ms = {
            turn: due_ms for turn, due_ms in self.due_at_ms.items() if due_ms > now_ms
        }
        self.prune_at = max(2 * len(self.due_at_ms), MIN_PRUNED_TURNS)

    def use(self, chain: list[TurnRecord]) -> None:
        """Tell the keepers of a history's turns that these are used, where it is due."""
        if not any(self.is_due(record, 0) for record in chain):
            return
        due = [record for record in chain if self.is_due(record, EARLY_SHARE)]
        for record in due:
            self.note_told(record)
        self.tasks.spawn(self.refresh(due), 'keep_turns')

    def is_due(self, record: TurnRecord, early_share: float) -> bool:
        """Return whether the keepers of a turn are to be told of its use.

        Args:
            record: the turn.
            early_share: share of its retention by which it may be early.
        """
        due_at_ms = self.due_at_ms.get(record.turn, 0)
        return due_at_ms - record.retention_ms * early_share <= self.clock.now_ms()

    async def refresh(self, records: list[TurnRecord]) -> None:
        """Tell keepers that turns are used; store those again that too few have.

        Turns whose keepers don't all answer are due again with the next turn.
        """
        holders = {record.turn: self.holders(record) for record in records}
        names = sorted(set(itertools.chain.from_iterable(holders.values())))
        told = await asyncio.gather(
            *(
                self.tell(name, [turn for turn in holders if name in holders[turn]])
                for name in names
            )
        )
        held_by_name = dict(zip(names, told, strict=True))
        logger.info(
            'turns_used',
            turns=len(records),
            last=records[-1].turn,
            keepers=[name for name in names if held_by_name[name] is not None],
            silent=[name for name in names if held_by_name[name] is None],
        )
        for record in records:
            answers = [held_by_name[name] for name in holders[record.turn]]
            await self.check_copies(record, answers)

    def holders(self, record: TurnRecord) -> list[str]:
        """Return the names of the keepers that may have a turn.

        The copies of a keeper that has left the list are at any of the others.
        """
        listed = self.links.members.by_name
        if record.replicas and all(name in listed for name in record.replicas):
            return record.replicas
        return list(listed)

    async def tell(self, name: str, turns: list[str]) -> set[str] | None:
        """Tell a keeper that turns are used.

        Returns:
            The turns that it has; None if it did not answer.
        """
        member = self.links.members.by_name.get(name)
        if member is None:
            return None
        link = self.links.link(member)
        try:
            missing: Missing = await self.links.request(link, KeepTurns(turns))
        except PollenwalkError as error:
            logger.debug('turns_not_kept', keeper=name, reason=error.message)
            return None
        return set(turns).difference(missing.turns)

    async def check_copies(
        self, record: TurnRecord, answers: list[set[str] | None]
    ) -> None:
        """Store a turn again if too few keepers have it.

        Args:
            record: the turn.
            answers: for each keeper that was told of it, the turns that it has; None
                if it did not answer.
        """
        copies = sum(1 for held in answers if held and record.turn in held)
        if copies >= self.required_copies:
            return
        if None in answers:
            self.due_at_ms.pop(record.turn, None)
            return
        logger.warning('turn_copied', turn=record.turn, copies=copies)
        try:
            await self.store_turn(record)
        except PollenwalkError as error:
            logger.warning('copy_failed', turn=record.turn, reason=error.message)
            self.due_at_ms.pop(record.turn, None)
