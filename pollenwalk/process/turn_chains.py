"""Chains of turns, which gateways read for a prompt and have kept at the keepers."""

from loguru import logger

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.clock import Clock
from pollenwalk.process.turn_replication import keepers_unavailable
from pollenwalk.process.turn_retention import TurnRetention
from pollenwalk.process.turn_search import TurnSearch
from pollenwalk.program.turn_index import TurnIndex
from pollenwalk.program.turns import Chain, TurnRecord

# Size of a gateway's cache of turns. The smallest gateway has 128 MB of memory.
CACHE_BYTES = 16_000_000
# Retry-After while a predecessor of a turn is at no keeper that answers. One that is away
# takes seconds to come back.
INCOMPLETE_RETRY_AFTER_MS = 5000


class TurnChains:
    """Reads chains from a cache and from the keepers, and has them kept there.

    Attributes:
        cache: the turns that this gateway used last.
        search: finds turns at the keepers.
        retention: tells the keepers for how long turns are needed.
    """

    def __init__(
        self, clock: Clock, search: TurnSearch, retention: TurnRetention
    ) -> None:
        """Create an empty cache."""
        self.cache: TurnIndex[TurnRecord] = TurnIndex(clock, CACHE_BYTES)
        self.search = search
        self.retention = retention

    async def load(
        self, turn: str, retention_ms: float | None = None
    ) -> list[TurnRecord]:
        """Return a turn and all its predecessors, which are about to be continued.

        Args:
            turn: id of the turn.
            retention_ms: how long they are needed after the new turn; None for as long
                as the turn itself.

        Returns:
            The turns, the oldest first.

        Raises:
            Refusal: the turn does not exist or has a gap before it, or too few keepers
                answered to know.
        """
        turns = await self.read(turn)
        if retention_ms is None:
            retention_ms = turns[-1].retention_ms
        self.retention.use(turns, retention_ms)
        return turns

    async def confirm(self, turns: list[str], retention_ms: float) -> None:
        """Wait until enough keepers will keep a chain for its retention from now on.

        Args:
            turns: ids of all turns of the chain, the oldest first.
            retention_ms: how long they are needed after an answer that ends now.

        Raises:
            Refusal: too few keepers answer.
        """
        retention = self.retention
        if not retention.unconfirmed(turns, retention_ms):
            return
        await retention.wait_for_renewals(turns)
        due = set(retention.unconfirmed(turns, retention_ms))
        if not due:
            return
        chain = await self.read(turns[-1])
        records = [record for record in chain if record.turn in due]
        await retention.renew(records, retention_ms, at_once=True)
        if retention.unconfirmed(turns, retention_ms):
            raise keepers_unavailable(
                'too few keepers confirm that they keep the chain'
            )

    async def read(self, turn: str) -> list[TurnRecord]:
        """Return a turn and all its predecessors, the oldest first.

        Raises:
            Refusal: the turn does not exist or has a gap before it, or too few keepers
                answered to know.
        """
        cached = self.cache.use_chain(turn)
        turns = cached.turns
        missing = cached.missing
        while missing:
            found = await self.find_part(turn, missing)
            for record in found.turns:
                self.cache.put(record)
            turns = [*found.turns, *turns]
            missing = found.missing
        return turns

    async def find_part(self, turn: str, missing: str) -> Chain:
        """Find the part of a turn's chain that ends with a missing turn.

        Raises:
            Refusal: the turn does not exist or has a gap before it, or too few keepers
                answered to know.
        """
        try:
            return await self.search.find_chain(missing)
        except Refusal as refusal:
            if missing == turn or refusal.code != RefusalCode.UNKNOWN_TURN:
                raise
        # The turn itself may be known from the cache alone, and have expired, too.
        await self.search.find_chain(turn)
        logger.error('history_incomplete', turn=turn, predecessor=missing)
        raise history_incomplete(turn, missing)


def history_incomplete(turn: str, predecessor: str) -> Refusal:
    """Return the refusal of a call that continues a turn with a gap before it.

    It does not deny the turn, which exists. As its predecessor was lost or may be at a
    keeper that is away, the caller may try again, but not soon.
    """
    return Refusal(
        RefusalCode.HISTORY_INCOMPLETE,
        f'turn {turn} exists, but its predecessor {predecessor} was not found',
        retry_after_ms=INCOMPLETE_RETRY_AFTER_MS,
    )
