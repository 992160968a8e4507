"""Fetching of the records that a keeper lacks from other keepers."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Iterable, Iterator

from loguru import logger

from pollenwalk.connection.peer import Peer
from pollenwalk.errors import PollenwalkError
from pollenwalk.process.keeper import Keeper
from pollenwalk.process.keeper_members import Member
from pollenwalk.process.keeper_questions import ask, ask_all
from pollenwalk.process.turn_pages import MAX_PAGE_TURNS, TurnPages
from pollenwalk.program.turns import (
    KeepTurns,
    ListTurns,
    PullAccounts,
    PullTurns,
    RecordBatch,
    TurnList,
)

# Timeout for a list of turns and for each batch of records. A batch takes 200 ms on the
# slowest link between regions.
BATCH_TIMEOUT_MS = 1500.0


class RecordFetch:
    """Fetches records for one keeper.

    Keepers are asked one after the other, as they may share a slow link.
    """

    def __init__(self, keeper: Keeper) -> None:
        """Create the fetching for `keeper`."""
        self.keeper = keeper

    async def fetch_turns(self, others: list[Member]) -> bool:
        """Fetch the turns that too few of some other keepers have, each one once.

        A record says who was asked to store it first, not who has done so; so this
        compares what the others hold.

        Args:
            others: the keepers whose copies count, the preferred ones first.

        Returns:
            Whether this keeper has all of them now, and all others are complete.
        """
        lists = await ask_all(self.keeper.links, others, ListTurns(), BATCH_TIMEOUT_MS)
        if not all(
            isinstance(answer, TurnList) and answer.complete for answer in lists
        ):
            return False
        missing = set(self.missing_turns(lists))
        for member, answer in zip(others, lists, strict=True):
            wanted = missing.intersection(answer.turns)
            if wanted:
                await self.fetch(member, TurnPages(sorted(wanted)))
            missing.difference_update(self.keeper.state.turns)
        return not missing and await self.extend_held(others, lists)

    async def extend_held(self, others: list[Member], lists: list[TurnList]) -> bool:
        """Have the other keepers keep what they hold from now on.

        A copy that counts here may be one that nobody told of later uses.

        Returns:
            Whether all have answered.
        """
        answers = await asyncio.gather(
            *(
                self.keep_all(member, answer.turns)
                for member, answer in zip(others, lists, strict=True)
            )
        )
        return all(answers)

    async def keep_all(self, member: Member, turns: list[str]) -> bool:
        """Tell another keeper that turns are used; return whether it has answered."""
        for start in range(0, len(turns), MAX_PAGE_TURNS):
            message = KeepTurns(turns[start : start + MAX_PAGE_TURNS])
            if await ask(self.keeper.links, member, message) is None:
                return False
        return True

    def missing_turns(self, lists: Iterable[TurnList]) -> Iterator[str]:
        """Yield the turns that too few keepers have, and this one neither."""
        held = Counter(turn for answer in lists for turn in answer.turns)
        own = self.keeper.state.turns
        required = self.keeper.required_copies
        return (
            turn for turn, count in held.items() if count < required and turn not in own
        )

    async def fetch_accounts(self, others: list[Member]) -> bool:
        """Fetch the accounts of some other keepers; return whether all were fetched."""
        fetched = [await self.fetch(member) for member in others]
        return all(fetched)

    async def fetch(self, member: Member, pages: TurnPages | None = None) -> bool:
        """Fetch and store what another keeper has.

        Args:
            member: the other keeper.
            pages: the turns to fetch; None to fetch the accounts.

        Returns:
            Whether everything was fetched and the other keeper is complete.
        """
        keeper = self.keeper
        peer = Peer(member.address, keeper.network, keeper.clock, keeper.tasks)
        count = 0
        complete = True
        try:
            async for batch in self.fetch_batches(peer, pages):
                complete = complete and batch.complete
                count += await keeper.state.add_records(batch.records)
        except (PollenwalkError, TimeoutError) as error:
            logger.warning('fetch_failed', keeper=member.name, reason=repr(error))
            return False
        finally:
            await peer.close()
        logger.info(
            'fetched',
            keeper=member.name,
            what='accounts' if pages is None else 'turns',
            new=count,
            complete=complete,
        )
        return complete

    async def fetch_batches(
        self, peer: Peer, pages: TurnPages | None
    ) -> AsyncIterator[RecordBatch]:
        """Yield the batches of records that a keeper sends for the pages; see `fetch`.

        Raises:
            TimeoutError: the next batch did not arrive within the timeout.
        """
        if pages is None:
            async for batch in self.answers(peer, PullAccounts()):
                yield batch
            return
        for request in pages:
            async for batch in self.answers(peer, request):
                yield batch
                pages.note(batch.records)

    async def answers(
        self, peer: Peer, request: PullAccounts | PullTurns
    ) -> AsyncIterator[RecordBatch]:
        """Yield the batches of records that a keeper sends for one request.

        Raises:
            TimeoutError: the next batch did not arrive within the timeout.
        """
        stream = peer.stream(request)
        while True:
            async with self.keeper.clock.timeout_ms(BATCH_TIMEOUT_MS):
                batch = await anext(stream, None)
            if batch is None:
                return
            yield batch
