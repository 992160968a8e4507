"""Running one call whose turn has come: choose, hand over, retry, record.

A model call may be repeated, so it is tried again elsewhere when a host is
lost. A non-idempotent call is handed over only after its intent is durable,
and again only after proof that it did not run.
"""

from pollenwalk.connection.peer import Connection
from pollenwalk.connection.wire import Answer, HistoryItem
from pollenwalk.errors import ConnectionLost, Outcome, Refusal, RefusalBody, RefusalCode
from pollenwalk.policy.placement import HostView
from pollenwalk.process.recorder import store_unavailable
from pollenwalk.program.history import chat_history_items, service_history_items
from pollenwalk.program.live import LiveProgram
from pollenwalk.program.program import FinishedCall
from pollenwalk.program.records import (
    Finished,
    Forfeited,
    Intended,
    Reserved,
    Withdrawn,
)
from pollenwalk.request.attempts import DEFAULT_MAX_TOKENS, RETRY_AFTER_MS, Attempts
from pollenwalk.request.call import LiveCall
from pollenwalk.request.dispatch import Resolver
from pollenwalk.request.entry_context import EntryContext
from pollenwalk.version.resources import ProgramSpec, UpstreamSpec

INTENT_WAIT_MS = 2000
RESOLVE_GRACE_MS = 5000


Ending = Answer | Refusal


class Execution:
    """One call's run."""

    def __init__(
        self, context: EntryContext, live: LiveProgram, call: LiveCall
    ) -> None:
        """Prepare to run; the declarations are read now and stay."""
        self.context = context
        self.live = live
        self.call = call
        self.program = live.program
        self.request = call.request
        self.spec: UpstreamSpec = context.config.upstream(call.request.upstream)
        self.declaration: ProgramSpec = context.config.program(
            live.program.declaration,
        )
        self.attempts = Attempts(context, live, call, self.spec)

    async def run(self) -> FinishedCall:
        """Run the call to its final answer.

        Raises:
            Refusal: the call did not run and takes no place in the order.
        """
        if not self.context.recorder.journal.fresh:
            await self.confirm()
        if self.request.operation not in self.spec.idempotent:
            return await self.run_once()
        try:
            return await self.run_repeatable()
        except Refusal as refusal:
            final = refusal.retry_after_ms is None
            if final and self.live.may_have_run(self.request):
                # An earlier try may have run, so the call takes its place.
                return await self.finish(doubted(refusal), None)
            raise

    async def run_repeatable(self) -> FinishedCall:
        """Run a call that may be repeated, a model's within its budget."""
        while True:
            max_tokens = await self.reserve() if self.is_model else 0
            host = await self.attempts.pick()
            ending = await self.tried(host, max_tokens)
            if ending is not None:
                return await self.finish(ending, host)

    @property
    def is_model(self) -> bool:
        """Tell a model call from one of a plain service."""
        return self.spec.kind == 'model'

    async def tried(self, host: HostView, max_tokens: int) -> Ending | None:
        """Hand over once.

        Returns:
            How the call ended; None when another attempt is due.
        """
        try:
            return await self.attempts.hand_over(host, max_tokens)
        except ConnectionLost:
            self.note_maybe_ran()
            await self.forfeit()
            await self.attempts.lost(host)
        except Refusal as refusal:
            return await self.judged(refusal, host)
        return None

    async def judged(self, refusal: Refusal, host: HostView) -> Refusal | None:
        """Decide whether a refusal is final.

        Returns:
            The refusal, or None when another attempt is due.

        Raises:
            Refusal: the call did not run and no attempt is left.
        """
        not_run = refusal.outcome == Outcome.NOT_RUN
        if not not_run:
            self.note_maybe_ran()
        again = not_run or (not self.is_model and repeatable(refusal))
        if again and self.attempts.attempts_left():
            await self.attempts.refused(host, refusal)
            return None
        if not_run:
            raise refusal
        return refusal

    async def forfeit(self) -> None:
        """Count a lost attempt's reservation as spent."""
        if not self.is_model:
            return
        await self.context.recorder.record(
            self.live,
            lambda: [Forfeited(self.program.id)],
        )
        self.call.stream.restart()

    async def confirm(self) -> None:
        """See that no successor runs this program by now.

        Raises:
            Refusal: neither the store nor the witnesses answer.
        """
        try:
            await self.context.recorder.confirm_ownership(INTENT_WAIT_MS)
        except TimeoutError as error:
            raise store_unavailable() from error

    async def run_once(self) -> FinishedCall:
        """Run a non-idempotent call at most once."""
        if self.program.uncertain:
            return await self.finish(uncertain(), None)
        while True:
            host, connection = await self.reach()
            await self.intend(host, connection)
            ending = await self.attempt_once(host, connection)
            if not is_not_run(ending):
                return await self.finish(ending, host)
            await self.withdraw()
            await self.attempts.refused(host, ending)

    async def reach(self) -> tuple[HostView, Connection]:
        """Connect to a host; nothing has been handed over if that fails."""
        while True:
            host = await self.attempts.pick()
            try:
                return host, await self.context.peers(host.address).connected()
            except ConnectionLost:
                await self.attempts.lost(host)

    async def attempt_once(self, host: HostView, connection: Connection) -> Ending:
        """Hand over once; after a lost connection find out what happened."""
        try:
            return await self.attempts.hand_over(host, 0, connection)
        except ConnectionLost:
            return await self.resolve(host, connection)
        except Refusal as refusal:
            return refusal

    async def resolve(self, host: HostView, connection: Connection) -> Ending:
        """Ask the sidecar what became of a call that was handed to it."""
        resolver = Resolver(
            self.context.peers(host.address),
            self.context.clock,
            connection.boot_id,
        )
        until_ms = self.call.deadline_ms + RESOLVE_GRACE_MS
        try:
            answer = await resolver.resolve(self.call, '', until_ms)
        except Refusal as refusal:
            return refusal
        return answer or never_arrived()

    def note_maybe_ran(self) -> None:
        """Note that a try of this call may have run."""
        self.live.maybe_ran_keys[self.request.key] = None

    async def reserve(self) -> int:
        """Make sure that the budget covers the call.

        Returns:
            How many tokens the answer may have.

        Raises:
            Refusal: the budget is exhausted.
        """
        wished = int(self.request.argument.get('max_tokens', DEFAULT_MAX_TOKENS))
        wanted = self.attempts.message_tokens + wished
        if self.program.budget.left <= self.attempts.message_tokens:
            raise Refusal(
                RefusalCode.BUDGET_EXHAUSTED,
                f'{self.program.budget.left} tokens are left',
            )
        if self.program.budget.reserved < wanted:
            await self.context.recorder.record(
                self.live,
                lambda: [Reserved(self.program.id, wanted)],
                INTENT_WAIT_MS,
            )
        return min(wished, self.program.budget.reserved - self.attempts.message_tokens)

    def make_intent(self, host: HostView, connection: Connection) -> Intended:
        """Say what is about to be handed over, and to whom."""
        return Intended(
            self.program.id,
            self.request.key,
            self.request.sequence,
            self.call.digest,
            self.request.upstream,
            self.request.operation,
            self.request.argument,
            host.address,
            connection.boot_id,
            self.context.incarnation,
        )

    async def intend(self, host: HostView, connection: Connection) -> None:
        """Make the intent durable before the call is handed over.

        Raises:
            Refusal: the journal gave no answer in time; nothing was handed
                over and the intent is withdrawn.
        """
        intent = self.make_intent(host, connection)
        try:
            await self.context.recorder.record(
                self.live,
                lambda: [intent],
                INTENT_WAIT_MS,
            )
        except Refusal:
            self.context.recorder.record_later(
                self.live,
                lambda: [Withdrawn(self.program.id, self.request.key)],
            )
            raise

    async def withdraw(self) -> None:
        """Note that an intent was proven not to have run."""
        self.call.running = False
        await self.context.recorder.record(
            self.live,
            lambda: [Withdrawn(self.program.id, self.request.key)],
        )

    async def finish(self, ending: Ending, host: HostView | None) -> FinishedCall:
        """Record the final answer or refusal and keep it."""
        answer = ending if isinstance(ending, Answer) else None
        refusal = ending if isinstance(ending, Refusal) else None
        record = Finished(
            self.program.id,
            self.request.key,
            self.request.sequence,
            self.call.digest,
            self.request.upstream,
            self.request.operation,
            answer,
            RefusalBody.from_refusal(refusal) if refusal else None,
            self.entries(answer),
            self.spent(answer),
            self.next_reserve(),
            host.address if self.is_model and host else '',
        )
        await self.context.recorder.record(self.live, lambda: [record])
        if host is not None:
            self.context.recorder.settle(host.address, self.call.id)
            if self.is_model and answer:
                self.attempts.note_held(host)
        return self.program.finished[self.request.key]

    def spent(self, answer: Answer | None) -> int:
        """Count what the call has cost; without an answer, all it might."""
        if not self.is_model:
            return 0
        if answer is None:
            return self.program.budget.reserved
        return self.attempts.message_tokens + answer.tokens

    def next_reserve(self) -> int:
        """Give what to set aside for the program's next call."""
        budget = self.program.budget
        if self.is_model:
            return budget.cap_reserve_ahead(self.declaration.reserve_tokens)
        return budget.reserved

    def entries(self, answer: Answer | None) -> list[HistoryItem]:
        """Give what the call adds to the history."""
        if answer is None:
            return []
        if self.is_model:
            return chat_history_items(self.request.argument, answer)
        return service_history_items(
            self.request.operation, self.request.argument, answer
        )


def is_not_run(ending: Ending) -> bool:
    """Tell whether a call is proven not to have run."""
    return isinstance(ending, Refusal) and ending.outcome == Outcome.NOT_RUN


def never_arrived() -> Refusal:
    """Refuse a call that its sidecar has never seen and never will."""
    return Refusal(
        RefusalCode.NO_UPSTREAM,
        'the call never reached the upstream host',
        retry_after_ms=RETRY_AFTER_MS,
    )


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
