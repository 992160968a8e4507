"""Repeats a call of the store on a new connection while older ones are unanswered.

After an outage of the store, a connection on which a response was lost returns nothing
further, and the call on it ends by its timeout. Calls that begin meanwhile show that the
store answers again.
"""

import asyncio
import contextlib
from collections.abc import Awaitable
from typing import NamedTuple, TypeVar

from pollenwalk.errors import StoreHistoryGone
from pollenwalk.process.clock import Clock
from pollenwalk.process.store import WATCH_TIMEOUT_MS, Changes, FollowedStore
from pollenwalk.process.tasks import TaskSet

# Interval between the calls of one prefix while the store is away: at most three within a
# second for a keeper. A gateway mainly relies on keepers, so it makes at most one.
KEEPER_INTERVAL_MS = 340.0
GATEWAY_INTERVAL_MS = 1020.0
# A store that answers within this time after the end of a watch is slow, not away.
SLOW_ANSWER_MS = 500.0
# Duration of a watch while the store is away: it is to be answered at once.
PROBE_WAIT_MS = 1

Answer = TypeVar('Answer')


class Question(NamedTuple):
    """A call of the store.

    Attributes:
        prefix: the prefix.
        revision: the last revision that is known; None to list all objects.
    """

    prefix: str
    revision: int | None


class RepeatingStore:
    """Implements `FollowedStore` for one prefix at a time, with repeated calls.

    Calls that are unanswered when one fails are kept for the next call with the same
    question, so that the caller learns of each failure and no answer is lost.

    Attributes:
        interval_ms: shortest time between the beginnings of two calls while the store
            is away.
        is_away: whether a call has failed, or is overdue, and none was answered since.
        is_answered: whether the latest call was answered; its caller may have ended it.
        began_ms: when the latest call began, on `Clock.boot_ms`.
        pending: the unanswered calls, with the times at which they began.
        question: what the unanswered calls ask.
    """

    def __init__(self, store: FollowedStore, clock: Clock, interval_ms: float) -> None:
        """Create a store that no call has been made to."""
        self.store = store
        self.clock = clock
        self.interval_ms = interval_ms
        self.tasks = TaskSet()
        self.is_away = False
        self.is_answered = True
        self.began_ms = float('-inf')
        self.pending: dict[asyncio.Task[Changes], float] = {}
        self.question: Question | None = None

    async def scan(self, prefix: str) -> Changes:
        """Return all objects below a prefix.

        Raises:
            StoreUnavailable: a call was not answered.
        """
        return await self.repeat(Question(prefix, None), 0)

    async def watch(
        self, prefix: str, revision: int, wait_ms: int = WATCH_TIMEOUT_MS
    ) -> Changes:
        """Wait for changes; while the store is away, return as soon as it answers.

        Raises:
            StoreHistoryGone: the changes since then are not known any more.
            StoreUnavailable: a call was not answered.
        """
        return await self.repeat(Question(prefix, revision), wait_ms)

    async def repeat(self, question: Question, wait_ms: int) -> Changes:
        """Make calls until one is answered or fails.

        Raises:
            StoreHistoryGone: the changes since then are not known any more.
            StoreUnavailable: a call was not answered.
        """
        if question != self.question:
            # An answer to an older question may be older than what is known.
            self.drop_pending()
            self.question = question
        try:
            while True:
                await self.wait_until_due(wait_ms)
                ended = [task for task in self.pending if task.done()]
                if ended:
                    return self.take(ended)
                self.begin(wait_ms)
        except asyncio.CancelledError:
            self.drop_pending()
            raise

    async def wait_until_due(self, wait_ms: int) -> None:
        """Wait until a call has ended or the next one is due."""
        delay_ms = self.due_ms(wait_ms) - self.clock.boot_ms()
        if not self.pending:
            await self.clock.sleep_ms(max(delay_ms, 0))
            return
        with contextlib.suppress(TimeoutError):
            async with self.clock.timeout_ms(delay_ms):
                await asyncio.wait(self.pending, return_when=asyncio.FIRST_COMPLETED)

    def due_ms(self, wait_ms: int) -> float:
        """Return when the next call is due if none has ended."""
        if self.is_away:
            return self.began_ms + self.interval_ms
        if not self.pending:
            pause_ms = 0 if self.is_answered else self.interval_ms
            return self.began_ms + pause_ms
        if self.question is None or self.question.revision is None:
            # A listing has an unknown number of pages, so only its failure shows that
            # the store is away. It ends by the timeout of a page.
            return self.began_ms + WATCH_TIMEOUT_MS
        return self.began_ms + wait_ms + SLOW_ANSWER_MS

    def begin(self, wait_ms: int) -> None:
        """Begin a call; if an older one is overdue, the store is away."""
        self.is_away = self.is_away or bool(self.pending)
        self.is_answered = False
        self.began_ms = self.clock.boot_ms()
        prefix, revision = self.question or Question('', None)
        if revision is None:
            call = self.store.scan(prefix)
        else:
            duration_ms = min(wait_ms, PROBE_WAIT_MS) if self.is_away else wait_ms
            call = self.store.watch(prefix, revision, duration_ms)
        self.pending[self.tasks.spawn(call, f'call {prefix}')] = self.began_ms

    def take(self, ended: list[asyncio.Task[Changes]]) -> Changes:
        """Return the answer among the ended calls; it ends the others.

        Raises:
            StoreHistoryGone: the changes since then are not known any more.
            StoreUnavailable: no call was answered.
        """
        answered = [task for task in ended if not has_failed(task)]
        if not answered:
            for task in ended:
                self.pending.pop(task)
            self.is_away = True
            return ended[0].result()
        began_ms = self.pending[answered[0]]
        self.is_away = False
        self.is_answered = True
        self.drop_pending()
        changes = answered[0].result()
        if changes.known_until_ms is not None:
            return changes
        return changes._replace(known_until_ms=began_ms)

    def drop_pending(self) -> None:
        """End the unanswered calls."""
        for task in self.pending:
            task.cancel()
        self.pending.clear()


def has_failed(task: asyncio.Task[Changes]) -> bool:
    """Return whether an ended call was not answered; a lost history is an answer."""
    if task.cancelled():
        return True
    error = task.exception()
    return error is not None and not isinstance(error, StoreHistoryGone)


async def first_answer(call: Awaitable[Answer], asking: Awaitable[Answer]) -> Answer:
    """Return the result of whichever ends first, and end the other.

    Args:
        call: for instance a call of the store.
        asking: for instance questions to keepers; it is preferred if both have ended.

    Raises:
        StoreHistoryGone: the changes since then are not known any more.
        StoreUnavailable: the call failed before the other ended.
    """
    calls = [asyncio.ensure_future(call), asyncio.ensure_future(asking)]
    try:
        await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        return next(one for one in reversed(calls) if one.done()).result()
    finally:
        for one in calls:
            one.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
