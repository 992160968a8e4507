"""Requests to as many keepers as it takes to decide, with hedges for late ones."""

from collections.abc import AsyncIterator
from typing import Any

from pollenwalk.process.clock import Clock
from pollenwalk.process.keeper_broadcast import Broadcast
from pollenwalk.process.keeper_links import OTHER_REGION, KeeperLink
from pollenwalk.process.turn_replication import FAR_HEDGE_MS, NEAR_HEDGE_MS

# Keepers that are asked beyond a majority, so that one that has just died delays nobody.
SPARE_KEEPERS = 1
# Interval of the checks whether a hedged request is due.
HEDGE_INTERVAL_MS = 20.0


class Quorum:
    """Sends one message to some of the keepers, and to more if these fail or are late.

    Attributes:
        candidates: the keepers that have not been asked, the preferred ones first.
        asked: names of the keepers that have been asked.
        waiting: the keepers whose answers are awaited, by name, with how long each may
            still take.
    """

    def __init__(
        self,
        broadcast: Broadcast,
        candidates: list[KeeperLink],
        message: Any,
        asked: set[str],
    ) -> None:
        """Ask nobody yet."""
        self.broadcast = broadcast
        self.candidates = candidates
        self.message = message
        self.asked = asked
        self.waiting: dict[str, float] = {}

    def ask_next(self, count: int) -> None:
        """Ask the next `count` candidates, as far as there are any."""
        chosen = self.candidates[:count]
        self.candidates = self.candidates[count:]
        for link in chosen:
            is_far = link.distance >= OTHER_REGION
            self.waiting[name_of(link)] = FAR_HEDGE_MS if is_far else NEAR_HEDGE_MS
        self.asked.update(map(name_of, chosen))
        self.broadcast.send_to(chosen, self.message)

    async def answers(self) -> AsyncIterator[Any]:
        """Yield the answers as they arrive; replace keepers that fail."""
        while self.broadcast.outstanding:
            answered = await self.broadcast.next()
            was_waited_for = self.waiting.pop(name_of(answered.link), None)
            if answered.answer is not None:
                yield answered.answer
            elif was_waited_for is not None:
                self.ask_next(1)

    async def hedge(self, clock: Clock) -> None:
        """Ask another keeper for each one that is late."""
        while self.candidates:
            await clock.sleep_ms(HEDGE_INTERVAL_MS)
            left = {
                name: left_ms - HEDGE_INTERVAL_MS
                for name, left_ms in self.waiting.items()
            }
            self.waiting = {name: ms for name, ms in left.items() if ms > 0}
            self.ask_next(len(left) - len(self.waiting))


def name_of(link: KeeperLink) -> str:
    """Return the name of the keeper that a connection leads to."""
    return link.member.name
