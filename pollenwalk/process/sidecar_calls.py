"""The calls that a sidecar runs, and the record of those it has run."""

import asyncio
from collections.abc import AsyncIterator

from pollenwalk.connection.wire import Answer, Dispatch, HistoryItem, Tokens
from pollenwalk.errors import Outcome, Refusal, RefusalCode
from pollenwalk.process.clock import Clock
from pollenwalk.request.stream import TokenStream

FINISHED_RETENTION_MS = 600_000
SEALED_EPOCH = float('inf')


class SidecarCall:
    """A call with this sidecar, running or ended."""

    def __init__(self, message: Dispatch, history: list[HistoryItem]) -> None:
        """Start without a result."""
        self.message = message
        self.history = history
        self.stream = TokenStream()
        self.ended_ms = 0.0
        self.unfollowed_since_ms: float | None = None
        self.result: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.task: asyncio.Task[None] | None = None

    @property
    def failed(self) -> bool:
        """Tell whether the call has ended without an answer."""
        return self.result.done() and self.result.exception() is not None

    def finish(self, answer: Answer, now_ms: float) -> None:
        """Keep the answer."""
        self.ended_ms = now_ms
        if not self.result.done():
            self.result.set_result(answer)
        self.stream.end()

    def fail(self, refusal: Refusal, now_ms: float) -> None:
        """Keep the refusal."""
        self.ended_ms = now_ms
        if not self.result.done():
            self.result.set_exception(refusal)
            self.result.exception()
        self.stream.end()

    async def follow(self, offset: int) -> AsyncIterator[Tokens | Answer]:
        """Give the tokens from an offset on and the result."""
        async for tokens in self.stream.follow(offset):
            yield tokens
        yield await asyncio.shield(self.result)


class EpochFence:
    """Which connections may still hand calls over.

    A home that connects again closes its older connections here, and a
    successor's question closes a sealed incarnation for good. So a call that
    was not seen before such a question can't be seen after it.
    """

    def __init__(self) -> None:
        """Start with none."""
        self.min_epochs: dict[str, float] = {}

    def advance(self, incarnation: str, epoch: int) -> None:
        """Note a connection's epoch; older ones become stale."""
        known = self.min_epochs.get(incarnation, 0)
        self.min_epochs[incarnation] = max(known, epoch)

    def seal(self, incarnation: str) -> None:
        """Take nothing more from a sealed incarnation."""
        self.min_epochs[incarnation] = SEALED_EPOCH

    def check(self, incarnation: str, epoch: int) -> None:
        """Check a connection before it hands a call over.

        Raises:
            Refusal: the connection is stale.
        """
        if epoch < self.min_epochs.get(incarnation, 0):
            raise Refusal(
                RefusalCode.STALE_SESSION,
                'a later connection or a successor has replaced this one',
            )


class CallTable:
    """All calls of one start of a sidecar."""

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self.clock = clock
        self.by_id: dict[str, SidecarCall] = {}

    def find(self, call_id: str) -> SidecarCall:
        """Give a call that this sidecar has.

        Raises:
            Refusal: it has none of that id, or no longer.
        """
        call = self.by_id.get(call_id)
        if call is None:
            raise Refusal(
                RefusalCode.UNKNOWN_CALL,
                'no such call here',
                Outcome.UNKNOWN,
            )
        return call

    def drop_expired(self) -> None:
        """Forget calls that ended long ago and were never settled."""
        limit_ms = self.clock.now_ms() - FINISHED_RETENTION_MS
        self.by_id = {
            call_id: call
            for call_id, call in self.by_id.items()
            if not call.ended_ms or call.ended_ms > limit_ms
        }
