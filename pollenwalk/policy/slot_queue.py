"""The queue of calls that wait for a slot of an upstream host."""

import asyncio
from typing import NamedTuple

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.clock import Clock

# A waiting call becomes one priority level more urgent each time it has waited for
# this long.
AGING_MS_PER_LEVEL = 10_000
# Retry-After of calls that cannot join the queue.
RETRY_AFTER_MS = 250


class WaitingCall(NamedTuple):
    """A call in the queue.

    All times are in ms on the sidecar's clock.

    Attributes:
        level: priority level; lower levels run first.
        deadline_ms: when the call's deadline passes.
        program_begun_ms: when the call's program began.
        arrived_ms: when the call entered the queue.
        admitted: completed when the call gets a slot.
    """

    level: int
    deadline_ms: float
    program_begun_ms: float
    arrived_ms: float
    admitted: asyncio.Future[None]


def urgency_key(call: WaitingCall, now_ms: float) -> tuple[float, float, float]:
    """Return the sort key of a waiting call; the lowest key runs next.

    Calls are ordered by priority level with aging, then by the start of their
    program, then by deadline. Within a level, calls of older programs
    therefore run before those of newer ones.
    """
    waited_ms = now_ms - call.arrived_ms
    level = call.level - waited_ms // AGING_MS_PER_LEVEL
    return (level, call.program_begun_ms, call.deadline_ms)


class SlotQueue:
    """Slots of an upstream host and the queue of calls that wait for one.

    Attributes:
        slots: calls that may run at the same time.
        queue_limit: calls that may wait while all slots are taken.
        running: slots that are taken.
        waiting: calls that wait for a slot.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without slots; `resize` sets them from the declaration."""
        self.clock = clock
        self.slots = 0
        self.queue_limit = 0
        self.running = 0
        self.waiting: list[WaitingCall] = []

    def resize(self, slots: int, queue_limit: int) -> None:
        """Set the number of slots and the maximum length of the queue."""
        self.slots = slots
        self.queue_limit = queue_limit
        self.fill_slots()

    async def acquire(
        self, level: int, deadline_ms: float, program_begun_ms: float
    ) -> None:
        """Wait for a slot and take it.

        Args:
            level: priority level; lower levels run first.
            deadline_ms: when to stop waiting, on the sidecar's clock.
            program_begun_ms: when the call's program began, on the same clock.

        Raises:
            Refusal: the queue is full, the host has no slots, or the deadline
                passed while waiting.
        """
        full = self.running >= self.slots and len(self.waiting) >= self.queue_limit
        if full or not self.slots:
            raise Refusal(
                RefusalCode.OVERLOADED,
                'this upstream host has no slots or its queue is full',
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
        """Remove a call from the queue, or free its slot if it just got one."""
        if call in self.waiting:
            self.waiting.remove(call)
        elif call.admitted.done() and not call.admitted.cancelled():
            self.release()

    def release(self) -> None:
        """Free a slot and give it to the next waiting call."""
        self.running -= 1
        self.fill_slots()

    def fill_slots(self) -> None:
        """Assign the free slots to the most urgent waiting calls."""
        while self.waiting and self.running < self.slots:
            now_ms = self.clock.now_ms()
            call = min(self.waiting, key=lambda one: urgency_key(one, now_ms))
            self.waiting.remove(call)
            if not call.admitted.done():
                self.running += 1
                call.admitted.set_result(None)
