"""Follows parts of the store through a keeper instead of calling the store.

All processes of a region ask the same keeper, the first by name that answers. If it
does not answer, can't reach the store or is behind, the next one is asked, then the
store itself. So while keepers fail, a process follows the store as if there were none.
"""

from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from loguru import logger

from pollenwalk.connection.store_messages import FollowedPrefix, FollowPrefix
from pollenwalk.errors import ConnectionLost, PollenwalkError, StoreHistoryGone
from pollenwalk.process.clock import Clock
from pollenwalk.process.keeper_links import KeeperLink, KeeperLinks
from pollenwalk.process.repeated_calls import (
    GATEWAY_INTERVAL_MS,
    RepeatingStore,
    first_answer,
)
from pollenwalk.process.store import (
    FIRST_RETRY_DELAY_MS,
    WATCH_TIMEOUT_MS,
    Changes,
    FollowedStore,
    StoredObject,
)
from pollenwalk.process.store_mirror import FIRST_READ_MS, StoreMirrors

# Keepers that are asked before the store is.
MAX_KEEPERS_ASKED = 2
# Longest duration of one question: a keeper that dies without a word is noticed then.
MAX_WAIT_MS = 1500
# Duration of a keeper's watches that is assumed when all objects are asked for.
USUAL_WATCH_MS = 2500
# How long a keeper is not asked after its connection was lost by a question. A keeper of
# the former version, which does not know the question, closes the connection.
AVOID_MS = 10_000.0
# Time for the way to a keeper and back, besides the time for which it may wait.
TRANSIT_MS = 700.0
# What a keeper knows may be as old as two of its watches in a row and the way to the
# store.
MAX_AGE_WATCHES = 2
MAX_AGE_SLACK_MS = 300.0
# Keepers are asked at short intervals once a prefix has not been confirmed for so many
# of its watches, which is about when the lease of the configuration ends. With four of
# them, gateways called a store that answers after 400 ms twice as often.
UNCONFIRMED_WATCHES = 6
# Interval of these questions: with the time for the way, a gateway follows within 300 ms
# of a keeper that can answer.
ASK_INTERVAL_MS = 200.0


class SoonConfirmed(NamedTuple):
    """How a prefix is followed that is to be confirmed soon after an outage.

    Attributes:
        store: the store, with repeated calls.
        max_age_ms: keepers are asked at short intervals once the last confirmation is
            older than this.
    """

    store: RepeatingStore
    max_age_ms: float


class KeeperFeed:
    """Implements `FollowedStore` through keepers, with the store as the last resort.

    Attributes:
        on_trouble: called when a keeper tells that the store has failed to answer it.
        mirrors: this process's own copies, if it is a keeper itself.
        own_name: name of this process, if it is a keeper.
        confirmed_at_ms: for each prefix, the time until which all changes are known, on
            `Clock.boot_ms`.
        trouble_at_ms: time of the latest failure of the store that was told of.
        avoided_until_ms: for each keeper that was lost by a question, until when it is not
            asked.
        sources: for each prefix, who answered last, for the log.
        watched: the latest question about each prefix.
        confirmed_soon: how prefixes are followed whose changes must be known lately.
    """

    def __init__(
        self,
        store: FollowedStore,
        links: KeeperLinks,
        clock: Clock,
        on_trouble: Callable[[], None],
        mirrors: StoreMirrors | None = None,
        own_name: str = '',
    ) -> None:
        """Create a feed that has asked nobody yet."""
        self.store = store
        self.links = links
        self.clock = clock
        self.on_trouble = on_trouble
        self.mirrors = mirrors
        self.own_name = own_name
        self.confirmed_at_ms: dict[str, float] = {}
        self.trouble_at_ms = 0.0
        self.avoided_until_ms: dict[str, float] = {}
        self.sources: dict[str, str] = {}
        self.watched: dict[str, FollowPrefix] = {}
        self.confirmed_soon: dict[str, SoonConfirmed] = {}

    def confirm_soon(self, prefix: str, watch_ms: float) -> float:
        """Follow a keeper soon once it can answer again after an outage of the store.

        Args:
            prefix: the prefix.
            watch_ms: longest duration of its watches.

        Returns:
            The longest pause of its watcher between two calls.
        """
        store = RepeatingStore(self.store, self.clock, GATEWAY_INTERVAL_MS)
        self.confirmed_soon[prefix] = SoonConfirmed(
            store, watch_ms * UNCONFIRMED_WATCHES
        )
        return FIRST_RETRY_DELAY_MS

    def is_unconfirmed(self, prefix: str) -> bool:
        """Return whether a prefix has to be confirmed soon, and has not been lately."""
        soon = self.confirmed_soon.get(prefix)
        if soon is None:
            return False
        confirmed_at_ms = self.confirmed_at_ms.get(prefix, float('-inf'))
        return self.clock.boot_ms() - confirmed_at_ms > soon.max_age_ms

    def store_of(self, prefix: str) -> FollowedStore:
        """Return the store, with repeated calls if a prefix is to be confirmed soon."""
        soon = self.confirmed_soon.get(prefix)
        return self.store if soon is None else soon.store

    async def scan(self, prefix: str) -> Changes:
        """Return all objects below a prefix, as a keeper or the store knows them.

        Raises:
            StoreUnavailable: neither answered.
        """
        question = FollowPrefix(prefix, None, MAX_WAIT_MS)
        answer = await self.ask_keepers(question)
        if answer is None:
            listing = self.store_of(prefix).scan(prefix)
            return await self.call_store(question, listing)
        return self.to_changes(prefix, answer)

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait_ms: int = WATCH_TIMEOUT_MS,
    ) -> Changes:
        """Wait for changes below a prefix after a revision.

        Raises:
            StoreHistoryGone: the changes since then are not known any more.
            StoreUnavailable: neither a keeper nor the store answered.
        """
        question = FollowPrefix(prefix, revision, min(wait_ms, MAX_WAIT_MS), wait_ms)
        if self.is_unconfirmed(prefix):
            question = question._replace(wait_ms=0)
        self.watched[prefix] = question
        answer = await self.ask_keepers(question)
        if answer is None:
            watching = self.store_of(prefix).watch(prefix, revision, wait_ms)
            return await self.call_store(question, watching)
        return self.to_changes(prefix, answer)

    async def call_store(
        self, question: FollowPrefix, call: Coroutine[Any, Any, Changes]
    ) -> Changes:
        """Make a call of the store, and note until when all changes are known.

        Keepers are asked meanwhile if the prefix is to be confirmed soon.

        Raises:
            StoreHistoryGone: the changes since then are not known any more.
            StoreUnavailable: the store did not answer.
        """
        if question.prefix not in self.confirmed_soon:
            return await self.complete(question.prefix, call)
        return await first_answer(
            self.complete(question.prefix, call), self.ask_until_answered(question)
        )

    async def complete(
        self, prefix: str, call: Coroutine[Any, Any, Changes]
    ) -> Changes:
        """Complete a call of the store, and note until when all changes are known."""
        began_ms = self.clock.boot_ms()
        changes = await call
        if changes.known_until_ms is not None:
            began_ms = changes.known_until_ms
        self.confirm(prefix, began_ms, 'store')
        return changes

    async def ask_until_answered(self, question: FollowPrefix) -> Changes:
        """Ask keepers at short intervals while the prefix is not confirmed.

        Raises:
            StoreHistoryGone: the changes since then are not known any more.
        """
        question = question._replace(wait_ms=0)
        while True:
            await self.clock.sleep_ms(ASK_INTERVAL_MS)
            if not self.is_unconfirmed(question.prefix):
                continue
            answer = await self.ask_keepers(question)
            if answer is not None:
                return self.to_changes(question.prefix, answer)

    async def relay(
        self, prefix: str, listing: Coroutine[Any, Any, Changes | None]
    ) -> Changes | None:
        """Return a listing through any keeper, unless it is needed no longer.

        It may take seconds, as all keepers are asked one after the other.

        Returns:
            The listing; None if there is none, or if a keeper can answer again of which
            the prefix is followed.
        """
        if prefix not in self.confirmed_soon:
            return await listing
        return await first_answer(listing, self.wait_for_answer(prefix))

    async def wait_for_answer(self, prefix: str) -> None:
        """Wait until a keeper knows enough to answer the latest question."""
        while True:
            await self.clock.sleep_ms(ASK_INTERVAL_MS)
            question = self.watched.get(prefix)
            if question is None:
                continue
            question = question._replace(wait_ms=0)
            for link in self.candidates()[:MAX_KEEPERS_ASKED]:
                answer = await self.ask(link, question)
                if answer is not None and answer.age_ms <= max_age_ms(question):
                    return

    def confirm(self, prefix: str, at_ms: float, source: str) -> None:
        """Note until when all changes are known; log a change of the source."""
        self.confirmed_at_ms[prefix] = max(self.confirmed_at_ms.get(prefix, 0), at_ms)
        if self.sources.get(prefix) != source:
            self.sources[prefix] = source
            logger.info('store_followed_by', prefix=prefix, source=source)

    async def ask_keepers(self, question: FollowPrefix) -> FollowedPrefix | None:
        """Ask some keepers, one after the other, until one knows enough.

        Returns:
            The first answer that is recent enough; None if there is none.
        """
        for link in self.candidates()[:MAX_KEEPERS_ASKED]:
            asked_at_ms = self.clock.boot_ms()
            answer = await self.ask(link, question)
            if answer is not None and self.accepts(question, answer, asked_at_ms, link):
                return answer
        return None

    def candidates(self) -> list[KeeperLink]:
        """Return the keepers that may be asked, the first of the region first."""
        now_ms = self.clock.now_ms()
        return [
            link
            for link in self.links.of_region()
            if not link.is_lost
            and self.avoided_until_ms.get(link.member.name, 0) <= now_ms
        ]

    async def ask(
        self, link: KeeperLink, question: FollowPrefix
    ) -> FollowedPrefix | None:
        """Ask one keeper, or this process itself; None if it has no answer."""
        try:
            if self.mirrors is not None and link.member.name == self.own_name:
                return await self.mirrors.follow(question)
            # A question that is not to be held may wait for the first reading.
            held_ms = question.wait_ms or FIRST_READ_MS
            return await self.links.request(link, question, held_ms + TRANSIT_MS)
        except ConnectionLost:
            # `KeeperLinks` has logged the loss.
            until_ms = self.clock.now_ms() + AVOID_MS
            self.avoided_until_ms[link.member.name] = until_ms
            return None
        except PollenwalkError as error:
            logger.debug('feed_failed', keeper=link.member.name, reason=error.message)
            return None

    def accepts(
        self,
        question: FollowPrefix,
        answer: FollowedPrefix,
        asked_at_ms: float,
        link: KeeperLink,
    ) -> bool:
        """Return whether an answer is recent enough; note what it says of the store.

        An answer with all objects replaces what is known, so it must not be older.
        """
        now_ms = self.clock.boot_ms()
        transit_ms = max(now_ms - asked_at_ms - answer.held_ms, 0)
        age_ms = answer.age_ms + transit_ms
        known_until_ms = self.confirmed_at_ms.get(question.prefix, 0)
        lags = question.revision is None and now_ms - age_ms < known_until_ms
        if age_ms > max_age_ms(question) or lags:
            logger.info(
                'feed_behind',
                keeper=link.member.name,
                prefix=question.prefix,
                age_ms=round(age_ms),
            )
            return False
        self.note_trouble(answer, now_ms - transit_ms)
        self.confirm(question.prefix, now_ms - age_ms, link.member.name)
        return True

    def to_changes(self, prefix: str, answer: FollowedPrefix) -> Changes:
        """Return the objects of an accepted answer as those of the store.

        Raises:
            StoreHistoryGone: the keeper does not know all changes that were asked for.
        """
        if answer.history_gone:
            raise StoreHistoryGone(f'{prefix} before {answer.revision}')
        objects = [StoredObject(*listed) for listed in answer.objects]
        return Changes(answer.revision, objects, self.confirmed_at_ms[prefix])

    def note_trouble(self, answer: FollowedPrefix, answered_at_ms: float) -> None:
        """Pass on that the store has failed since the last answer, if it has."""
        if answer.failure_age_ms is None:
            return
        failed_at_ms = answered_at_ms - answer.failure_age_ms
        # The same failure gives nearly the same time in each answer.
        if failed_at_ms > self.trouble_at_ms + TRANSIT_MS:
            self.trouble_at_ms = failed_at_ms
            self.on_trouble()


def max_age_ms(question: FollowPrefix) -> float:
    """Return how old what a keeper knows may be, for an answer to a question."""
    watch_ms = question.watch_ms or USUAL_WATCH_MS
    return watch_ms * MAX_AGE_WATCHES + MAX_AGE_SLACK_MS
