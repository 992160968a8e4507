"""The calls of a sidecar: running ones, and finished ones until they are settled."""

import asyncio
from collections.abc import AsyncIterator

from pollenwalk.connection.wire import Answer, Dispatch, HistoryItem, Tokens
from pollenwalk.errors import Outcome, Refusal, RefusalCode
from pollenwalk.process.clock import Clock
from pollenwalk.request.stream import TokenStream

FINISHED_RETENTION_MS = 600_000
SEALED_EPOCH = float('inf')


class SidecarCall:
    """One call at this sidecar, running or ended.

    Attributes:
        message: the dispatch that the call was started from.
        history: the program's history before a model call; empty for others.
        stream: the tokens generated so far.
        ended_ms: when the call ended, on the process's clock; 0 while it runs.
        unfollowed_since_ms: when the sweep first found the call running
            without a follower; None if it has one or may not be repeated.
        result: the answer, or the refusal as an exception.
        task: the task that runs the call.
    """

    def __init__(self, message: Dispatch, history: list[HistoryItem]) -> None:
        """Create a call that has no result and no task yet."""
        self.message = message
        self.history = history
        self.stream = TokenStream()
        self.ended_ms = 0.0
        self.unfollowed_since_ms: float | None = None
        self.result: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.task: asyncio.Task[None] | None = None

    @property
    def failed(self) -> bool:
        """Return whether the call has ended with a refusal."""
        return self.result.done() and self.result.exception() is not None

    def finish(self, answer: Answer, now_ms: float) -> None:
        """Store the answer and end the token stream."""
        self.ended_ms = now_ms
        if not self.result.done():
            self.result.set_result(answer)
        self.stream.end()

    def fail(self, refusal: Refusal, now_ms: float) -> None:
        """Store the refusal as the result and end the token stream."""
        self.ended_ms = now_ms
        if not self.result.done():
            self.result.set_exception(refusal)
            self.result.exception()
        self.stream.end()

    async def follow(self, offset: int) -> AsyncIterator[Tokens | Answer]:
        """Yield the tokens from an offset on, then the answer.

        Raises:
            Refusal: the call ended without an answer.
        """
        async for tokens in self.stream.follow(offset):
            yield tokens
        yield await asyncio.shield(self.result)


class EpochFence:
    """Rejects dispatches that arrive on replaced or sealed connections.

    Each connection has an epoch, which grows with every connection that an
    incarnation of an entry opens to this sidecar.

    When an owner reconnects, its older connections become stale. When a
    successor asks about a call of a sealed incarnation, all connections of that
    incarnation become stale permanently. So a call that this sidecar did not
    know when the successor asked can't be accepted afterwards.

    Attributes:
        min_epochs: the lowest epoch that is still accepted, by incarnation.
    """

    def __init__(self) -> None:
        """Create a fence that accepts every connection."""
        self.min_epochs: dict[str, float] = {}

    def advance(self, incarnation: str, epoch: int) -> None:
        """Raise the lowest accepted epoch of an incarnation to `epoch`."""
        known = self.min_epochs.get(incarnation, 0)
        self.min_epochs[incarnation] = max(known, epoch)

    def seal(self, incarnation: str) -> None:
        """Reject all further dispatches of a sealed incarnation."""
        self.min_epochs[incarnation] = SEALED_EPOCH

    def check(self, incarnation: str, epoch: int) -> None:
        """Check the connection that a dispatch arrived on.

        Raises:
            Refusal: the connection is stale.
        """
        if epoch < self.min_epochs.get(incarnation, 0):
            raise Refusal(
                RefusalCode.STALE_SESSION,
                'connection replaced by a later one or sealed by a successor',
            )


class CallTable:
    """The calls that a sidecar has had since it started, by id.

    Finished calls stay until they are settled or their retention expires.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty table."""
        self.clock = clock
        self.by_id: dict[str, SidecarCall] = {}

    def find(self, call_id: str) -> SidecarCall:
        """Return the call with this id.

        Raises:
            Refusal: the call is unknown here, or has been dropped.
        """
        call = self.by_id.get(call_id)
        if call is None:
            raise Refusal(
                RefusalCode.UNKNOWN_CALL,
                'this sidecar has no call with this id',
                Outcome.UNKNOWN,
            )
        return call

    def drop_expired(self) -> None:
        """Drop calls that ended over FINISHED_RETENTION_MS ago and are not settled."""
        limit_ms = self.clock.now_ms() - FINISHED_RETENTION_MS
        self.by_id = {
            call_id: call
            for call_id, call in self.by_id.items()
            if not call.ended_ms or call.ended_ms > limit_ms
        }
