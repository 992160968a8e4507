"""The programs whose home this process is.

The home is the one place that orders a program's calls, accounts its budget
and keeps its history and answers.
"""

from collections.abc import AsyncIterator, Coroutine, Iterator
from typing import Any

from pollenwalk.connection.wire import Answer, CallProgram, Tokens
from pollenwalk.errors import (
    Outcome,
    PollenwalkError,
    Refusal,
    RefusalCode,
    fenced_error,
)
from pollenwalk.process.beginnings import Beginnings
from pollenwalk.process.ids import unknown_program
from pollenwalk.process.recorder import store_unavailable
from pollenwalk.process.recovery import Recovery
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.upkeep import Upkeep
from pollenwalk.program.live import LiveProgram
from pollenwalk.program.program import FinishedCall, Program, ProgramTable
from pollenwalk.program.records import Ended, Forfeited, Record
from pollenwalk.request.call import LiveCall, check_request
from pollenwalk.request.entry_context import EntryContext
from pollenwalk.request.execution import Execution, doubted

END_WAIT_MS = 2000
RENEW_MS = 5000
RELEASE_TIMEOUT_MS = 2000
RELEASE_ATTEMPTS = 5
STOP_CHECK_MS = 2000
RETAIN_MS = 600_000
RECOVERY_MS = 30_000
RETRY_AFTER_MS = 1000
CONFIRM_WAIT_MS = 1000
ABOUT_FORM = frozenset(
    (
        RefusalCode.MALFORMED,
        RefusalCode.KEY_MISSING,
        RefusalCode.KEY_REUSED,
    )
)
ID_BITS = 64


class ProgramOwner:
    """All programs of one incarnation."""

    def __init__(
        self, context: EntryContext, table: ProgramTable, tasks: TaskSet
    ) -> None:
        """Start with the programs in `table`."""
        self.context = context
        self.table = table
        self.tasks = tasks
        self.live: dict[str, LiveProgram] = {}
        self.stopping = False
        self.adopting = 0
        self.beginnings = Beginnings(self)
        self.recovery = Recovery(self)
        self.upkeep = Upkeep(self)

    def start(self) -> None:
        """Start the background work."""
        self.tasks.spawn(
            self.context.recorder.send_settlements(self.context.peers), 'settle'
        )
        self.upkeep.start()

    def release(self, program: Program) -> Coroutine[Any, Any, None]:
        """Ask every sidecar that holds a program's memory to return it."""
        return self.upkeep.release(program)

    def drop_claims(self) -> None:
        """Forget keys whose retention has passed."""
        self.beginnings.drop_claims()

    def find(self, program_id: str) -> LiveProgram:
        """Give a program of this home.

        Raises:
            Refusal: there is no such program.
        """
        program = self.table.programs.get(program_id)
        if program is None:
            raise unknown_program(program_id)
        live = self.live.get(program_id)
        if live is None or live.program is not program:
            live = LiveProgram(program, self.context.clock)
            self.live[program_id] = live
        return live

    def check_open(self) -> None:
        """Refuse new work while stopping or while nothing can be recorded."""
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
        """Run a call, or attach to it, or replay its kept answer.

        Yields:
            Tokens as they come, and the answer last.

        Raises:
            Refusal: with an outcome that tells whether the call ran.
            Fenced: this home has a successor; ask there.
        """
        check_request(request)
        try:
            async for item in self.answer(request):
                yield item
        except Refusal as refusal:
            if await self.vouches(refusal, request):
                raise
            raise doubted(refusal) from refusal

    async def vouches(self, refusal: Refusal, request: CallProgram) -> bool:
        """Tell whether a refusal's 'not run' is surely true.

        A successor may have run the very call that is refused here, or an
        earlier try of a call that may be repeated may have run.

        Raises:
            Fenced: this home has a successor; ask there.
        """
        if refusal.outcome != Outcome.NOT_RUN or refusal.code in ABOUT_FORM:
            return True
        live = self.live.get(request.program)
        upstream = self.context.config.upstream(request.upstream)
        repeatable = upstream is not None and (request.operation in upstream.idempotent)
        if repeatable and live is not None and live.may_have_run(request):
            return False
        return await self.confirmed()

    async def confirmed(self) -> bool:
        """Tell whether this home surely still owns its programs.

        Raises:
            Fenced: this home has a successor; ask there.
        """
        try:
            await self.context.recorder.confirm_ownership(CONFIRM_WAIT_MS)
        except TimeoutError:
            return False
        return True

    async def answer(self, request: CallProgram) -> AsyncIterator[Tokens | Answer]:
        """Find or start a call and follow it to its end."""
        live = self.find(request.program)
        live.last_used_ms = self.context.clock.now_ms()
        call = self.attach(live, request)
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

    def attach(
        self,
        live: LiveProgram,
        request: CallProgram,
    ) -> LiveCall | FinishedCall:
        """Find the call of a key, or accept it as a new one."""
        call = LiveCall(request, self.context.clock)
        known = live.calls.get(request.key)
        finished = live.program.finished.get(request.key)
        if known is not None:
            check_same(known.digest, known.request.sequence, call)
            return known
        if finished is not None:
            check_same(finished.digest, finished.sequence, call)
            return finished
        self.accept(live, call)
        return call

    def accept(self, live: LiveProgram, call: LiveCall) -> None:
        """Check a new call and start its task."""
        self.check_open()
        self.check_declared(live, call.request)
        live.admit(call.request)
        self.check_loops(live, call)
        key = call.request.key
        live.calls[key] = call
        live.tasks[key] = self.tasks.spawn(self.run(live, call), 'call')

    def check_declared(self, live: LiveProgram, request: CallProgram) -> None:
        """Check the upstream and the operation against the declarations."""
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
        """Stop a program that repeats itself or goes on without end."""
        spec = self.context.config.program(live.program.declaration)
        if call.request.sequence > spec.max_calls:
            raise Refusal(
                RefusalCode.LOOP_LIMIT,
                f'a run may make {spec.max_calls} calls',
            )
        recent = list(live.program.finished.values())[-spec.loop_limit :]
        repeats = [one for one in recent if one.digest == call.digest]
        if len(repeats) >= spec.loop_limit:
            raise Refusal(
                RefusalCode.LOOP_LIMIT,
                f'the same call was made {spec.loop_limit} times in a row',
            )

    async def run(self, live: LiveProgram, call: LiveCall) -> None:
        """Run one call from its place in the order to its end."""
        try:
            await live.wait_for_predecessors(call)
            call.finish(await Execution(self.context, live, call).run())
        except PollenwalkError as error:
            call.refuse(error)
        finally:
            if not call.done.done():
                call.refuse(cancelled(call) if live.ending else fenced_error())
            live.calls.pop(call.request.key, None)
            live.tasks.pop(call.request.key, None)
            live.last_used_ms = self.context.clock.now_ms()
            live.notify_waiting_calls()

    def abandon(self) -> None:
        """Let all calls go on at the successor: nothing counts here now."""
        for live in self.live.values():
            for call in list(live.calls.values()):
                call.refuse(fenced_error())
            for task in list(live.tasks.values()):
                task.cancel()

    async def end(self, program_id: str) -> Program:
        """End a program: cancel what may be cancelled, free its memory.

        A non-idempotent call that runs is waited for.
        """
        live = self.find(program_id)
        if live.program.ended:
            return live.program
        live.ending = True
        live.notify_waiting_calls()
        for child in self.children(program_id):
            await self.end(child.id)
        cut_short = any(call.running for call in live.calls.values())
        await self.stop_calls(live)
        records: list[Record] = [Ended(program_id)]
        if cut_short:
            records.insert(0, Forfeited(program_id))
        await self.context.recorder.record(live, lambda: records, END_WAIT_MS)
        self.tasks.spawn(self.upkeep.release(live.program), 'release')
        return live.program

    def children(self, program_id: str) -> list[Program]:
        """Give the sub-agents of a program that still run."""
        return [
            program
            for program in self.table.programs.values()
            if program.parent == program_id and not program.ended
        ]

    async def stop_calls(self, live: LiveProgram) -> None:
        """Cancel running calls that may be repeated, wait for the others."""
        for key, task in list(live.tasks.items()):
            if key not in live.program.intents:
                task.cancel()
        while live.calls:
            await live.wait_for_change(STOP_CHECK_MS)


def replayed_tokens(finished: FinishedCall, offset: int) -> Iterator[Tokens]:
    """Give a kept model answer as tokens, for a stream from the beginning."""
    text = finished.answer.output.get('text') if finished.answer else None
    if isinstance(text, str) and text and not offset:
        yield Tokens(0, [text])


def check_same(digest: str, sequence: int, call: LiveCall) -> None:
    """Check that a repeated key comes with the same request.

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
        Refusal: a part is missing or of the wrong type.
    """
    message = argument.get('message')
    if not isinstance(message, str) or not message:
        raise Refusal(RefusalCode.MALFORMED, 'input.message must be a text')
    wished = argument.get('max_tokens', 1)
    if not isinstance(wished, int) or wished < 1:
        raise Refusal(
            RefusalCode.MALFORMED,
            'input.max_tokens must be a whole number from 1 on',
        )


def cancelled(call: LiveCall) -> Refusal:
    """Describe a call that its program's end cut short."""
    outcome = Outcome.RAN if call.running else Outcome.NOT_RUN
    return Refusal(RefusalCode.CANCELLED, 'the program was ended', outcome)
