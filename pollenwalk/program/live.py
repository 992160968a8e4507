"""A program's state in memory at its owner: its lock and its calls in order."""

import asyncio

from pollenwalk.connection.program_messages import CallProgram
from pollenwalk.errors import Outcome, Refusal, RefusalCode
from pollenwalk.process.clock import Clock
from pollenwalk.program.history import estimate_tokens
from pollenwalk.program.program import Program
from pollenwalk.request.call import LiveCall

# How long a call waits for an earlier call that has not arrived.
GAP_WAIT_MS = 5000
# Delay after which a caller is told to retry a call that was refused because an
# earlier one has not arrived or its sequence number is too far ahead.
GAP_RETRY_MS = 1000
# How far a call's sequence number may be ahead of the next call in order.
MAX_SEQUENCES_AHEAD = 64


class LiveProgram:
    """What an owner keeps for a program in addition to its durable state.

    The lock is held from computing a record until it is applied, so that a
    record is computed from the same state that it changes.

    Attributes:
        program: the durable state.
        calls: calls that wait or run, by the caller's key.
        tasks: the tasks of these calls, by the caller's key.
        sidecar_digests: digest of the history that a sidecar has, by sidecar
            id.
        cached_tokens: estimated history tokens in the memory of a sidecar's
            engine, by sidecar id.
        counted_items: history items that `counted_tokens` covers.
        counted_tokens: estimated tokens of these items.
        maybe_ran_keys: keys of idempotent calls of which an attempt may have
            run, as the keys of an ordered set.
        maybe_ran_sequence: sequence number of the first call after a takeover,
            which the previous owner may have run; 0 if there was no takeover.
        ending: whether the program is being ended.
        begun_ms: when this owner began or took over the program.
        last_used_ms: when a call last arrived or finished.
        changed: set when a call finishes or the program is to end.
    """

    def __init__(self, program: Program, clock: Clock) -> None:
        """Start without calls; times are read from `clock`."""
        self.program = program
        self.clock = clock
        self.lock = asyncio.Lock()
        self.calls: dict[str, LiveCall] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.sidecar_digests: dict[str, str] = {}
        self.cached_tokens: dict[str, int] = {}
        self.counted_items = 0
        self.counted_tokens = 0
        self.maybe_ran_keys: dict[str, None] = {}
        self.maybe_ran_sequence = 0
        self.ending = False
        self.begun_ms = clock.now_ms()
        self.last_used_ms = self.begun_ms
        self.changed = asyncio.Event()

    @property
    def history_tokens(self) -> int:
        """Return the history's estimated tokens; each item is counted once."""
        history_items = self.program.history.items
        new_items = history_items[self.counted_items :]
        self.counted_tokens += sum(estimate_tokens(item.content) for item in new_items)
        self.counted_items = len(history_items)
        return self.counted_tokens

    def may_have_run(self, request: CallProgram) -> bool:
        """Return whether an earlier attempt of an idempotent call may have run.

        Attempts of such calls are not recorded, so after a takeover it is not
        known whether the previous owner had attempted the first call.
        """
        return (
            request.key in self.maybe_ran_keys
            or request.sequence == self.maybe_ran_sequence
        )

    def notify_waiting_calls(self) -> None:
        """Wake the calls that wait for earlier ones, so that they check again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def admit(self, request: CallProgram) -> None:
        """Check that the program runs and that a new call's sequence number is free.

        Raises:
            Refusal: the program has ended or exceeded its deadline, or the
                sequence number is taken or too far ahead.
        """
        program = self.program
        if program.ended or self.ending:
            raise Refusal(RefusalCode.PROGRAM_ENDED, 'the program has ended')
        if self.is_overdue():
            raise Refusal(RefusalCode.DEADLINE, "the program's deadline has passed")
        if request.sequence < program.next_sequence or self.is_sequence_taken(request):
            raise Refusal(
                RefusalCode.SEQUENCE_TAKEN,
                f'another call has sequence {request.sequence}',
            )
        if request.sequence > program.next_sequence + MAX_SEQUENCES_AHEAD:
            raise self.gap_refusal(request)

    def is_overdue(self) -> bool:
        """Return whether the deadline has passed; a takeover restarts the period."""
        return self.clock.now_ms() - self.begun_ms > self.program.deadline_ms

    def is_sequence_taken(self, request: CallProgram) -> bool:
        """Return whether a call with the same sequence number waits or runs."""
        return any(
            call.request.sequence == request.sequence for call in self.calls.values()
        )

    def gap_refusal(self, request: CallProgram) -> Refusal:
        """Make the refusal of a call whose predecessor has not arrived.

        If the program's last records were lost, the call may have run.
        """
        may_have_run = self.program.uncertain
        return Refusal(
            RefusalCode.SEQUENCE_GAP,
            f'the next call is number {self.program.next_sequence}, '
            f'not {request.sequence}',
            Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
            GAP_RETRY_MS,
        )

    async def wait_for_predecessors(self, call: LiveCall) -> None:
        """Wait until all earlier calls of the program have finished.

        Raises:
            Refusal: an earlier call did not arrive within `GAP_WAIT_MS`, the
                call's deadline has passed, or the program has ended.
        """
        gap_since_ms = self.clock.now_ms()
        while self.program.next_sequence != call.request.sequence:
            self.check_waiting(call)
            if self.has_predecessor(call):
                gap_since_ms = self.clock.now_ms()
            remaining_ms = gap_since_ms + GAP_WAIT_MS - self.clock.now_ms()
            if remaining_ms <= 0:
                raise self.gap_refusal(call.request)
            await self.wait_for_change(min(remaining_ms, call.remaining_ms()))
        self.check_waiting(call)

    def check_waiting(self, call: LiveCall) -> None:
        """Check that a waiting call may go on waiting.

        Raises:
            Refusal: the program has ended, or the call's deadline has passed.
        """
        if self.ending or self.program.ended:
            raise Refusal(RefusalCode.PROGRAM_ENDED, 'the program has ended')
        if call.remaining_ms() <= 0:
            raise Refusal(
                RefusalCode.DEADLINE,
                'the deadline passed while waiting for earlier calls',
            )

    def has_predecessor(self, call: LiveCall) -> bool:
        """Return whether the next call in order has arrived and is not `call`."""
        return any(
            other.request.sequence == self.program.next_sequence
            for other in self.calls.values()
            if other is not call
        )

    async def wait_for_change(self, duration_ms: float) -> None:
        """Wait until `changed` is set, but no longer than `duration_ms`."""
        try:
            async with self.clock.timeout_ms(duration_ms):
                await self.changed.wait()
        except TimeoutError:
            return
