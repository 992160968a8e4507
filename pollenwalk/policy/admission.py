"""Which waiting call an upstream host runs next."""

import asyncio
from typing import NamedTuple

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.clock import Clock

AGING_MS_PER_LEVEL = 10_000
RETRY_AFTER_MS = 250


class Ticket(NamedTuple):
    """A waiting call.

    Attributes:
        level: priority class; a lower one goes first.
        deadline_ms: on the sidecar's clock.
        born_ms: when the call's program began, on the sidecar's clock.
        arrived_ms: when it began to wait.
        turn: completed when the call may run.
    """

    level: int
    deadline_ms: float
    born_ms: float
    arrived_ms: float
    turn: asyncio.Future[None]


def urgency(ticket: Ticket, now_ms: float) -> tuple[float, float, float]:
    """Order tickets: class with aging, then the program that began first.

    A program once begun is so finished ahead of new ones.
    """
    waited_ms = now_ms - ticket.arrived_ms
    level = ticket.level - waited_ms // AGING_MS_PER_LEVEL
    return (level, ticket.born_ms, ticket.deadline_ms)


class Admission:
    """The queue before an upstream host's slots."""

    def __init__(self, clock: Clock) -> None:
        """Start with no slots; the declaration brings them."""
        self.clock = clock
        self.slots = 0
        self.limit = 0
        self.running = 0
        self.waiting: list[Ticket] = []

    def resize(self, slots: int, limit: int) -> None:
        """Set the number of slots and of places to wait."""
        self.slots = slots
        self.limit = limit
        self.admit()

    async def enter(self, level: int, deadline_ms: float, born_ms: float) -> None:
        """Wait for a slot.

        Raises:
            Refusal: the queue is full, or the deadline passed in it.
        """
        full = self.running >= self.slots and len(self.waiting) >= self.limit
        if full or not self.slots:
            raise Refusal(
                RefusalCode.OVERLOADED,
                'the queue of this upstream host is full',
                retry_after_ms=RETRY_AFTER_MS,
            )
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        now_ms = self.clock.now_ms()
        ticket = Ticket(level, deadline_ms, born_ms, now_ms, turn)
        self.waiting.append(ticket)
        self.admit()
        try:
            async with self.clock.timeout_ms(deadline_ms - now_ms):
                await turn
        except TimeoutError as error:
            self.give_up(ticket)
            raise Refusal(
                RefusalCode.DEADLINE,
                'the deadline passed in the queue',
            ) from error
        except asyncio.CancelledError:
            self.give_up(ticket)
            raise

    def give_up(self, ticket: Ticket) -> None:
        """Leave the queue, or the slot when the turn had just come."""
        if ticket in self.waiting:
            self.waiting.remove(ticket)
        elif ticket.turn.done() and not ticket.turn.cancelled():
            self.leave()

    def leave(self) -> None:
        """Free a slot."""
        self.running -= 1
        self.admit()

    def admit(self) -> None:
        """Fill the free slots with the most urgent tickets."""
        while self.waiting and self.running < self.slots:
            now_ms = self.clock.now_ms()
            ticket = min(self.waiting, key=lambda one: urgency(one, now_ms))
            self.waiting.remove(ticket)
            if not ticket.turn.done():
                self.running += 1
                ticket.turn.set_result(None)
