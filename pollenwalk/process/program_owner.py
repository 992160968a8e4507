"""The owner of programs: orders and runs their calls and keeps their state.

Each program has exactly one owner at a time, the entry that orders its calls,
accounts for its token budget and keeps its history and answers.
"""

from collections.abc import AsyncIterator, Coroutine, Iterator
from typing import Any

from pollenwalk.connection.call_messages import Answer, Tokens
from pollenwalk.connection.program_messages import CallProgram
from pollenwalk.errors import (
    Outcome,
    PollenwalkError,
    Refusal,
    RefusalCode,
    fenced_error,
)
from pollenwalk.process.program_creator import ProgramCreator
from pollenwalk.process.program_ids import unknown_program
from pollenwalk.process.program_maintenance import ProgramMaintenance
from pollenwalk.process.recorder import store_unavailable
from pollenwalk.process.recovery import Recovery
from pollenwalk.process.tasks import TaskSet
from pollenwalk.program.live import LiveProgram
from pollenwalk.program.program import FinishedCall, Program, ProgramTable
from pollenwalk.program.records import Ended, Forfeited, Record
from pollenwalk.request.call import LiveCall, check_request
from pollenwalk.request.entry_context import EntryContext
from pollenwalk.request.execution import Execution, with_unknown_outcome

# How long `end` waits until its records are durable.
END_COMMIT_TIMEOUT_MS = 2000
RENEW_MS = 5000
RELEASE_TIMEOUT_MS = 2000
RELEASE_ATTEMPTS = 5
# Longest wait for a call to end before the open calls are checked again.
STOP_POLL_MS = 2000
RETAIN_MS = 600_000
RECOVERY_MS = 30_000
RETRY_AFTER_MS = 1000
# How long a refused call waits for the proof that this entry is still the owner.
CONFIRM_TIMEOUT_MS = 1000
# Refusals that concern the request alone, so they hold whoever owns the program.
REQUEST_ERROR_CODES = frozenset(
    (
        RefusalCode.MALFORMED,
        RefusalCode.KEY_MISSING,
        RefusalCode.KEY_REUSED,
    )
)
ID_BITS = 64


class ProgramOwner:
    """The programs that one incarnation of an entry owns.

    Attributes:
        context: services that all calls share.
        table: the durable state of the programs.
        tasks: the incarnation's background tasks, those of calls included.
        live: state of the programs that is not durable, by program id.
        stopping: whether new programs and calls are refused.
        adoptions_in_progress: how many adoptions of other entries' programs are
            under way; no compaction starts meanwhile.
        program_creator: creates programs and records key claims.
        recovery: resolves the intents of adopted programs.
        maintenance: renews leases, ends idle programs and drops old ones.
    """

    def __init__(
        self, context: EntryContext, table: ProgramTable, tasks: TaskSet
    ) -> None:
        """Own the programs in `table`, without any running call."""
        self.context = context
        self.table = table
        self.tasks = tasks
        self.live: dict[str, LiveProgram] = {}
        self.stopping = False
        self.adoptions_in_progress = 0
        self.program_creator = ProgramCreator(self)
        self.recovery = Recovery(self)
        self.maintenance = ProgramMaintenance(self)

    def start(self) -> None:
        """Start the background tasks."""
        self.tasks.spawn(
            self.context.recorder.send_settlements(self.context.peers), 'settle'
        )
        self.maintenance.start()

    def release(self, program: Program) -> Coroutine[Any, Any, None]:
        """Ask every sidecar that holds engine memory for a program to free it."""
        return self.maintenance.release(program)

    def drop_claims(self) -> None:
        """Remove key claims that are older than their retention period."""
        self.program_creator.drop_claims()

    def find(self, program_id: str) -> LiveProgram:
        """Return the live state of a program, creating that state if needed.

        Raises:
            Refusal: this entry does not own such a program.
        """
        program = self.table.programs.get(program_id)
        if program is None:
            raise unknown_program(program_id)
        live = self.live.get(program_id)
        if live is None or live.program is not program:
            live = LiveProgram(program, self.context.clock)
            self.live[program_id] = live
        return live

    def check_accepts_work(self) -> None:
        """Check that new programs and calls can be accepted.

        Raises:
            Refusal: the entry is stopping, or the store does not answer.
            Fenced: a successor has sealed the journal.
        """
        if self.stopping:
            raise Refusal(
                RefusalCode.STOPPING,
                'this entry is stopping',
                retry_after_ms=RETRY_AFTER_MS,
            )
        if self.context.recorder.journal.fenced:
            raise fenced_error()
        if self.context.recorder.journal.stalled:
            raise store_unavailable()

    async def call(self, request: CallProgram) -> AsyncIterator[Tokens | Answer]:
        """Run a call, attach to it while it runs, or replay its kept answer.

        Yields:
            Tokens as they arrive, then the answer.

        Raises:
            Refusal: its outcome says whether the call ran.
            Fenced: a successor owns the program; retry there.
        """
        check_request(request)
        try:
            async for item in self.follow_call(request):
                yield item
        except Refusal as refusal:
            if await self.verify_not_run(refusal, request):
                raise
            raise with_unknown_outcome(refusal) from refusal

    async def verify_not_run(self, refusal: Refusal, request: CallProgram) -> bool:
        """Return whether a refusal's outcome can be passed on unchanged.

        The outcome 'not run' needs proof: a successor may have run the call
        that is refused here, or an earlier attempt of an idempotent call may
        have run.

        Raises:
            Fenced: a successor owns the program; retry there.
        """
        if refusal.outcome != Outcome.NOT_RUN or refusal.code in REQUEST_ERROR_CODES:
            return True
        live = self.live.get(request.program)
        upstream = self.context.config.upstream(request.upstream)
        idempotent = upstream is not None and (request.operation in upstream.idempotent)
        if idempotent and live is not None and live.may_have_run(request):
            return False
        return await self.confirm_ownership()

    async def confirm_ownership(self) -> bool:
        """Return whether this entry has just proven that it owns its programs.

        False means that neither the store nor the witnesses answered in time.

        Raises:
            Fenced: a successor owns the programs; retry there.
        """
        try:
            await self.context.recorder.confirm_ownership(CONFIRM_TIMEOUT_MS)
        except TimeoutError:
            return False
        return True

    async def follow_call(self, request: CallProgram) -> AsyncIterator[Tokens | Answer]:
        """Find or start a call and yield its tokens and its answer.

        Raises:
            Refusal: the call was refused or failed.
            Fenced: a successor owns the program.
        """
        live = self.find(request.program)
        live.last_used_ms = self.context.clock.now_ms()
        call = self.find_or_accept(live, request)
        if isinstance(call, FinishedCall):
            finished = call
            for tokens in replayed_tokens(finished, request.offset):
                yield tokens
        else:
            async for tokens in call.stream.follow(request.offset):
                yield tokens
            finished = await call.done
        if finished.refusal is not None:
            raise finished.refusal.to_refusal()
        yield finished.answer

    def find_or_accept(
        self,
        live: LiveProgram,
        request: CallProgram,
    ) -> LiveCall | FinishedCall:
        """Return the running or finished call of a key, or accept a new call.

        Raises:
            Refusal: the key was used for another request, or the new call
                is not acceptable.
        """
        call = LiveCall(request, self.context.clock)
        known = live.calls.get(request.key)
        finished = live.program.finished.get(request.key)
        if known is not None:
            check_same_request(known.digest, known.request.sequence, call)
            return known
        if finished is not None:
            check_same_request(finished.digest, finished.sequence, call)
            return finished
        self.accept(live, call)
        return call

    def accept(self, live: LiveProgram, call: LiveCall) -> None:
        """Check a new call and start the task that runs it."""
        self.check_accepts_work()
        self.check_operation(live, call.request)
        live.admit(call.request)
        self.check_loops(live, call)
        key = call.request.key
        live.calls[key] = call
        live.tasks[key] = self.tasks.spawn(self.run(live, call), 'call')

    def check_operation(self, live: LiveProgram, request: CallProgram) -> None:
        """Check that a call's upstream, operation and input are as declared."""
        spec = self.context.config.program(live.program.declaration)
        upstream = self.context.config.upstream(request.upstream)
        if spec is None or upstream is None or request.upstream not in spec.upstreams:
            raise Refusal(
                RefusalCode.UNKNOWN_UPSTREAM,
                f'{live.program.declaration} declares no upstream {request.upstream!r}',
            )
        operations = [*upstream.idempotent, *upstream.non_idempotent]
        if request.operation not in operations:
            raise Refusal(
                RefusalCode.UNKNOWN_OPERATION,
                f'{request.upstream} has no operation {request.operation!r}; '
                f'it has: {", ".join(operations)}',
            )
        if upstream.kind == 'model':
            check_chat(request.argument)

    def check_loops(self, live: LiveProgram, call: LiveCall) -> None:
        """Refuse a call beyond `max_calls`, or equal to the last `loop_limit` calls."""
        spec = self.context.config.program(live.program.declaration)
        if call.request.sequence > spec.max_calls:
            raise Refusal(
                RefusalCode.LOOP_LIMIT,
                f'a program may make at most {spec.max_calls} calls',
            )
        recent = list(live.program.finished.values())[-spec.loop_limit :]
        repeats = [finished for finished in recent if finished.digest == call.digest]
        if len(repeats) >= spec.loop_limit:
            raise Refusal(
                RefusalCode.LOOP_LIMIT,
                f'the same call was made {spec.loop_limit} times in a row',
            )

    async def run(self, live: LiveProgram, call: LiveCall) -> None:
        """Run a call to its end, once all earlier calls have ended."""
        try:
            await live.wait_for_predecessors(call)
            call.finish(await Execution(self.context, live, call).run())
        except PollenwalkError as error:
            call.fail(error)
        finally:
            if not call.done.done():
                call.fail(cancelled_refusal(call) if live.ending else fenced_error())
            live.calls.pop(call.request.key, None)
            live.tasks.pop(call.request.key, None)
            live.last_used_ms = self.context.clock.now_ms()
            live.notify_waiting_calls()

    def refuse_open_calls(self) -> None:
        """Refuse all open calls after a takeover, to be retried at the successor."""
        for live in self.live.values():
            for call in list(live.calls.values()):
                call.fail(fenced_error())
            for task in list(live.tasks.values()):
                task.cancel()

    async def end(self, program_id: str) -> Program:
        """End a program and its children, and free their engine memory.

        Open calls are cancelled, except those with a recorded intent, which
        are not idempotent and are waited for.

        Raises:
            Refusal: there is no such program, or its end is not durable
                within `END_COMMIT_TIMEOUT_MS`; the outcome is unknown then.
            Fenced: a successor owns the program.
        """
        live = self.find(program_id)
        if live.program.ended:
            return live.program
        live.ending = True
        live.notify_waiting_calls()
        for child in self.running_children(program_id):
            await self.end(child.id)
        was_running = any(call.running for call in live.calls.values())
        await self.stop_calls(live)
        records: list[Record] = [Ended(program_id)]
        if was_running:
            records.insert(0, Forfeited(program_id))
        await self.context.recorder.record(
            live, lambda: records, END_COMMIT_TIMEOUT_MS, Outcome.UNKNOWN
        )
        self.tasks.spawn(self.maintenance.release(live.program), 'release')
        return live.program

    def running_children(self, program_id: str) -> list[Program]:
        """Return the child programs that have not ended."""
        return [
            program
            for program in self.table.programs.values()
            if program.parent == program_id and not program.ended
        ]

    async def stop_calls(self, live: LiveProgram) -> None:
        """Cancel the calls without a recorded intent and wait for the others."""
        for key, task in list(live.tasks.items()):
            if key not in live.program.intents:
                task.cancel()
        while live.calls:
            await live.wait_for_change(STOP_POLL_MS)


def replayed_tokens(finished: FinishedCall, offset: int) -> Iterator[Tokens]:
    """Yield a kept model answer as one `Tokens`, for a stream from offset 0."""
    text = finished.answer.output.get('text') if finished.answer else None
    if isinstance(text, str) and text and not offset:
        yield Tokens(0, [text])


def check_same_request(digest: str, sequence: int, call: LiveCall) -> None:
    """Check that a repeated key comes with the same request and sequence.

    Raises:
        Refusal: the key was used for another request.
    """
    if digest != call.digest or sequence != call.request.sequence:
        raise Refusal(
            RefusalCode.KEY_REUSED,
            'the key was used for another request',
        )


def check_chat(argument: dict[str, Any]) -> None:
    """Check the input of a model call.

    Raises:
        Refusal: a field is missing or of the wrong type.
    """
    message = argument.get('message')
    if not isinstance(message, str) or not message:
        raise Refusal(RefusalCode.MALFORMED, 'input.message must be a non-empty string')
    max_tokens = argument.get('max_tokens', 1)
    if not isinstance(max_tokens, int) or max_tokens < 1:
        raise Refusal(
            RefusalCode.MALFORMED,
            'input.max_tokens must be an integer of at least 1',
        )


def cancelled_refusal(call: LiveCall) -> Refusal:
    """Return the refusal of a call that was cancelled by its program's end."""
    outcome = Outcome.RAN if call.running else Outcome.NOT_RUN
    return Refusal(RefusalCode.CANCELLED, 'the program was ended', outcome)
