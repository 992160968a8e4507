"""One call of a program while it is on its way."""

import asyncio

from pollenwalk.connection.wire import CallProgram
from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.clock import Clock
from pollenwalk.program.history import digest_json
from pollenwalk.program.program import FinishedCall
from pollenwalk.request.stream import TokenStream

MAX_KEY = 200
MAX_SEQUENCE = 1_000_000


def request_digest(request: CallProgram) -> str:
    """Digest what a call asks for; its place in the order is not part."""
    return digest_json(
        [
            request.upstream,
            request.operation,
            request.argument,
        ]
    )


def check_request(request: CallProgram) -> None:
    """Check a call's form.

    Raises:
        Refusal: says which part is wrong; the call did not run.
    """
    if not request.key:
        raise Refusal(RefusalCode.KEY_MISSING, 'Idempotency-Key is required')
    if len(request.key) > MAX_KEY:
        raise Refusal(
            RefusalCode.MALFORMED,
            f'Idempotency-Key is longer than {MAX_KEY} characters',
        )
    if not 1 <= request.sequence <= MAX_SEQUENCE:
        raise Refusal(
            RefusalCode.MALFORMED,
            f'sequence must be from 1 to {MAX_SEQUENCE}',
        )


class LiveCall:
    """A call that waits or runs."""

    def __init__(self, request: CallProgram, clock: Clock) -> None:
        """Start the call's time."""
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
        """Name the call in every hop."""
        return f'{self.request.program}/{self.request.key}'

    def remaining_ms(self) -> float:
        """Give the time left until the deadline."""
        return self.deadline_ms - self.clock.now_ms()

    def finish(self, finished: FinishedCall) -> None:
        """Give the final answer to all who wait."""
        if not self.done.done():
            self.done.set_result(finished)
        self.stream.end()

    def refuse(self, error: Exception) -> None:
        """Give up without a record: the call has left no trace."""
        if not self.done.done():
            self.done.set_exception(error)
            self.done.exception()
        self.stream.end()
