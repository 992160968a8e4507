"""The calls of a sidecar: running ones, and ended ones until they are settled."""

import asyncio
from collections.abc import AsyncIterator

from pollenwalk.connection.call_messages import Answer, Dispatch, HistoryItem, Tokens
from pollenwalk.errors import Outcome, Refusal, RefusalCode
from pollenwalk.process.clock import Clock
from pollenwalk.request.stream import TokenStream

ENDED_RETENTION_MS = 600_000
SEALED_EPOCH = float('inf')


class SidecarCall:
    """One call at this sidecar, running or ended.

    Attributes:
        message: the dispatch that the call was started from.
        history: the program's history before a model call; empty for others.
        stream: the tokens generated so far.
        ended_ms: when the call ended, on the process's clock; 0 while it runs.
        unfollowed_since_ms: when the sweep first found the call running
            without a follower; None if it has one, has ended or is not
            idempotent.
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
            # Marks the exception as retrieved; asyncio logs it otherwise if the
            # call has no follower.
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
    """Refuses dispatches that arrive on stale connections.

    Each connection has an epoch, which grows with every connection that an
    incarnation of an entry opens to this sidecar.

    When an entry has reconnected, the first request on the new connection makes
    the older ones stale. When a successor asks about a call of a sealed
    incarnation, all connections of that incarnation become stale permanently.
    So a call that this sidecar did not know when the successor asked can't be
    accepted afterwards.

    Attributes:
        min_epochs: the lowest epoch that is still accepted, by incarnation.
    """

    def __init__(self) -> None:
        """Create a fence that accepts every connection."""
        self.min_epochs: dict[str, float] = {}

    def advance(self, incarnation: str, epoch: int) -> None:
        """Raise an incarnation's lowest accepted epoch to `epoch` if it is lower."""
        known = self.min_epochs.get(incarnation, 0)
        self.min_epochs[incarnation] = max(known, epoch)

    def seal(self, incarnation: str) -> None:
        """Refuse all further dispatches of a sealed incarnation."""
        self.min_epochs[incarnation] = SEALED_EPOCH

    def check(self, incarnation: str, epoch: int) -> None:
        """Check the connection that a dispatch arrived on.

        Raises:
            Refusal: the connection is stale.
        """
        if epoch < self.min_epochs.get(incarnation, 0):
            raise Refusal(
                RefusalCode.STALE_SESSION,
                'connection replaced by a later one, or its incarnation was sealed',
            )


class CallTable:
    """The calls of a sidecar since it started.

    An ended call stays until it is settled or ENDED_RETENTION_MS have passed. A
    call that was stopped, or refused before it ran, is removed at once.

    Attributes:
        by_id: the calls by id.
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
        """Drop calls that ended over ENDED_RETENTION_MS ago and are not settled."""
        limit_ms = self.clock.now_ms() - ENDED_RETENTION_MS
        self.by_id = {
            call_id: call
            for call_id, call in self.by_id.items()
            if not call.ended_ms or call.ended_ms > limit_ms
        }
