"""A call of a program while the program's owner handles it."""

import asyncio

from pollenwalk.connection.program_messages import CallProgram
from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.clock import Clock
from pollenwalk.program.history import digest_json
from pollenwalk.program.program import FinishedCall
from pollenwalk.request.stream import TokenStream

MAX_KEY_LENGTH = 200
MAX_SEQUENCE = 1_000_000


def request_digest(request: CallProgram) -> str:
    """Return a digest of what a call asks for, without its sequence number."""
    return digest_json(
        [
            request.upstream,
            request.operation,
            request.argument,
        ]
    )


def check_request(request: CallProgram) -> None:
    """Check the idempotency key and the sequence number of a call.

    Raises:
        Refusal: one of them is missing or out of range; the call did not run.
    """
    if not request.key:
        raise Refusal(RefusalCode.KEY_MISSING, 'Idempotency-Key is required')
    if len(request.key) > MAX_KEY_LENGTH:
        raise Refusal(
            RefusalCode.MALFORMED,
            f'Idempotency-Key is longer than {MAX_KEY_LENGTH} characters',
        )
    if not 1 <= request.sequence <= MAX_SEQUENCE:
        raise Refusal(
            RefusalCode.MALFORMED,
            f'sequence must be from 1 to {MAX_SEQUENCE}',
        )


class LiveCall:
    """A call that waits for its turn or runs.

    Attributes:
        digest: digest of what the call asks for; it differs if a key is used again
            for another call.
        deadline_ms: when the caller stops waiting, on the process's clock.
        stream: the tokens generated so far.
        attempts: attempts that have failed.
        running: whether the call is dispatched, and not withdrawn since.
        done: completed with the recorded result, or fails without a record.
    """

    def __init__(self, request: CallProgram, clock: Clock) -> None:
        """Start the call; its deadline counts from now."""
        self.request = request
        self.digest = request_digest(request)
        self.deadline_ms = clock.now_ms() + request.time_left_ms
        self.clock = clock
        self.stream = TokenStream()
        self.attempts = 0
        self.running = False
        self.done: asyncio.Future[FinishedCall] = (
            asyncio.get_running_loop().create_future()
        )

    @property
    def id(self) -> str:
        """Return the id that the call has in all processes."""
        return f'{self.request.program}/{self.request.key}'

    def remaining_ms(self) -> float:
        """Return the time in ms until the deadline; negative after it."""
        return self.deadline_ms - self.clock.now_ms()

    def finish(self, finished: FinishedCall) -> None:
        """Complete the call for all who wait for it."""
        if not self.done.done():
            self.done.set_result(finished)
        self.stream.end()

    def fail(self, error: Exception) -> None:
        """End the call with an error for all who wait for it; nothing is recorded."""
        if not self.done.done():
            self.done.set_exception(error)
            # Marks the exception as retrieved: asyncio logs it otherwise if nobody
            # waits for the call.
            self.done.exception()
        self.stream.end()
