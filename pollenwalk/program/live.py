"""A program while its home runs: its lock, its calls and its order."""

import asyncio

from pollenwalk.connection.wire import CallProgram
from pollenwalk.errors import Outcome, Refusal, RefusalCode
from pollenwalk.process.clock import Clock
from pollenwalk.program.history import count_tokens
from pollenwalk.program.program import Program
from pollenwalk.request.call import LiveCall

GAP_WAIT_MS = 5000
GAP_RETRY_MS = 1000
MAX_AHEAD = 64


class LiveProgram:
    """What a home keeps for a program beside its durable state.

    The lock is held from computing a record until it is applied, so records
    of one program are computed on the state that they change.
    """

    def __init__(self, program: Program, clock: Clock) -> None:
        """Start without calls."""
        self.program = program
        self.clock = clock
        self.lock = asyncio.Lock()
        self.calls: dict[str, LiveCall] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.held: dict[str, str] = {}
        self.cached: dict[str, int] = {}
        self.counted = 0
        self.tokens = 0
        self.maybe_ran: dict[str, None] = {}
        self.doubtful = 0
        self.ending = False
        self.begun_ms = clock.now_ms()
        self.used_ms = self.begun_ms
        self.changed = asyncio.Event()

    @property
    def history_tokens(self) -> int:
        """Count the history's tokens, each entry once."""
        entries = self.program.history.entries
        fresh = entries[self.counted :]
        self.tokens += sum(count_tokens(entry.content) for entry in fresh)
        self.counted = len(entries)
        return self.tokens

    def may_have_run(self, request: CallProgram) -> bool:
        """Tell whether an earlier try of a repeatable call may have run.

        A dead home records no try of such a call, so the first call after a
        takeover is in doubt.
        """
        return request.key in self.maybe_ran or request.sequence == self.doubtful

    def notify(self) -> None:
        """Wake the calls that wait for their turn."""
        self.changed.set()
        self.changed = asyncio.Event()

    def admit(self, request: CallProgram) -> None:
        """Check that a new call has a place in the order.

        Raises:
            Refusal: the place is taken, too far ahead, or the program ended.
        """
        program = self.program
        if program.ended or self.ending:
            raise Refusal(RefusalCode.PROGRAM_ENDED, 'the program has ended')
        if self.is_overdue():
            raise Refusal(RefusalCode.DEADLINE, "the program's time is up")
        if request.sequence < program.next_sequence or self.waits(request):
            raise Refusal(
                RefusalCode.SEQUENCE_TAKEN,
                f'another call has sequence {request.sequence}',
            )
        if request.sequence > program.next_sequence + MAX_AHEAD:
            raise self.gap(request)

    def is_overdue(self) -> bool:
        """Tell whether the program's time is up; a takeover starts it anew."""
        return self.clock.now_ms() - self.begun_ms > self.program.deadline_ms

    def waits(self, request: CallProgram) -> bool:
        """Tell whether another call already waits at this place."""
        return any(
            call.request.sequence == request.sequence for call in self.calls.values()
        )

    def gap(self, request: CallProgram) -> Refusal:
        """Describe a call whose forerunner has not come."""
        lost = self.program.uncertain
        return Refusal(
            RefusalCode.SEQUENCE_GAP,
            f'the next call is number {self.program.next_sequence}, '
            f'not {request.sequence}',
            Outcome.UNKNOWN if lost else Outcome.NOT_RUN,
            GAP_RETRY_MS,
        )

    async def take_turn(self, call: LiveCall) -> None:
        """Wait until all earlier calls have ended.

        Raises:
            Refusal: a forerunner did not come in time, or the program ended.
        """
        gap_since_ms = self.clock.now_ms()
        while self.program.next_sequence != call.request.sequence:
            self.check_waiting(call)
            if self.has_forerunner(call):
                gap_since_ms = self.clock.now_ms()
            patience_ms = gap_since_ms + GAP_WAIT_MS - self.clock.now_ms()
            if patience_ms <= 0:
                raise self.gap(call.request)
            await self.wait_change(min(patience_ms, call.remaining_ms()))
        self.check_waiting(call)

    def check_waiting(self, call: LiveCall) -> None:
        """Refuse a waiting call whose program ends or whose time is up."""
        if self.ending or self.program.ended:
            raise Refusal(RefusalCode.PROGRAM_ENDED, 'the program has ended')
        if call.remaining_ms() <= 0:
            raise Refusal(RefusalCode.DEADLINE, 'the deadline passed in order')

    def has_forerunner(self, call: LiveCall) -> bool:
        """Tell whether the next call in order is here already."""
        return any(
            other.request.sequence == self.program.next_sequence
            for other in self.calls.values()
            if other is not call
        )

    async def wait_change(self, duration_ms: float) -> None:
        """Wait for a change, at most so long."""
        try:
            async with self.clock.timeout_ms(duration_ms):
                await self.changed.wait()
        except TimeoutError:
            return
