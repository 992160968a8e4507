"""Which waiting call an upstream host runs next."""

import asyncio
from typing import NamedTuple

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.clock import Clock

AGING_MS_PER_LEVEL = 10_000
RETRY_AFTER_MS = 250


class WaitingCall(NamedTuple):
    """A waiting call.

    Attributes:
        level: priority class; a lower one goes first.
        deadline_ms: on the sidecar's clock.
        program_begun_ms: when the call's program began, on the sidecar's clock.
        arrived_ms: when it began to wait.
        admitted: completed when the call may run.
    """

    level: int
    deadline_ms: float
    program_begun_ms: float
    arrived_ms: float
    admitted: asyncio.Future[None]


def urgency(call: WaitingCall, now_ms: float) -> tuple[float, float, float]:
    """Order waiting calls: class with aging, then the program that began first.

    Calls of programs that have begun so run before those of new programs.
    """
    waited_ms = now_ms - call.arrived_ms
    level = call.level - waited_ms // AGING_MS_PER_LEVEL
    return (level, call.program_begun_ms, call.deadline_ms)


class SlotQueue:
    """The queue before an upstream host's slots."""

    def __init__(self, clock: Clock) -> None:
        """Start with no slots; the declaration brings them."""
        self.clock = clock
        self.slots = 0
        self.queue_limit = 0
        self.running = 0
        self.waiting: list[WaitingCall] = []

    def resize(self, slots: int, queue_limit: int) -> None:
        """Set the number of slots and of places to wait."""
        self.slots = slots
        self.queue_limit = queue_limit
        self.fill_slots()

    async def acquire(
        self, level: int, deadline_ms: float, program_begun_ms: float
    ) -> None:
        """Wait for a slot.

        Raises:
            Refusal: the queue is full, or the deadline passed in it.
        """
        full = self.running >= self.slots and len(self.waiting) >= self.queue_limit
        if full or not self.slots:
            raise Refusal(
                RefusalCode.OVERLOADED,
                'the queue of this upstream host is full',
                retry_after_ms=RETRY_AFTER_MS,
            )
        admitted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        now_ms = self.clock.now_ms()
        call = WaitingCall(level, deadline_ms, program_begun_ms, now_ms, admitted)
        self.waiting.append(call)
        self.fill_slots()
        try:
            async with self.clock.timeout_ms(deadline_ms - now_ms):
                await admitted
        except TimeoutError as error:
            self.abandon_wait(call)
            raise Refusal(
                RefusalCode.DEADLINE,
                'the deadline passed in the queue',
            ) from error
        except asyncio.CancelledError:
            self.abandon_wait(call)
            raise

    def abandon_wait(self, call: WaitingCall) -> None:
        """Leave the queue, or the slot when the turn had just come."""
        if call in self.waiting:
            self.waiting.remove(call)
        elif call.admitted.done() and not call.admitted.cancelled():
            self.release()

    def release(self) -> None:
        """Free a slot."""
        self.running -= 1
        self.fill_slots()

    def fill_slots(self) -> None:
        """Fill the free slots with the most urgent waiting calls."""
        while self.waiting and self.running < self.slots:
            now_ms = self.clock.now_ms()
            call = min(self.waiting, key=lambda one: urgency(one, now_ms))
            self.waiting.remove(call)
            if not call.admitted.done():
                self.running += 1
                call.admitted.set_result(None)
