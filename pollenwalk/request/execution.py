"""Execution of one call that is next in order: dispatch, retry and record.

An idempotent call, such as one to a model, is tried again at another host when a
host is lost. Any other call is dispatched only after its intent is durable, and
dispatched again only after proof that it did not run.
"""

from pollenwalk.connection.call_messages import Answer, HistoryItem
from pollenwalk.connection.peer import Connection
from pollenwalk.errors import ConnectionLost, Outcome, Refusal, RefusalBody, RefusalCode
from pollenwalk.policy.placement import HostView
from pollenwalk.process.recorder import store_unavailable
from pollenwalk.program.history import model_history_items, service_history_items
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

# How long a call waits for each thing that it needs before it is dispatched: proof
# of ownership, and the record of its intent or of its reserved tokens.
INTENT_TIMEOUT_MS = 2000
# How long after the call's deadline its sidecar is still asked for the outcome.
RESOLVE_GRACE_MS = 5000


CallResult = Answer | Refusal


class Execution:
    """The execution of one call."""

    def __init__(
        self, context: EntryContext, live: LiveProgram, call: LiveCall
    ) -> None:
        """Prepare to run `call`; it keeps the declarations that are in force now."""
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
        """Run the call to its final answer or refusal and record it.

        Raises:
            Refusal: the call is not recorded and takes no place in the order.
        """
        if not self.context.recorder.journal.recently_confirmed:
            await self.confirm_ownership()
        if self.request.operation not in self.spec.idempotent:
            return await self.run_once()
        try:
            return await self.run_idempotent()
        except Refusal as refusal:
            is_final = refusal.retry_after_ms is None
            if is_final and self.live.may_have_run(self.request):
                # An earlier attempt may have run, so the call takes its place in
                # the order.
                return await self.finish(with_unknown_outcome(refusal), None)
            raise

    async def run_idempotent(self) -> FinishedCall:
        """Run an idempotent call; model calls stay within the budget."""
        while True:
            max_tokens = await self.ensure_reserved() if self.is_model else 0
            host = await self.attempts.choose_host()
            call_result = await self.attempt_idempotent(host, max_tokens)
            if call_result is not None:
                return await self.finish(call_result, host)

    @property
    def is_model(self) -> bool:
        """Return whether the upstream is a model and not a plain service."""
        return self.spec.kind == 'model'

    async def attempt_idempotent(
        self, host: HostView, max_tokens: int
    ) -> CallResult | None:
        """Make one attempt at an idempotent call.

        Returns:
            The answer or the final refusal; None if another attempt is due.
        """
        try:
            return await self.attempts.dispatch_to(host, max_tokens)
        except ConnectionLost:
            self.note_maybe_ran()
            await self.forfeit_reservation()
            await self.attempts.handle_lost_host(host)
        except Refusal as refusal:
            return await self.final_refusal(refusal, host)
        return None

    async def final_refusal(self, refusal: Refusal, host: HostView) -> Refusal | None:
        """Return a refusal if it is final; otherwise back off and return None.

        Raises:
            Refusal: the call did not run and no attempt is left, or no retry is
                left.
        """
        not_run = refusal.outcome == Outcome.NOT_RUN
        if not not_run:
            self.note_maybe_ran()
        may_retry = not_run or (not self.is_model and is_retryable(refusal))
        if may_retry and self.attempts.has_attempts_left():
            await self.attempts.handle_refusal(host, refusal)
            return None
        if not_run:
            raise refusal
        return refusal

    async def forfeit_reservation(self) -> None:
        """Record the tokens reserved for a lost attempt as spent.

        The tokens that the attempt has generated are discarded. Calls of plain
        services have no reservation.
        """
        if not self.is_model:
            return
        await self.context.recorder.record(
            self.live,
            lambda: [Forfeited(self.program.id)],
        )
        self.call.stream.restart()

    async def confirm_ownership(self) -> None:
        """Confirm that no successor has taken the program over.

        Raises:
            Fenced: a successor owns the program.
            Refusal: neither the store nor the witnesses answered in time.
        """
        try:
            await self.context.recorder.confirm_ownership(INTENT_TIMEOUT_MS)
        except TimeoutError as error:
            raise store_unavailable() from error

    async def run_once(self) -> FinishedCall:
        """Run a non-idempotent call at most once.

        It is dispatched again only when proven not to have run.
        """
        if self.program.uncertain:
            return await self.finish(records_lost_refusal(), None)
        while True:
            host, connection = await self.connect_to_host()
            await self.record_intent(host, connection)
            call_result = await self.attempt_once(host, connection)
            if not is_proven_not_run(call_result):
                return await self.finish(call_result, host)
            await self.record_withdrawal()
            await self.attempts.handle_refusal(host, call_result)

    async def connect_to_host(self) -> tuple[HostView, Connection]:
        """Choose a host and connect to its sidecar; nothing is dispatched yet."""
        while True:
            host = await self.attempts.choose_host()
            try:
                return host, await self.context.peers(host.address).ensure_connected()
            except ConnectionLost:
                await self.attempts.handle_lost_host(host)

    async def attempt_once(self, host: HostView, connection: Connection) -> CallResult:
        """Dispatch the call once; if the connection is lost, resolve the outcome.

        Returns:
            The answer, or a refusal whose outcome says whether the call ran.
        """
        try:
            return await self.attempts.dispatch_to(host, 0, connection)
        except ConnectionLost:
            return await self.resolve_outcome(host, connection)
        except Refusal as refusal:
            return refusal

    async def resolve_outcome(
        self, host: HostView, connection: Connection
    ) -> CallResult:
        """Ask the sidecar for the outcome of a call that was dispatched to it."""
        resolver = Resolver(
            self.context.peers(host.address),
            self.context.clock,
            connection.boot_id,
        )
        give_up_at_ms = self.call.deadline_ms + RESOLVE_GRACE_MS
        try:
            answer = await resolver.resolve(self.call, '', give_up_at_ms)
        except Refusal as refusal:
            return refusal
        return answer or never_arrived_refusal()

    def note_maybe_ran(self) -> None:
        """Note that an attempt of this call may have run."""
        self.live.maybe_ran_keys[self.request.key] = None

    async def ensure_reserved(self) -> int:
        """Reserve tokens for the call unless enough are reserved already.

        Returns:
            How many tokens the answer may have.

        Raises:
            Refusal: the budget is exhausted, or the reservation could not be
                recorded in time.
        """
        max_answer_tokens = int(
            self.request.argument.get('max_tokens', DEFAULT_MAX_TOKENS)
        )
        required_tokens = self.attempts.message_tokens + max_answer_tokens
        if self.program.budget.left <= self.attempts.message_tokens:
            raise Refusal(
                RefusalCode.BUDGET_EXHAUSTED,
                f'the program has {self.program.budget.left} tokens left',
            )
        if self.program.budget.reserved < required_tokens:
            await self.context.recorder.record(
                self.live,
                lambda: [Reserved(self.program.id, required_tokens)],
                INTENT_TIMEOUT_MS,
            )
        return min(
            max_answer_tokens,
            self.program.budget.reserved - self.attempts.message_tokens,
        )

    def build_intent(self, host: HostView, connection: Connection) -> Intended:
        """Return the record of what is about to be dispatched, and to whom."""
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

    async def record_intent(self, host: HostView, connection: Connection) -> None:
        """Make the intent durable before the call is dispatched.

        Raises:
            Refusal: the journal did not answer in time; nothing was dispatched,
                and a withdrawal of the intent is recorded later.
        """
        intent = self.build_intent(host, connection)
        try:
            await self.context.recorder.record(
                self.live,
                lambda: [intent],
                INTENT_TIMEOUT_MS,
            )
        except Refusal:
            self.context.recorder.record_later(
                self.live,
                lambda: [Withdrawn(self.program.id, self.request.key)],
            )
            raise

    async def record_withdrawal(self) -> None:
        """Record that the call of an intent was proven not to have run."""
        self.call.running = False
        await self.context.recorder.record(
            self.live,
            lambda: [Withdrawn(self.program.id, self.request.key)],
        )

    async def finish(
        self, call_result: CallResult, host: HostView | None
    ) -> FinishedCall:
        """Record the final answer or refusal and return the finished call.

        Args:
            call_result: the answer or the refusal.
            host: where the call ran or was refused; None if it was not dispatched.
        """
        answer = call_result if isinstance(call_result, Answer) else None
        refusal = call_result if isinstance(call_result, Refusal) else None
        record = Finished(
            self.program.id,
            self.request.key,
            self.request.sequence,
            self.call.digest,
            self.request.upstream,
            self.request.operation,
            answer,
            RefusalBody.from_refusal(refusal) if refusal else None,
            self.history_items(answer),
            self.spent_tokens(answer),
            self.next_reservation(),
            host.address if self.is_model and host else '',
        )
        await self.context.recorder.record(self.live, lambda: [record])
        if host is not None:
            self.context.recorder.settle(host.address, self.call.id)
            if self.is_model and answer:
                self.attempts.note_cached_history(host)
        return self.program.finished[self.request.key]

    def spent_tokens(self, answer: Answer | None) -> int:
        """Return the tokens that the call has cost.

        A model call without an answer counts with all reserved tokens, as it is
        unknown how many it has used.
        """
        if not self.is_model:
            return 0
        if answer is None:
            return self.program.budget.reserved
        return self.attempts.message_tokens + answer.tokens

    def next_reservation(self) -> int:
        """Return the tokens to reserve for the program's next call.

        A call of a plain service leaves the reservation as it is.
        """
        budget = self.program.budget
        if self.is_model:
            return budget.cap_advance_reservation(self.declaration.reserve_tokens)
        return budget.reserved

    def history_items(self, answer: Answer | None) -> list[HistoryItem]:
        """Return the items that the call adds to the program's history."""
        if answer is None:
            return []
        if self.is_model:
            return model_history_items(self.request.argument, answer)
        return service_history_items(
            self.request.operation, self.request.argument, answer
        )


def is_proven_not_run(call_result: CallResult) -> bool:
    """Return whether a result proves that the call did not run."""
    return isinstance(call_result, Refusal) and call_result.outcome == Outcome.NOT_RUN


def never_arrived_refusal() -> Refusal:
    """Return the refusal of a call that never reached its sidecar, nor ever will."""
    return Refusal(
        RefusalCode.NO_UPSTREAM,
        'the call never reached the upstream host',
        retry_after_ms=RETRY_AFTER_MS,
    )


def records_lost_refusal() -> Refusal:
    """Return the refusal of a call that may have run before.

    The program's last records were lost; those of this call may have been among
    them.
    """
    return Refusal(
        RefusalCode.OUTCOME_UNKNOWN,
        'the last records of this program were lost',
        Outcome.UNKNOWN,
    )


def with_unknown_outcome(refusal: Refusal) -> Refusal:
    """Return a copy of a refusal that leaves open whether the call ran."""
    return Refusal(
        RefusalCode(refusal.code),
        f'{refusal.message}; an earlier attempt may have run',
        Outcome.UNKNOWN,
        refusal.retry_after_ms,
    )


def is_retryable(refusal: Refusal) -> bool:
    """Return whether an idempotent call may succeed at another attempt."""
    return refusal.code not in {RefusalCode.MALFORMED, RefusalCode.DEADLINE}
