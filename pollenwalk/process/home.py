"""The programs whose home this process is.

The home is the one place that orders a program's calls, accounts its budget
and keeps its history and answers.
"""

import asyncio
from collections.abc import AsyncIterator, Iterable, Iterator
from typing import Any

from loguru import logger

from pollenwalk.connection.wire import (
    Answer,
    BeginProgram,
    CallProgram,
    Release,
    Renew,
    Tokens,
)
from pollenwalk.errors import (
    ConnectionLost,
    Fenced,
    Outcome,
    PollenwalkError,
    Refusal,
    RefusalBody,
    RefusalCode,
)
from pollenwalk.process.recorder import store_unavailable
from pollenwalk.process.tasks import TaskSet
from pollenwalk.program.budget import Budget
from pollenwalk.program.history import digest_of, plain_entries
from pollenwalk.program.live import LiveProgram
from pollenwalk.program.program import FinishedCall, Program, ProgramBook
from pollenwalk.program.records import (
    Begun,
    Claimed,
    Dropped,
    Ended,
    Finished,
    Forfeited,
    Intended,
    Record,
    Withdrawn,
)
from pollenwalk.request.call import LiveCall, check_request
from pollenwalk.request.dispatch import Resolver
from pollenwalk.request.execution import Execution, Parts, doubted
from pollenwalk.version.resources import ProgramSpec

BEGIN_WAIT_MS = 2000
RENEW_MS = 5000
RELEASE_TIMEOUT_MS = 2000
RELEASE_ATTEMPTS = 5
SWEEP_MS = 2000
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
PROGRAM_PREFIX = 'p'


def home_of(program_id: str) -> str:
    """Read the home's incarnation off a program's id.

    Raises:
        Refusal: the id is not of our making.
    """
    parts = program_id.split('-')
    if len(parts) != 3 or parts[0] != PROGRAM_PREFIX:
        raise unknown_program(program_id)
    return parts[1]


def unknown_program(program_id: str) -> Refusal:
    """Refuse a program that is not known here."""
    return Refusal(RefusalCode.UNKNOWN_PROGRAM, f'no program {program_id}')


class Home:
    """All programs of one incarnation."""

    def __init__(self, parts: Parts, book: ProgramBook, tasks: TaskSet) -> None:
        """Start with the programs in `book`."""
        self.parts = parts
        self.book = book
        self.tasks = tasks
        self.live: dict[str, LiveProgram] = {}
        self.beginning: dict[tuple[str, str], str] = {}
        self.claiming: dict[tuple[str, str], asyncio.Task[None]] = {}
        self.claimed_ms: dict[tuple[str, str], float] = {}
        self.ended_ms: dict[str, float] = {}
        self.stopping = False
        self.adopting = 0

    def start(self) -> None:
        """Start the background work."""
        self.tasks.spawn(self.parts.recorder.send_settled(self.parts.peers), 'settle')
        self.tasks.spawn(self.renew(), 'renew')
        self.tasks.spawn(self.sweep(), 'sweep')

    def find(self, program_id: str) -> LiveProgram:
        """Give a program of this home.

        Raises:
            Refusal: there is no such program.
        """
        program = self.book.programs.get(program_id)
        if program is None:
            raise unknown_program(program_id)
        live = self.live.get(program_id)
        if live is None or live.program is not program:
            live = LiveProgram(program, self.parts.clock)
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
        if self.parts.recorder.journal.fenced:
            raise sealed()
        if self.parts.recorder.journal.stalled:
            raise store_unavailable()

    async def begin(self, request: BeginProgram) -> Program:
        """Begin a program; a repeat with the same key gives the same one.

        Raises:
            Refusal: it is not declared, or a limit or budget forbids it.
        """
        identity = (request.caller, request.key)
        known = self.book.by_key.get(identity) if request.key else None
        known = known or request.program
        if known in self.book.programs:
            return self.repeated(self.book.programs[known], request)
        self.check_open()
        spec = self.parts.config.program(request.declaration)
        if spec is None:
            raise Refusal(
                RefusalCode.UNKNOWN_DECLARATION,
                f'no program is declared as {request.declaration!r}',
            )
        program_id = self.beginning.get(identity) if request.key else None
        if program_id is None:
            program_id = request.program or self.new_id()
            self.begin_new(program_id, request, spec)
        await self.wait_begun(program_id, request)
        return self.book.programs[program_id]

    async def claim(self, caller: str, key: str, program: str) -> str:
        """Settle which program a key has begun; the first claim wins.

        Args:
            caller: whose key it is.
            key: the caller's key.
            program: the claimed program; empty only asks.

        Returns:
            The program of the key; empty when it has none.

        Raises:
            Refusal: the claim can't be made durable now.
            Fenced: this home has a successor; ask there.
        """
        identity = (caller, key)
        known = self.book.claims.get(identity)
        if known or not program:
            return known or ''
        self.check_open()
        task = self.claiming.get(identity)
        if task is None:
            record = Claimed(caller, key, program)
            task = self.tasks.spawn(self.parts.recorder.commit([record]), 'claim')
            self.claiming[identity] = task
            task.add_done_callback(lambda _: self.claiming.pop(identity, None))
        try:
            async with self.parts.clock.timeout_ms(BEGIN_WAIT_MS):
                await asyncio.shield(task)
        except TimeoutError as error:
            raise store_unavailable() from error
        self.claimed_ms[identity] = self.parts.clock.now_ms()
        return self.book.claims[identity]

    def repeated(self, program: Program, request: BeginProgram) -> Program:
        """Check that a repeat asks for the same program."""
        if program.declaration != request.declaration:
            raise Refusal(
                RefusalCode.KEY_REUSED,
                'the key has begun another program',
            )
        return program

    def new_id(self, incarnation: str = '') -> str:
        """Make a program id that carries its home, this one unless named."""
        number = self.parts.dice.getrandbits(ID_BITS)
        home = incarnation or self.parts.incarnation
        return f'{PROGRAM_PREFIX}-{home}-{number:016x}'

    def begin_new(
        self,
        program_id: str,
        request: BeginProgram,
        spec: ProgramSpec,
    ) -> None:
        """Check the limits and start recording a new program."""
        limit = min(request.budget or spec.budget_tokens, spec.budget_tokens)
        self.check_limits(request, limit)
        record = Begun(
            program_id,
            request.declaration,
            request.caller,
            request.key,
            request.parent or '',
            limit,
            Budget(limit).ahead(spec.reserve_tokens),
            min(request.deadline_ms or spec.deadline_ms, spec.deadline_ms),
        )
        self.beginning[request.caller, request.key or program_id] = program_id
        if request.parent:
            parent = self.find(request.parent)
            self.parts.recorder.record_later(
                parent,
                lambda: self.carved(parent, record),
            )
        else:
            self.tasks.spawn(self.parts.recorder.commit([record]), 'begin')

    def carved(self, parent: LiveProgram, record: Begun) -> list[Record]:
        """Check the parent's budget again under its lock."""
        if record.limit > parent.program.budget.free:
            return []
        return [record]

    def check_limits(self, request: BeginProgram, limit: int) -> None:
        """Check the parent's budget or the caller's.

        Raises:
            Refusal: the new program would go beyond it.
        """
        if request.parent:
            parent = self.find(request.parent)
            if parent.program.ended or parent.ending:
                raise Refusal(RefusalCode.PROGRAM_ENDED, 'the parent has ended')
            if limit > parent.program.budget.free:
                raise Refusal(
                    RefusalCode.BUDGET_EXHAUSTED,
                    f'the parent has {parent.program.budget.free} tokens to give',
                )
            return
        budget = self.parts.config.budget(request.caller)
        running = [
            program
            for program in self.book.programs.values()
            if program.caller == request.caller and not program.ended
        ]
        promised = sum(program.budget.limit for program in running)
        over = len(running) >= budget.concurrent_programs
        if over or promised + limit > budget.tokens:
            raise Refusal(
                RefusalCode.BUDGET_EXHAUSTED,
                f'the limits of {request.caller} are reached',
                retry_after_ms=RETRY_AFTER_MS,
            )

    async def wait_begun(self, program_id: str, request: BeginProgram) -> None:
        """Wait until a program's beginning is durable."""
        journal = self.parts.recorder.journal
        until_ms = self.parts.clock.now_ms() + BEGIN_WAIT_MS
        identity = (request.caller, request.key or program_id)
        while program_id not in self.book.programs:
            if journal.fenced:
                raise sealed()
            if self.parts.clock.now_ms() > until_ms:
                raise store_unavailable()
            if identity not in self.beginning:
                raise Refusal(
                    RefusalCode.BUDGET_EXHAUSTED,
                    'the parent has too few tokens to give',
                )
            await self.parts.clock.sleep_ms(1)
        self.beginning.pop(identity, None)

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
        upstream = self.parts.config.upstream(request.upstream)
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
            await self.parts.recorder.confirm(CONFIRM_WAIT_MS)
        except TimeoutError:
            return False
        return True

    async def answer(self, request: CallProgram) -> AsyncIterator[Tokens | Answer]:
        """Find or start a call and follow it to its end."""
        live = self.find(request.program)
        live.used_ms = self.parts.clock.now_ms()
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
        call = LiveCall(request, self.parts.clock)
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
        spec = self.parts.config.program(live.program.declaration)
        upstream = self.parts.config.upstream(request.upstream)
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
        spec = self.parts.config.program(live.program.declaration)
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
            await live.take_turn(call)
            call.finish(await Execution(self.parts, live, call).run())
        except PollenwalkError as error:
            call.refuse(error)
        finally:
            if not call.done.done():
                call.refuse(cancelled(call) if live.ending else sealed())
            live.calls.pop(call.request.key, None)
            live.tasks.pop(call.request.key, None)
            live.used_ms = self.parts.clock.now_ms()
            live.notify()

    def abandon(self) -> None:
        """Let all calls go on at the successor: nothing counts here now."""
        for live in self.live.values():
            for call in list(live.calls.values()):
                call.refuse(sealed())
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
        live.notify()
        for child in self.children(program_id):
            await self.end(child.id)
        cut_short = any(call.running for call in live.calls.values())
        await self.stop_calls(live)
        records: list[Record] = [Ended(program_id)]
        if cut_short:
            records.insert(0, Forfeited(program_id))
        await self.parts.recorder.record(live, lambda: records, BEGIN_WAIT_MS)
        self.tasks.spawn(self.release(live.program), 'release')
        return live.program

    def children(self, program_id: str) -> list[Program]:
        """Give the sub-agents of a program that still run."""
        return [
            program
            for program in self.book.programs.values()
            if program.parent == program_id and not program.ended
        ]

    async def stop_calls(self, live: LiveProgram) -> None:
        """Cancel running calls that may be repeated, wait for the others."""
        for key, task in list(live.tasks.items()):
            if key not in live.program.intents:
                task.cancel()
        while live.calls:
            await live.wait_change(SWEEP_MS)

    async def release(self, program: Program) -> None:
        """Ask every sidecar that holds memory to return it.

        A sidecar that can't be reached returns it when the lease lapses.
        """
        pending = list(program.holders)
        for _ in range(RELEASE_ATTEMPTS):
            pending = [
                address
                for address in pending
                if not await self.released(address, program.id)
            ]
            if not pending:
                return
            await self.parts.clock.sleep_ms(RELEASE_TIMEOUT_MS)

    async def released(self, address: str, program_id: str) -> bool:
        """Ask one sidecar; tell whether it has returned the memory."""
        try:
            await self.parts.peers(address).ask(
                Release([program_id]),
                RELEASE_TIMEOUT_MS,
            )
        except (ConnectionLost, Refusal):
            return False
        return True

    async def renew(self) -> None:
        """Renew the leases on engine memory, one message a sidecar."""
        while True:
            for address, programs in self.holdings().items():
                self.tasks.spawn(self.renew_at(address, programs), 'renew_at')
            await self.parts.clock.sleep_ms(RENEW_MS)

    def holdings(self) -> dict[str, list[str]]:
        """Give the running programs by the sidecars that hold for them."""
        holdings: dict[str, list[str]] = {}
        for program in self.book.programs.values():
            if program.ended:
                continue
            for address in program.holders:
                holdings.setdefault(address, []).append(program.id)
        return holdings

    async def renew_at(self, address: str, programs: list[str]) -> None:
        """Renew at one sidecar; a lost message only shortens the lease."""
        try:
            await self.parts.peers(address).ask(Renew(programs), RENEW_MS)
        except (ConnectionLost, Refusal):
            logger.debug('renew_lost', address=address)

    async def sweep(self) -> None:
        """End idle programs and drop ended ones after their retention."""
        while True:
            await self.parts.clock.sleep_ms(SWEEP_MS)
            self.drop_claims()
            for program in list(self.book.programs.values()):
                await self.sweep_one(program)

    def drop_claims(self) -> None:
        """Forget keys whose retention has passed."""
        now_ms = self.parts.clock.now_ms()
        for identity in list(self.book.claims):
            claimed_ms = self.claimed_ms.setdefault(identity, now_ms)
            if now_ms - claimed_ms > RETAIN_MS:
                self.book.claims.pop(identity)
                self.claimed_ms.pop(identity)

    async def sweep_one(self, program: Program) -> None:
        """End or drop one program if it is time."""
        now_ms = self.parts.clock.now_ms()
        live = self.find(program.id)
        spec = self.parts.config.program(program.declaration) or ProgramSpec([])
        try:
            if not program.ended:
                if not live.calls and now_ms - live.used_ms > spec.idle_ms:
                    await self.end(program.id)
                return
            ended_ms = self.ended_ms.setdefault(program.id, now_ms)
            if now_ms - ended_ms > RETAIN_MS:
                await self.drop(live)
        except PollenwalkError as error:
            logger.debug('sweep_put_off', program=program.id, reason=str(error))

    async def drop(self, live: LiveProgram) -> None:
        """Forget an ended program."""
        program_id = live.program.id
        await self.parts.recorder.record(
            live,
            lambda: [Dropped(program_id)],
            BEGIN_WAIT_MS,
        )
        self.live.pop(program_id, None)
        self.ended_ms.pop(program_id, None)

    def recover(self, programs: Iterable[Program]) -> None:
        """Find out what became of the intents of adopted programs."""
        for program in programs:
            live = self.find(program.id)
            live.doubtful = program.next_sequence
            for intent in list(program.intents.values()):
                call = LiveCall(request_of(intent), self.parts.clock)
                live.calls[intent.key] = call
                live.tasks[intent.key] = self.tasks.spawn(
                    self.recover_call(live, call, intent),
                    'recover',
                )
            if program.ended:
                self.tasks.spawn(self.release(program), 'release')

    async def recover_call(
        self,
        live: LiveProgram,
        call: LiveCall,
        intent: Intended,
    ) -> None:
        """Ask the sidecar that an intent names, and never dispatch again."""
        resolver = Resolver(
            self.parts.peers(intent.address),
            self.parts.clock,
            intent.boot,
        )
        until_ms = self.parts.clock.now_ms() + RECOVERY_MS
        try:
            answer = await resolver.resolve(call, intent.incarnation, until_ms)
            if answer is None:
                await self.withdraw(live, call, intent)
            else:
                await self.recovered(live, call, intent, answer)
        except Refusal as refusal:
            await self.recovered(live, call, intent, refusal)
        except PollenwalkError as error:
            call.refuse(error)
        finally:
            live.calls.pop(intent.key, None)
            live.tasks.pop(intent.key, None)
            live.notify()

    async def withdraw(
        self,
        live: LiveProgram,
        call: LiveCall,
        intent: Intended,
    ) -> None:
        """Record that an intent was proven not to have run.

        Where a caller waits for it, the call is then run for the first time.
        """
        await self.parts.recorder.record(
            live,
            lambda: [Withdrawn(intent.program, intent.key)],
        )
        if call.stream.followers:
            call.finish(await Execution(self.parts, live, call).run())
            return
        call.refuse(
            Refusal(
                RefusalCode.CANCELLED,
                'its entry died before the call was handed over',
                retry_after_ms=0,
            ),
        )

    async def recovered(
        self,
        live: LiveProgram,
        call: LiveCall,
        intent: Intended,
        ending: Answer | Refusal,
    ) -> None:
        """Record how a call of a dead home ended."""
        answer = ending if isinstance(ending, Answer) else None
        refusal = ending if isinstance(ending, Refusal) else None
        if refusal is not None and refusal.outcome == Outcome.NOT_RUN:
            await self.withdraw(live, call, intent)
            return
        entries = []
        if answer is not None:
            entries = plain_entries(intent.operation, intent.argument, answer)
        record = Finished(
            intent.program,
            intent.key,
            intent.sequence,
            intent.digest,
            intent.upstream,
            intent.operation,
            answer,
            RefusalBody.of(refusal) if refusal else None,
            entries,
            0,
            live.program.budget.reserved,
            '',
        )
        await self.parts.recorder.record(live, lambda: [record])
        self.parts.recorder.settle(intent.address, call.id)
        call.finish(live.program.finished[intent.key])


def request_of(intent: Intended) -> CallProgram:
    """Rebuild the request that an intent stands for."""
    return CallProgram(
        intent.program,
        intent.key,
        intent.sequence,
        intent.upstream,
        intent.operation,
        intent.argument,
        deadline_in_ms=RECOVERY_MS,
    )


def replayed_tokens(finished: FinishedCall, offset: int) -> Iterator[Tokens]:
    """Give a kept model answer as tokens, for a stream from the beginning."""
    text = finished.answer.output.get('text') if finished.answer else None
    if isinstance(text, str) and text and not offset:
        yield Tokens(0, [text])


def sealed() -> Fenced:
    """Send a caller's request on to the successor."""
    return Fenced('this home has a successor')


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


__all__ = ('Home', 'digest_of', 'home_of')
