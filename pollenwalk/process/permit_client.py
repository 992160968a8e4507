"""The part of a gateway that keeps the limits of hosts together with all others.

Before each request to a host with a limit, it asks a keeper for a permit. Without one
it sends nothing to that host: a gateway that no keeper answers has no share of its
own. It tells keepers what hosts say of their limits, and asks one of them regularly,
so that it hears of limits before its first request and of their end after its last.
"""

import math
from typing import Any, NamedTuple

from loguru import logger

from pollenwalk.connection.limit_messages import (
    ExchangeLimits,
    HostStart,
    KnownLimits,
    LimitNews,
    PermitDecision,
    RequestPermit,
    TellLimits,
)
from pollenwalk.policy.return_times import ReturnTimes
from pollenwalk.process.crash_guard import CrashGuard
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.host_table import HostState, HostTable
from pollenwalk.process.keeper_group import KeeperGroup, answer_or_none
from pollenwalk.process.keeper_links import KeeperLink
from pollenwalk.process.permit_allocator import rank_owners
from pollenwalk.request.http_messages import NamedLimit

# Timeout of one question for a permit: two round trips between regions, as a new
# connection takes.
PERMIT_TIMEOUT_MS = 200.0
# How long a keeper is not asked for permits after one that it did not answer in time.
SILENCE_MS = 500.0
# Interval of the exchanges of limits with the nearest keeper.
EXCHANGE_INTERVAL_MS = 500.0
# The same for some time after a crash, as a request that crashes hosts comes again soon.
CRASH_EXCHANGE_INTERVAL_MS = 100.0
# The same until the first exchange: a gateway that starts knows of no crash.
FIRST_EXCHANGE_INTERVAL_MS = 50.0
# Expected wait for a permit if no keeper could give one.
NO_KEEPER_WAIT_MS = 300.0
# Characters of an unreadable limit that are logged.
MAX_LOGGED_LIMIT = 40


class Exchanged(NamedTuple):
    """How far limits have been exchanged with one keeper.

    Attributes:
        boot_id: the start of the keeper.
        received: the keeper's revision at the last exchange.
        sent: this gateway's revision then.
        crashes_received: the keeper's revision of crashes then.
        crashes_sent: this gateway's revision of crashes then.
    """

    boot_id: str = ''
    received: int = 0
    sent: int = 0
    crashes_received: int = 0
    crashes_sent: int = 0


class PermitAnswer(NamedTuple):
    """What came of asking for a permit.

    Attributes:
        granted: whether the request may be sent.
        wait_ms: time from now until it may be sent; if it is not granted, until the
            next permit is free, or infinite if no keeper gives permits now.
    """

    granted: bool
    wait_ms: float


class PermitClient:
    """Asks keepers for permits and exchanges limits with them.

    Attributes:
        return_times: spreads the returns of callers that found no permit.
        silent_until_ms: time until which a keeper is not asked, by its name.
        crash_guard: knows requests on which hosts crash; news of them is exchanged
            with that of limits.
        exchanged: how far limits have been exchanged, by the name of the keeper.
    """

    def __init__(
        self, group: KeeperGroup, host_table: HostTable, metrics: GatewayMetrics
    ) -> None:
        """Create a client of the keepers of `group`."""
        self.crash_guard = CrashGuard(group, metrics)
        self.group = group
        self.host_table = host_table
        self.metrics = metrics
        self.clock = group.clock
        self.return_times = ReturnTimes()
        self.silent_until_ms: dict[str, float] = {}
        self.exchanged: dict[str, Exchanged] = {}

    def record_answer(self, state: HostState, named: NamedLimit | None) -> None:
        """Record what a host has said of its limit with an answer.

        A limit that can't be read leaves the former one in force. All keepers are
        told of a change, without waiting for them.
        """
        host = state.registration.start
        limits = self.host_table.limits
        if named is not None and named.per_second is None:
            logger.warning(
                'host_limit_unreadable',
                host=host.id,
                text=named.text[:MAX_LOGGED_LIMIT],
                former=limits.limit_of(host),
            )
            return
        news = LimitNews(host, None if named is None else named.per_second, 0)
        if limits.learn(news, 'answer'):
            self.group.tasks.spawn(self.tell_keepers(news), 'tell_limit')

    def tell_leaving(self, host: HostStart) -> None:
        """Tell all keepers of a host that leaves, without waiting for them."""
        message = TellLimits([], leaving=(host,))
        self.group.tasks.spawn(self.group.tell_all(message), 'tell_leaving')

    async def tell_keepers(self, news: LimitNews) -> None:
        """Tell all keepers of a limit."""
        await self.group.tell_all(TellLimits([news]))

    async def request(self, state: HostState, max_wait_ms: float) -> PermitAnswer:
        """Ask for a permit to send one request to a host with a limit.

        The estimate of the host's next permit is updated.

        Args:
            state: the host.
            max_wait_ms: the longest wait after which the permit is still of use.
        """
        earliest_ms = math.inf
        for link in self.owner_links(state):
            decision = await self.ask(link, state, max_wait_ms)
            if decision is None or not decision.share:
                continue
            if decision.granted:
                self.expect_next_permit(state, decision.next_wait_ms)
                state.permit_waits.add(decision.wait_ms, self.clock.now_ms())
                return PermitAnswer(True, decision.wait_ms)
            earliest_ms = min(earliest_ms, decision.next_wait_ms)
            if decision.share == 1:
                break
        wait_ms = NO_KEEPER_WAIT_MS if math.isinf(earliest_ms) else earliest_ms
        self.expect_next_permit(state, wait_ms)
        state.permit_waits.add(wait_ms, self.clock.now_ms())
        return PermitAnswer(False, earliest_ms)

    def expect_next_permit(self, state: HostState, wait_ms: float) -> None:
        """Update the estimate of when a permit for a host is free."""
        state.next_permit_at_ms = self.clock.now_ms() + wait_ms

    def owner_links(self, state: HostState) -> list[KeeperLink]:
        """Return the connections to the keepers that give permits for a host.

        Keepers that are lost or have been silent are left out.
        """
        links = self.group.links
        members = links.members.by_name
        owners = rank_owners(state.registration.start, members, links.regions)
        now_ms = self.clock.now_ms()
        answering = (
            name for name in owners if self.silent_until_ms.get(name, 0) <= now_ms
        )
        owner_links = [links.link(members[name]) for name in answering]
        return [link for link in owner_links if link.lost_since_ms is None]

    async def ask(
        self, link: KeeperLink, state: HostState, max_wait_ms: float
    ) -> PermitDecision | None:
        """Ask one keeper for a permit; return None if it does not answer in time."""
        news = self.host_table.limits.news_of(state.registration.start)
        if news is None:
            return None
        pending = self.group.links.request(link, RequestPermit(news, max_wait_ms))
        decision = await self.answer_in_time(link, pending)
        if decision is not None:
            self.host_table.limits.learn(decision.news, 'keeper')
        return decision

    async def answer_in_time(self, link: KeeperLink, pending: Any) -> Any:
        """Return the answer of a keeper; None if it takes too long or fails."""
        try:
            async with self.clock.timeout_ms(PERMIT_TIMEOUT_MS):
                return await answer_or_none(pending)
        except TimeoutError:
            until_ms = self.clock.now_ms() + SILENCE_MS
            self.silent_until_ms[link.member.name] = until_ms
            logger.warning('permit_timeout', keeper=link.member.name)
            return None

    def retry_after_ms(self, upstream: str) -> float:
        """Return the Retry-After of a caller that found no permit of an upstream."""
        now_ms = self.clock.now_ms()
        states = self.host_table.limited_hosts(upstream)
        waits_ms = (
            self.host_table.usual_permit_wait_ms(state, now_ms) for state in states
        )
        first_ms = now_ms + min(waits_ms, default=0)
        per_second = sum(self.host_table.limit_of(state) or 0 for state in states)
        return self.return_times.retry_after_ms(upstream, first_ms, per_second, now_ms)

    @property
    def exchange_interval_ms(self) -> float:
        """Return the time until the next exchange with a keeper."""
        if not self.exchanged:
            return FIRST_EXCHANGE_INTERVAL_MS
        if self.crash_guard.records.had_crash_lately:
            return CRASH_EXCHANGE_INTERVAL_MS
        return EXCHANGE_INTERVAL_MS

    async def exchange_limits(self) -> None:
        """Exchange limits with the nearest keeper at regular intervals."""
        while True:
            self.host_table.limits.remove_old()
            self.crash_guard.records.remove_old()
            nearest = next(iter(self.group.links.ordered()), None)
            if nearest is not None:
                await self.exchange_with(nearest)
            await self.clock.sleep_ms(self.exchange_interval_ms)

    async def exchange_with(self, link: KeeperLink) -> None:
        """Exchange limits with one keeper, if it answers."""
        former = self.exchanged.get(link.member.name, Exchanged())
        revisions = self.host_table.limits.revision, self.crash_guard.records.revision
        known: KnownLimits | None = await answer_or_none(
            self.group.links.request(link, self.news_for(former))
        )
        if known is None:
            return
        self.learn(known)
        # A keeper that has started again has forgotten what it was told.
        sent = revisions if known.boot_id == former.boot_id else (0, 0)
        self.exchanged[link.member.name] = Exchanged(
            known.boot_id, known.revision, sent[0], known.crashes_revision, sent[1]
        )

    def news_for(self, former: Exchanged) -> ExchangeLimits:
        """Return the message with what has become known since the last exchange."""
        return ExchangeLimits(
            self.host_table.limits.news_since(former.sent),
            former.boot_id,
            former.received,
            self.crash_guard.records.news_since(former.crashes_sent),
            former.crashes_received,
        )

    def learn(self, known: KnownLimits) -> None:
        """Record what a keeper knows."""
        for news in known.limits:
            self.host_table.limits.learn(news, 'keeper')
        self.crash_guard.learn(known.crashes)
