"""Running one call whose turn has come: choose, hand over, retry, record.

A model call may be repeated, so it is tried again elsewhere when a host is
lost. A non-idempotent call is handed over only after its intent is durable,
and again only after proof that it did not run.
"""

import random
from typing import NamedTuple

from loguru import logger

from pollenwalk.connection.peer import Connection
from pollenwalk.connection.wire import Answer, Dispatch, HistoryItem
from pollenwalk.errors import (
    ConnectionLost,
    Fenced,
    Outcome,
    Refusal,
    RefusalBody,
    RefusalCode,
)
from pollenwalk.policy.placement import HostView, Need, Placement
from pollenwalk.process.clock import Clock
from pollenwalk.process.fleet import Fleet, Location
from pollenwalk.process.recorder import Recorder, store_unavailable
from pollenwalk.process.traces import Tracer
from pollenwalk.process.witness import PeerSource
from pollenwalk.program.history import (
    ROOT,
    chat_entries,
    count_tokens,
    plain_entries,
)
from pollenwalk.program.live import LiveProgram
from pollenwalk.program.program import FinishedCall
from pollenwalk.program.records import (
    Finished,
    Forfeited,
    Intended,
    Reserved,
    Withdrawn,
)
from pollenwalk.request.call import LiveCall
from pollenwalk.request.dispatch import Resolver, dispatch
from pollenwalk.request.retry import RetryBudgets, pause_ms
from pollenwalk.version.config import Configuration
from pollenwalk.version.resources import ProgramSpec, UpstreamSpec

DEFAULT_MAX_TOKENS = 64
MAX_ATTEMPTS = 6
NO_HOST_PAUSE_MS = 100
NO_HOST_WAIT_MS = 1500
REFUSED_PAUSE_MS = 100
LOST_PAUSE_MS = 1000
RETRY_AFTER_MS = 500
INTENT_WAIT_MS = 2000
RESOLVE_GRACE_MS = 5000


class Parts(NamedTuple):
    """What a home needs to run calls."""

    incarnation: str
    clock: Clock
    dice: random.Random
    location: Location
    config: Configuration
    fleet: Fleet
    peers: PeerSource
    placement: Placement
    retries: RetryBudgets
    recorder: Recorder
    tracer: Tracer


class Execution:
    """One call's run."""

    def __init__(self, parts: Parts, live: LiveProgram, call: LiveCall) -> None:
        """Prepare to run; the declarations are read now and stay."""
        self.parts = parts
        self.live = live
        self.call = call
        self.program = live.program
        self.request = call.request
        self.spec: UpstreamSpec = parts.config.upstream(call.request.upstream)
        self.declaration: ProgramSpec = parts.config.program(
            live.program.declaration,
        )
        self.avoid: dict[str, None] = {}

    async def run(self) -> FinishedCall:
        """Run the call to its final answer.

        Raises:
            Refusal: the call did not run and takes no place in the order.
        """
        if not self.parts.recorder.journal.fresh:
            await self.confirm()
        if self.request.operation not in self.spec.idempotent:
            return await self.run_once()
        try:
            return await self.run_repeatable()
        except Refusal as refusal:
            final = refusal.retry_after_ms is None
            if final and self.live.may_have_run(self.request):
                # An earlier try may have run, so the call takes its place.
                return await self.finish(None, doubted(refusal), None)
            raise

    async def run_repeatable(self) -> FinishedCall:
        """Run a call that may be repeated."""
        if self.spec.kind == 'model':
            return await self.run_model()
        return await self.run_plain()

    async def confirm(self) -> None:
        """See that no successor runs this program by now.

        Raises:
            Refusal: neither the store nor the witnesses answer.
        """
        try:
            await self.parts.recorder.confirm(INTENT_WAIT_MS)
        except TimeoutError as error:
            raise store_unavailable() from error

    @property
    def message_tokens(self) -> int:
        """Count the tokens that the call adds to the prompt."""
        return count_tokens(str(self.request.argument.get('message', '')))

    async def run_model(self) -> FinishedCall:
        """Run a model call within the program's budget."""
        while True:
            max_tokens = await self.reserve()
            host = await self.pick()
            try:
                answer = await self.hand_over(host, max_tokens)
            except ConnectionLost:
                self.note_maybe_ran()
                await self.lost(host)
                await self.parts.recorder.record(
                    self.live,
                    lambda: [Forfeited(self.program.id)],
                )
                self.call.stream.restart()
                continue
            except Refusal as refusal:
                if refusal.outcome == Outcome.NOT_RUN:
                    await self.refused(host, refusal)
                    continue
                return await self.finish(None, refusal, host)
            return await self.finish(answer, None, host)

    async def run_plain(self) -> FinishedCall:
        """Run an idempotent call of a plain service."""
        while True:
            host = await self.pick()
            try:
                answer = await self.hand_over(host, 0)
            except ConnectionLost:
                self.note_maybe_ran()
                await self.lost(host)
                continue
            except Refusal as refusal:
                if refusal.outcome != Outcome.NOT_RUN:
                    self.note_maybe_ran()
                if self.attempts_left() and repeatable(refusal):
                    await self.refused(host, refusal)
                    continue
                if refusal.outcome == Outcome.NOT_RUN:
                    raise
                return await self.finish(None, refusal, host)
            return await self.finish(answer, None, host)

    async def run_once(self) -> FinishedCall:
        """Run a non-idempotent call at most once."""
        if self.program.uncertain:
            return await self.finish(None, uncertain(), None)
        while True:
            host = await self.pick()
            try:
                connection = await self.parts.peers(host.address).connected()
            except ConnectionLost:
                # Nothing was handed over yet, so another host may be tried.
                await self.lost(host)
                continue
            await self.intend(host, connection)
            try:
                answer = await self.attempt_once(host, connection)
            except Refusal as refusal:
                if refusal.outcome == Outcome.NOT_RUN:
                    await self.withdraw()
                    await self.refused(host, refusal)
                    continue
                return await self.finish(None, refusal, host)
            if answer is None:
                await self.withdraw()
                await self.lost(host)
                continue
            return await self.finish(answer, None, host)

    async def attempt_once(
        self,
        host: HostView,
        connection: Connection,
    ) -> Answer | None:
        """Hand over once; after a lost connection find out what happened."""
        try:
            return await self.hand_over(host, 0, connection)
        except ConnectionLost:
            resolver = Resolver(
                self.parts.peers(host.address),
                self.parts.clock,
                connection.boot,
            )
            until_ms = self.call.deadline_ms + RESOLVE_GRACE_MS
            return await resolver.resolve(self.call, '', until_ms)

    def note_maybe_ran(self) -> None:
        """Note that a try of this call may have run."""
        self.live.maybe_ran[self.request.key] = None

    async def reserve(self) -> int:
        """Make sure that the budget covers the call.

        Returns:
            How many tokens the answer may have.

        Raises:
            Refusal: the budget is exhausted.
        """
        wished = int(self.request.argument.get('max_tokens', DEFAULT_MAX_TOKENS))
        wanted = self.message_tokens + wished
        if self.program.budget.left <= self.message_tokens:
            raise Refusal(
                RefusalCode.BUDGET_EXHAUSTED,
                f'{self.program.budget.left} tokens are left',
            )
        if self.program.budget.reserved < wanted:
            await self.parts.recorder.record(
                self.live,
                lambda: [Reserved(self.program.id, wanted)],
                INTENT_WAIT_MS,
            )
        return min(wished, self.program.budget.reserved - self.message_tokens)

    async def pick(self) -> HostView:
        """Choose a host, waiting a little when there is none.

        Raises:
            Refusal: no host is to be had.
        """
        until_ms = self.parts.clock.now_ms() + min(
            NO_HOST_WAIT_MS,
            self.call.left_ms(),
        )
        while True:
            if self.parts.recorder.journal.closing:
                raise Fenced('this home is about to be handed over')
            if self.parts.clock.now_ms() >= until_ms:
                raise Refusal(
                    RefusalCode.NO_UPSTREAM,
                    f'no host of {self.request.upstream} takes work now',
                    retry_after_ms=RETRY_AFTER_MS,
                )
            hosts = self.parts.fleet.views(self.request.upstream)
            host = self.parts.placement.choose(hosts, self.need())
            if host is not None:
                return host
            await self.parts.clock.sleep_ms(NO_HOST_PAUSE_MS)

    def need(self) -> Need:
        """Describe the call to the placement policy."""
        history = self.program.history
        prompt = self.live.history_tokens + self.message_tokens
        max_tokens = self.request.argument.get('max_tokens', DEFAULT_MAX_TOKENS)
        return Need(
            self.program.id,
            self.parts.location.zone,
            self.parts.location.region,
            prompt if history.entries else self.message_tokens,
            self.live.cached,
            float(max_tokens) * self.spec.decode_ms,
            self.spec.prefill_ms,
            frozenset(self.avoid),
        )

    async def hand_over(
        self,
        host: HostView,
        max_tokens: int,
        connection: Connection | None = None,
    ) -> Answer:
        """Give the call to a host's sidecar and wait for the answer."""
        if connection is None:
            connection = await self.parts.peers(host.address).connected()
        with self.parts.tracer.span('dispatch', self.request.trace) as trace:
            message = self.build(host, connection.boot, max_tokens, trace)
            self.call.running = True
            self.parts.fleet.sent(host.sidecar, self.call.id)
            try:
                answer = await dispatch(connection, self.live, self.call, message)
            finally:
                self.parts.fleet.returned(host.sidecar, self.call.id)
        self.parts.fleet.answered(host.sidecar, answer.ahead)
        self.parts.retries.of(self.program.caller, self.request.upstream).earn()
        return answer._replace(ahead=0)

    def build(
        self,
        host: HostView,
        boot: str,
        max_tokens: int,
        trace: str,
    ) -> Dispatch:
        """Build the message, with the part of the history that is missing."""
        history = self.program.history
        model = self.spec.kind == 'model'
        base = self.live.held.get(host.sidecar, ROOT)
        delta = history.since(base) if model else []
        if delta is None:
            base, delta = ROOT, history.entries
        return Dispatch(
            self.call.id,
            self.program.id,
            boot,
            self.request.operation,
            self.request.operation not in self.spec.non_idempotent,
            self.request.argument,
            base,
            list(delta),
            history.digest if model else ROOT,
            max_tokens,
            self.parts.config.level(self.declaration.priority),
            max(self.call.left_ms(), 0),
            trace,
        )

    async def intend(self, host: HostView, connection: Connection) -> None:
        """Make the intent durable before the call is handed over.

        Raises:
            Refusal: the journal gave no answer in time; nothing was handed
                over and the intent is withdrawn.
        """
        intent = Intended(
            self.program.id,
            self.request.key,
            self.request.sequence,
            self.call.digest,
            self.request.upstream,
            self.request.operation,
            self.request.argument,
            host.address,
            connection.boot,
            self.parts.incarnation,
        )
        try:
            await self.parts.recorder.record(
                self.live,
                lambda: [intent],
                INTENT_WAIT_MS,
            )
        except Refusal:
            self.parts.recorder.record_later(
                self.live,
                lambda: [Withdrawn(self.program.id, self.request.key)],
            )
            raise

    async def withdraw(self) -> None:
        """Note that an intent was proven not to have run."""
        await self.parts.recorder.record(
            self.live,
            lambda: [Withdrawn(self.program.id, self.request.key)],
        )

    async def lost(self, host: HostView) -> None:
        """Leave a silent host out and pause before the next attempt."""
        logger.info('host_lost', sidecar=host.sidecar, call=self.call.id)
        self.parts.fleet.refused(host.sidecar, LOST_PAUSE_MS)
        await self.pause(host)

    async def refused(self, host: HostView, refusal: Refusal) -> None:
        """Take a proven refusal; go on to another host or give up.

        Raises:
            Refusal: the attempts or the retries are used up.
        """
        if refusal.code == RefusalCode.STOPPING:
            self.parts.fleet.leaves(host.sidecar)
        else:
            self.parts.fleet.refused(
                host.sidecar,
                refusal.retry_after_ms or REFUSED_PAUSE_MS,
            )
        if not self.attempts_left():
            raise refusal
        await self.pause(host)

    def attempts_left(self) -> bool:
        """Tell whether the call may be tried once more."""
        return self.call.attempts < MAX_ATTEMPTS and self.call.left_ms() > 0

    async def pause(self, host: HostView) -> None:
        """Spend a retry and wait with jitter.

        Raises:
            Refusal: no retry is left for this caller and upstream.
        """
        self.avoid[host.sidecar] = None
        self.call.attempts += 1
        budget = self.parts.retries.of(self.program.caller, self.request.upstream)
        if not budget.spend():
            raise Refusal(
                RefusalCode.OVERLOADED,
                f'too many retries towards {self.request.upstream}',
                retry_after_ms=RETRY_AFTER_MS,
            )
        await self.parts.clock.sleep_ms(
            pause_ms(self.call.attempts, self.parts.dice),
        )

    async def finish(
        self,
        answer: Answer | None,
        refusal: Refusal | None,
        host: HostView | None,
    ) -> FinishedCall:
        """Record the final answer and keep it."""
        model = self.spec.kind == 'model'
        entries = self.entries(answer)
        spent = self.message_tokens + answer.tokens if model and answer else 0
        if model and answer is None:
            spent = self.program.budget.reserved
        record = Finished(
            self.program.id,
            self.request.key,
            self.request.sequence,
            self.call.digest,
            self.request.upstream,
            self.request.operation,
            answer,
            RefusalBody.of(refusal) if refusal else None,
            entries,
            spent,
            self.next_reserve(model),
            host.address if model and host else '',
        )
        await self.parts.recorder.record(self.live, lambda: [record])
        if host is not None:
            self.parts.recorder.settle(host.address, self.call.id)
        if model and answer:
            self.note_held(host)
        return self.program.finished[self.request.key]

    def next_reserve(self, model: bool) -> int:
        """Give what to set aside for the program's next call."""
        budget = self.program.budget
        if model:
            return budget.ahead(self.declaration.reserve_tokens)
        return budget.reserved

    def entries(self, answer: Answer | None) -> list[HistoryItem]:
        """Give what the call adds to the history."""
        if answer is None:
            return []
        if self.spec.kind == 'model':
            return chat_entries(self.request.argument, answer)
        return plain_entries(self.request.operation, self.request.argument, answer)

    def note_held(self, host: HostView) -> None:
        """Remember what the host's sidecar and engine now hold."""
        self.live.held[host.sidecar] = self.program.history.digest
        self.live.cached[host.sidecar] = self.live.history_tokens


def uncertain() -> Refusal:
    """Refuse what may have run before a program's last records were lost."""
    return Refusal(
        RefusalCode.OUTCOME_UNKNOWN,
        'the last records of this program were lost',
        Outcome.UNKNOWN,
    )


def doubted(refusal: Refusal) -> Refusal:
    """Give a refusal again without the claim that the call did not run."""
    return Refusal(
        RefusalCode(refusal.code),
        f'{refusal.message}; an earlier try may have run',
        Outcome.UNKNOWN,
        refusal.retry_after_ms,
    )


def repeatable(refusal: Refusal) -> bool:
    """Tell whether an idempotent call is worth another attempt."""
    return refusal.code not in {RefusalCode.MALFORMED, RefusalCode.DEADLINE}
