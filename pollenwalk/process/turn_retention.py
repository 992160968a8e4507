"""Keeps all turns of a history at the keepers for as long as the history is needed.

A keeper removes a turn some time after its last use, and counts a new turn as a use of
those before it only if it has all of them. A gateway answers from its cache, and new
turns go to the keepers near the caller. So when a caller has moved or keepers were away,
nobody would use the first turns where they are. The gateway that continues a history
therefore tells the keepers of its turns for how long these are needed now, and stores
those again that too few have. A turn is answered once enough keepers have confirmed this.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Iterable, Iterator
from typing import Any, NamedTuple

from loguru import logger

from pollenwalk.errors import PollenwalkError
from pollenwalk.process.clock import Clock
from pollenwalk.process.keeper_links import KeeperLinks
from pollenwalk.process.tasks import TaskSet
from pollenwalk.program.turn_index import RETENTION_MARGIN_MS, expiry_delay_ms
from pollenwalk.program.turns import ExtendTurns, KeepTurns, Missing, TurnRecord

# If one turn of a history is due, those are told with it that will be due within this
# share of their retention, so that a long history does not cost a message each turn.
EARLY_SHARE = 0.25
# How long an answer may take to reach its caller, whose time begins then.
DELIVERY_MS = 15_000.0
# Number of turns above which those that are due are forgotten.
MIN_PRUNED_TURNS = 1000

StoreTurn = Callable[[TurnRecord], Awaitable[Any]]


class KeptTurn(NamedTuple):
    """A turn that enough keepers have confirmed to keep.

    Attributes:
        until_ms: time until which they keep it.
        retention_ms: the retention that they were told.
    """

    until_ms: float
    retention_ms: float

    def is_outdated(self, now_ms: float) -> bool:
        """Return whether the keepers must be told again before the turn is needed."""
        return self.until_ms - self.retention_ms - DELIVERY_MS <= now_ms


class TurnRetention:
    """Tells keepers for how long turns are needed.

    Attributes:
        store_turn: stores a turn at enough keepers.
        kept: the turns that enough keepers are known to keep, by id; one that is not
            here is due.
        renewals: the renewals that are under way, by turn.
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
        self.kept: dict[str, KeptTurn] = {}
        self.renewals: dict[str, asyncio.Task[None]] = {}
        self.prune_at = MIN_PRUNED_TURNS

    def note_kept(self, turn: str, retention_ms: float, since_ms: float) -> None:
        """Note that enough keepers have a turn and know for how long it is needed.

        Args:
            turn: id of the turn.
            retention_ms: for how long it is needed.
            since_ms: time at which they were told.
        """
        self.prune()
        until_ms = since_ms + expiry_delay_ms(retention_ms)
        known = self.kept.get(turn)
        if known is None or known.until_ms < until_ms:
            self.kept[turn] = KeptTurn(until_ms, retention_ms)

    def prune(self) -> None:
        """Forget the turns that are due, once there are many."""
        if len(self.kept) < self.prune_at:
            return
        now_ms = self.clock.now_ms()
        self.kept = {
            turn: kept
            for turn, kept in self.kept.items()
            if not kept.is_outdated(now_ms)
        }
        self.prune_at = max(2 * len(self.kept), MIN_PRUNED_TURNS)

    def use(self, chain: list[TurnRecord], retention_ms: float) -> None:
        """Tell the keepers of a history for how long it is needed, where that is due.

        Args:
            chain: the turns of the history.
            retention_ms: how long they are needed after the next turn.
        """
        turns = [record.turn for record in chain]
        spare_ms = RETENTION_MARGIN_MS
        if next(self.kept_for_less(turns, retention_ms + spare_ms), None) is None:
            return
        spare_ms += retention_ms * EARLY_SHARE
        early = set(self.kept_for_less(turns, retention_ms + spare_ms))
        early.difference_update(self.renewals)
        due = [record for record in chain if record.turn in early]
        if not due:
            return
        renewal = self.tasks.spawn(self.renew(due, retention_ms), 'keep_turns')
        turns = [record.turn for record in due]
        self.renewals.update(dict.fromkeys(turns, renewal))
        renewal.add_done_callback(lambda _: self.end_renewal(turns))

    def end_renewal(self, turns: list[str]) -> None:
        """Note that a renewal has ended."""
        for turn in turns:
            self.renewals.pop(turn, None)

    def kept_for_less(self, turns: Iterable[str], duration_ms: float) -> Iterator[str]:
        """Yield the turns that too few keepers are known to keep for a time from now."""
        until_ms = self.clock.now_ms() + duration_ms
        for turn in turns:
            kept = self.kept.get(turn)
            if kept is None or kept.until_ms <= until_ms:
                yield turn

    def unconfirmed(self, turns: list[str], retention_ms: float) -> list[str]:
        """Return the turns that too few keepers are known to keep for long enough.

        Args:
            turns: ids of turns.
            retention_ms: for how long they are needed after an answer that ends now.
        """
        return list(self.kept_for_less(turns, retention_ms + DELIVERY_MS))

    async def wait_for_renewals(self, turns: list[str]) -> None:
        """Wait until the renewals of some turns that are under way have ended."""
        renewals = {self.renewals[turn] for turn in turns if turn in self.renewals}
        if renewals:
            await asyncio.wait(renewals)

    async def renew(
        self, records: list[TurnRecord], retention_ms: float, at_once: bool = False
    ) -> None:
        """Tell keepers that turns are needed; store those again that too few have.

        Turns whose keepers don't all answer are due again with the next turn.

        Args:
            records: the turns.
            retention_ms: for how long they are needed.
            at_once: whether those whose keepers don't all answer are stored again, too.
        """
        sent_ms = self.clock.now_ms()
        holders = {record.turn: self.holders(record) for record in records}
        names = sorted(set(itertools.chain.from_iterable(holders.values())))
        told = await asyncio.gather(
            *(
                self.tell(
                    name,
                    [turn for turn in holders if name in holders[turn]],
                    retention_ms,
                )
                for name in names
            )
        )
        held_by_name = dict(zip(names, told, strict=True))
        log_told(records, held_by_name)
        for record in records:
            answers = [held_by_name[name] for name in holders[record.turn]]
            copies = sum(1 for held in answers if held and record.turn in held)
            if copies >= self.required_copies:
                self.note_kept(record.turn, retention_ms, sent_ms)
            elif at_once or None not in answers:
                await self.store_again(record, retention_ms, copies)

    def holders(self, record: TurnRecord) -> list[str]:
        """Return the names of the keepers that may have a turn.

        The copies of a keeper that has left the list are at any of the others.
        """
        listed = self.links.members.by_name
        if record.replicas and all(name in listed for name in record.replicas):
            return record.replicas
        return list(listed)

    async def tell(
        self, name: str, turns: list[str], retention_ms: float
    ) -> set[str] | None:
        """Tell a keeper for how long turns are needed.

        Returns:
            The turns that it has; None if it did not answer.
        """
        member = self.links.members.by_name.get(name)
        if member is None:
            return None
        message = (
            ExtendTurns(turns, retention_ms)
            if member.extends_turns
            else KeepTurns(turns)
        )
        try:
            missing: Missing = await self.links.request(
                self.links.link(member), message
            )
        except PollenwalkError as error:
            logger.debug('turns_not_kept', keeper=name, reason=error.message)
            return None
        return set(turns).difference(missing.turns)

    async def store_again(
        self, record: TurnRecord, retention_ms: float, copies: int
    ) -> None:
        """Store a turn at enough keepers, as too few are known to have it.

        Args:
            record: the turn.
            retention_ms: for how long it is needed.
            copies: how many keepers are known to have it.
        """
        logger.warning('turn_copied', turn=record.turn, copies=copies)
        needed_ms = max(record.retention_ms, retention_ms)
        try:
            await self.store_turn(record._replace(retention_ms=needed_ms))
        except PollenwalkError as error:
            logger.warning('copy_failed', turn=record.turn, reason=error.message)


def log_told(
    records: list[TurnRecord], held_by_name: dict[str, set[str] | None]
) -> None:
    """Log which keepers were told that turns are needed, and which were silent."""
    logger.info(
        'turns_used',
        turns=len(records),
        last=records[-1].turn,
        keepers=[name for name, held in held_by_name.items() if held is not None],
        silent=[name for name, held in held_by_name.items() if held is None],
    )
