"""The part of a gateway that keeps the quotas of organisations together with all others.

Each request of an organisation with a quota takes a token. Tokens come from the owners
of the quota among the keepers, one question at a time for each organisation. A request
that finds a token at hand takes it at once; others wait for the answer.
"""

import asyncio
from typing import Any

from loguru import logger

from pollenwalk.connection.quota_messages import (
    QuotaGrant,
    RequestQuota,
    ReturnedTokens,
)
from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.policy.quota_grants import Batch, OrganisationTokens
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.keeper_group import KeeperGroup, answer_or_none
from pollenwalk.process.keeper_links import KeeperLink
from pollenwalk.process.quota_shares import QUOTA_LEASE_MS, rank_quota_owners
from pollenwalk.process.quota_waiters import Answered, Given, Waiter, earlier
from pollenwalk.request.gateway_call import Call
from pollenwalk.version.organisations import Organisation

# Timeout of one question for tokens: the first one to a keeper in another region also
# waits for a new connection, which takes two round trips and more at a busy keeper.
QUOTA_TIMEOUT_MS = 400.0
# How long a keeper is not asked for tokens after a question that it did not answer in
# time.
SILENCE_MS = 500.0
# A call of a program that has begun waits for a token for at most this share of its
# remaining time, and not longer than tokens are granted ahead. If it is refused, its caller waits as long and opens a new connection
# besides.
WAIT_SHARE = 1 / 2
# Shortest pause before a call asks again that may wait longer.
MIN_PAUSE_MS = 20.0
# Longest time for which program starts are refused without a question.
MAX_REFUSED_MS = 100.0
# Retry-After where no owner can be asked. Leases of quotas last 800 ms, so they have
# ended when a caller comes back for the second time.
UNKNOWN_RETRY_MS = 500.0
SWEEP_INTERVAL_MS = 500.0
# Organisations without requests for this long are forgotten.
IDLE_MS = 30_000.0


class OrganisationState(OrganisationTokens):
    """What a gateway knows of one organisation's quota.

    Attributes:
        organisation: the quota.
        version: version of the configuration that declares it.
        waiters: the requests that wait for the next question.
        is_asking: whether a question is under way.
        starts_refused_until_ms: until when program starts are refused without one.
        starts_return_at_ms: when those that are refused may come back.
    """

    def __init__(self, organisation: Organisation, now_ms: float) -> None:
        """Start without tokens."""
        super().__init__(now_ms)
        self.organisation = organisation
        self.version = 0
        self.waiters: list[Waiter] = []
        self.is_asking = False
        self.starts_refused_until_ms = 0.0
        self.starts_return_at_ms = 0.0

    def refused_start(self, now_ms: float) -> Given | None:
        """Return what a program start is told without a question; None to ask."""
        if self.starts_refused_until_ms <= now_ms:
            return None
        return Given(None, max(self.starts_return_at_ms - now_ms, 0))

    def refuse_starts(
        self, waiters: list[Waiter], grant: QuotaGrant, now_ms: float
    ) -> None:
        """Tell program starts that the owner of the whole quota has refused them."""
        starts = [one for one in waiters if one.begins_program]
        if not starts or grant.part < 1:
            return
        refused_ms = min(grant.next_start_ms, MAX_REFUSED_MS)
        self.starts_refused_until_ms = now_ms + refused_ms
        self.starts_return_at_ms = now_ms + grant.return_ms
        for waiter in starts:
            waiter.tell(Given(None, grant.return_ms))

    def question(
        self, waiters: list[Waiter], gateway: str, now_ms: float
    ) -> RequestQuota:
        """Return the question for what is needed now."""
        starts = sum(waiter.begins_program for waiter in waiters)
        max_wait_ms = max((waiter.max_wait_ms for waiter in waiters), default=0)
        call_waits_ms = tuple(
            waiter.max_wait_ms for waiter in waiters if not waiter.begins_program
        )
        spare_calls, spare_starts = self.spares_wanted(now_ms)
        return RequestQuota(
            self.organisation.name,
            self.version,
            self.organisation.rate_per_s,
            self.organisation.burst,
            gateway,
            len(waiters) - starts,
            starts,
            max_wait_ms,
            spare_calls,
            spare_starts,
            call_waits_ms=call_waits_ms,
        )

    def learn(self, call: Call) -> None:
        """Use the quota of a call's configuration, unless a newer one is known."""
        if call.organisation is not None and call.version >= self.version:
            self.organisation = call.organisation
            self.version = call.version


class QuotaClient:
    """Obtains tokens for the requests of organisations.

    Attributes:
        name: name of the gateway.
        is_enabled: whether quotas are kept.
        by_organisation: what is known of the organisations with requests lately.
        unsent: tokens of requests of which nothing has been sent yet, by request.
        silent_until_ms: time until which a keeper is not asked, by its name.
    """

    def __init__(
        self, group: KeeperGroup, metrics: GatewayMetrics, name: str, window_ms: float
    ) -> None:
        """Create a client of the keepers of `group`.

        Args:
            group: the keepers.
            metrics: counts tokens.
            name: name of the gateway.
            window_ms: length of the windows in which requests are counted; 0 if no
                quotas are kept.
        """
        self.group = group
        self.clock = group.clock
        self.metrics = metrics
        self.name = name
        self.is_enabled = window_ms > 0
        self.by_organisation: dict[str, OrganisationState] = {}
        self.unsent: dict[str, list[Batch]] = {}
        self.silent_until_ms: dict[str, float] = {}

    async def obtain(self, call: Call, begins_program: bool) -> None:
        """Take the token of a call's first send.

        Raises:
            Refusal: the quota is used up, or no owner of the quota can be asked.
        """
        state = self.state_of(call)
        if state is None:
            return
        token = state.request(begins_program, self.clock.boot_ms())
        if token is None:
            token = await self.wait_for_token(state, call, begins_program)
        else:
            self.ask_in_advance(state)
        self.metrics.count_quota_tokens('used')
        self.unsent.setdefault(call.owned_key(call.id), []).append(token)

    async def pay(self, call: Call) -> bool:
        """Pay for one send of a call just before it; return whether it may be sent.

        A send for which `obtain` or `prepay` took a token is paid by it. Another one
        takes one token more, and waits for it as a call of a program that has begun.
        """
        if self.consume_token(call):
            return True
        if self.prepay(call):
            self.consume_token(call)
            return True
        state = self.by_organisation[call.organisation_name]
        try:
            await self.wait_for_token(state, call, begins_program=False)
        except Refusal:
            return False
        self.metrics.count_quota_tokens('used')
        return True

    def consume_token(self, call: Call) -> bool:
        """Use a token that `obtain` or `prepay` took; return whether there was one."""
        key = call.owned_key(call.id)
        tokens = self.unsent.get(key)
        if not tokens:
            return False
        tokens.pop()
        if not tokens:
            self.unsent.pop(key)
        return True

    def prepay(self, call: Call) -> bool:
        """Take a token for a further send that follows at once, if there is one.

        Without one, the call must not be sent once more: a debt of each gateway could
        exceed what the quota's bound allows. `pay` uses the token; `release` puts it
        back if the call is not sent after all.
        """
        state = self.state_of(call)
        if state is None:
            return True
        token = state.request(False, self.clock.boot_ms())
        if token is None:
            return False
        self.metrics.count_quota_tokens('used')
        self.unsent.setdefault(call.owned_key(call.id), []).append(token)
        return True

    def release(self, call: Call) -> None:
        """Put back the tokens of sends of a call that did not take place."""
        tokens = self.unsent.pop(call.owned_key(call.id), [])
        state = self.by_organisation.get(call.organisation_name)
        if state is None:
            return
        now_ms = self.clock.boot_ms()
        self.metrics.count_quota_tokens('unsent', len(tokens))
        for token in tokens:
            if token.expires_at_ms > now_ms:
                state.calls.put_back(token)

    def state_of(self, call: Call) -> OrganisationState | None:
        """Return what is known of a call's organisation; None if it has no quota."""
        organisation = call.organisation
        if not self.is_enabled or organisation is None or not organisation.has_quota:
            return None
        state = self.by_organisation.get(organisation.name)
        if state is None:
            state = OrganisationState(organisation, self.clock.boot_ms())
            self.by_organisation[organisation.name] = state
        if call.version != state.version:
            state.learn(call)
        return state

    async def wait_for_token(
        self, state: OrganisationState, call: Call, begins_program: bool
    ) -> Batch:
        """Wait until a call may be sent, and return its token.

        Raises:
            Refusal: no token comes in time.
        """
        now_ms = self.clock.boot_ms()
        latest_ms = now_ms
        given = None
        if begins_program:
            given = state.refused_start(now_ms)
        else:
            remaining_ms = call.remaining_ms(self.clock.now_ms())
            latest_ms += min(max(remaining_ms, 0) * WAIT_SHARE, QUOTA_LEASE_MS)
        given = given or await self.ask_until(state, begins_program, latest_ms)
        if given.token is None:
            raise quota_refusal(state, call, given)
        return given.token

    async def ask_until(
        self, state: OrganisationState, begins_program: bool, latest_ms: float
    ) -> Given:
        """Ask until there is a token or the next one would come too late."""
        while True:
            given = await self.ask_for(state, begins_program, latest_ms)
            pause_ms = given.wait_ms
            if given.token is None:
                pause_ms = max(pause_ms, MIN_PAUSE_MS)
                if begins_program or self.clock.boot_ms() + pause_ms > latest_ms:
                    return given
            await self.clock.sleep_ms(pause_ms)
            if given.token and given.token.expires_at_ms > self.clock.boot_ms():
                return given

    async def ask_for(
        self, state: OrganisationState, begins_program: bool, latest_ms: float
    ) -> Given:
        """Wait for the answer to the next question."""
        max_wait_ms = max(latest_ms - self.clock.boot_ms(), 0)
        given = asyncio.get_running_loop().create_future()
        state.waiters.append(Waiter(begins_program, max_wait_ms, given))
        self.start_asking(state)
        return await given

    def ask_in_advance(self, state: OrganisationState) -> None:
        """Ask for tokens in the background if few are left for expected requests."""
        if state.is_asking:
            return
        if any(state.spares_wanted(self.clock.boot_ms())):
            self.start_asking(state)

    def start_asking(self, state: OrganisationState) -> None:
        """Ask the owners, unless a question is under way."""
        if not state.is_asking:
            state.is_asking = True
            self.group.tasks.spawn(self.ask_while_needed(state), 'ask_quota')

    async def ask_while_needed(self, state: OrganisationState) -> None:
        """Ask the owners until no request waits."""
        try:
            await self.ask_round(state)
            while self.serve_from_stock(state):
                await self.ask_round(state)
        finally:
            state.is_asking = False

    def serve_from_stock(self, state: OrganisationState) -> int:
        """Give tokens at hand to those who came meanwhile; return how many still wait."""
        waiters = state.waiters
        state.waiters = []
        now_ms = self.clock.boot_ms()
        for waiter in waiters:
            token = state.take(waiter.begins_program, now_ms)
            if token is None:
                state.waiters.append(waiter)
            elif not waiter.tell(Given(token, 0)):
                state.calls.put_back(token)
        return len(state.waiters)

    async def ask_round(self, state: OrganisationState) -> None:
        """Ask the owners of a quota, the first one first, for what is needed now."""
        waiters = sorted(state.waiters, key=lambda waiter: waiter.max_wait_ms)
        state.waiters = []
        unknown = Given(None, UNKNOWN_RETRY_MS, is_known=False)
        refused = {True: unknown, False: unknown}
        try:
            for link in self.owner_links(state.organisation.name):
                answered = await self.ask(link, state, waiters)
                if answered is None:
                    continue
                waiters = [one for one in waiters if not one.given.done()]
                refused[True] = earlier(refused[True], answered.grant.return_ms)
                refused[False] = earlier(refused[False], answered.grant.next_call_ms)
                if not waiters or answered.grant.part == 1:
                    break
        finally:
            # A task that is cancelled tells its requests, too.
            for waiter in waiters:
                waiter.tell(refused[waiter.begins_program])

    async def ask(
        self, link: KeeperLink, state: OrganisationState, waiters: list[Waiter]
    ) -> Answered | None:
        """Ask one owner and give out what it grants.

        Returns:
            The answer; None if there is none, or if this keeper grants nothing now.
        """
        asked_at_ms = self.clock.boot_ms()
        question = state.question(waiters, self.name, asked_at_ms)
        pending = self.group.links.request(link, question)
        grant: QuotaGrant | None = await self.answer_in_time(link, pending)
        if grant is None or not grant.part:
            return None
        answered = Answered(link.member.name, grant, asked_at_ms)
        self.keep(state, question, answered, waiters)
        return answered

    def keep(
        self,
        state: OrganisationState,
        question: RequestQuota,
        answered: Answered,
        waiters: list[Waiter],
    ) -> None:
        """Give out the tokens of an answer, and keep what is left of them."""
        now_ms = self.clock.boot_ms()
        grant = answered.grant
        self.metrics.count_quota_tokens('granted', grant.granted)
        state.note_round_trip(now_ms - answered.asked_at_ms)
        state.validity_ms = grant.validity_ms
        left = answered.hand_out(waiters)
        state.calls.add(answered.batch, left[0])
        state.starts.add(answered.batch, left[1])
        wanted = question.spare_calls + question.spare_starts
        state.note_spares(wanted, sum(left), now_ms)
        state.refuse_starts(waiters, grant, now_ms)

    async def answer_in_time(self, link: KeeperLink, pending: Any) -> Any:
        """Return the answer of a keeper; None if it takes too long or fails."""
        try:
            async with self.clock.timeout_ms(QUOTA_TIMEOUT_MS):
                return await answer_or_none(pending)
        except TimeoutError:
            name = link.member.name
            self.silent_until_ms[name] = self.clock.now_ms() + SILENCE_MS
            logger.warning('quota_timeout', keeper=name)
            return None

    def owner_links(self, organisation: str) -> list[KeeperLink]:
        """Return the connections to the owners of a quota that may answer."""
        links = self.group.links
        members = links.members.by_name
        now_ms = self.clock.now_ms()
        owner_links = [
            links.link(members[name])
            for name in rank_quota_owners(organisation, members)
            if self.silent_until_ms.get(name, 0) <= now_ms
        ]
        return [link for link in owner_links if not link.is_lost]

    async def run(self) -> None:
        """Return tokens that are not needed at regular intervals, until cancelled.

        Keepers that are new in the list are connected to, so that the first question to
        them is answered in time.
        """
        connected: set[str] = set()
        while self.is_enabled:
            await self.clock.sleep_ms(SWEEP_INTERVAL_MS)
            links = self.group.links
            for name in links.members.by_name.keys() - connected:
                connected.add(name)
                self.group.tasks.spawn(links.reaches(name), 'connect_keeper')
            for state in list(self.by_organisation.values()):
                self.sweep(state)

    def sweep(self, state: OrganisationState) -> None:
        """Return the tokens that are not needed; forget an idle organisation."""
        now_ms = self.clock.boot_ms()
        unneeded = state.take_unneeded(now_ms)
        self.metrics.count_quota_tokens('expired', state.take_expired())
        if unneeded:
            self.group.tasks.spawn(self.give_back(state, unneeded), 'return_quota')
        idle_ms = now_ms - state.used_at_ms
        if idle_ms > IDLE_MS and not state.held and not state.is_asking:
            self.by_organisation.pop(state.organisation.name)

    async def give_back(
        self, state: OrganisationState, unneeded: list[tuple[Batch, int]]
    ) -> None:
        """Return tokens to their owners; those whose owner is gone expire."""
        by_owner: dict[str, list[ReturnedTokens]] = {}
        for batch, count in unneeded:
            tokens = ReturnedTokens(count, batch.owner_expires_at_ms, batch.boot_id)
            by_owner.setdefault(batch.owner, []).append(tokens)
            self.metrics.count_quota_tokens('returned', count)
        for link in self.owner_links(state.organisation.name):
            returned = tuple(by_owner.get(link.member.name, ()))
            if returned:
                message = state.question([], self.name, self.clock.boot_ms())
                message = message._replace(
                    spare_calls=0, spare_starts=0, returned=returned
                )
                pending = self.group.links.request(link, message)
                await self.answer_in_time(link, pending)


def quota_refusal(state: OrganisationState, call: Call, given: Given) -> Refusal:
    """Return the refusal of a call that gets no token."""
    code = RefusalCode.QUOTA_EXHAUSTED
    reason = 'the quota of the organisation is used up'
    if not given.is_known:
        code = RefusalCode.QUOTA_UNKNOWN
        reason = "no owner of the organisation's quota can be asked"
    logger.info(
        'quota_refused',
        request=call.id,
        organisation=state.organisation.name,
        code=str(code),
        rate_per_s=state.organisation.rate_per_s,
        version=state.version,
        retry_after_ms=round(given.wait_ms),
    )
    return Refusal(code, reason, retry_after_ms=max(round(given.wait_ms), 1))
