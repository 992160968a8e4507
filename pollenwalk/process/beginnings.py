"""Beginning programs: keys, ids, and the limits of callers and parents."""

import asyncio
from typing import NamedTuple

from pollenwalk.connection.wire import BeginProgram
from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.policy.program_admission import has_capacity
from pollenwalk.process.ids import new_program_id
from pollenwalk.process.owner_interface import OwnerInterface
from pollenwalk.process.recorder import store_unavailable
from pollenwalk.program.budget import Budget
from pollenwalk.program.live import LiveProgram
from pollenwalk.program.program import Program
from pollenwalk.program.records import Begun, Claimed, Record
from pollenwalk.version.resources import ProgramSpec

BEGIN_WAIT_MS = 2000
RETRY_AFTER_MS = 1000
ADMISSION_RETRY_MS = (500, 2000)
KEY_RETAIN_MS = 600_000


class Beginning(NamedTuple):
    """A program whose first record is on its way."""

    program: str
    task: asyncio.Task[None]


class Beginnings:
    """Programs that begin at one home, and keys that it settles."""

    def __init__(self, owner: OwnerInterface) -> None:
        """Begin programs at `home`."""
        self.owner = owner
        self.context = owner.context
        self.beginning: dict[tuple[str, str], Beginning] = {}
        self.claiming: dict[tuple[str, str], asyncio.Task[None]] = {}
        self.claimed_ms: dict[tuple[str, str], float] = {}

    async def begin(self, request: BeginProgram) -> Program:
        """Begin a program; a repeat with the same key gives the same one.

        Raises:
            Refusal: it is not declared, or a limit or budget forbids it.
        """
        known = self.known(request)
        if known is not None:
            return self.repeated(known, request)
        self.owner.check_open()
        spec = self.context.config.program(request.declaration)
        if spec is None:
            raise Refusal(
                RefusalCode.UNKNOWN_DECLARATION,
                f'no program is declared as {request.declaration!r}',
            )
        identity = (request.caller, request.key or request.program)
        beginning = self.beginning.get(identity)
        if beginning is None:
            beginning = self.begin_new(request, spec)
        await self.durable(beginning.task)
        return self.begun(beginning.program)

    async def durable(self, task: asyncio.Task[None]) -> None:
        """Wait a bounded time for a commit that goes on in any case.

        Raises:
            Refusal: it takes too long.
            Fenced: this home has a successor; ask there.
        """
        try:
            async with self.context.clock.timeout_ms(BEGIN_WAIT_MS):
                await asyncio.shield(task)
        except TimeoutError as error:
            raise store_unavailable() from error

    def begun(self, program_id: str) -> Program:
        """Give a program whose record is durable.

        Raises:
            Refusal: its parent had given its tokens away meanwhile.
        """
        if program_id not in self.owner.table.programs:
            raise Refusal(
                RefusalCode.BUDGET_EXHAUSTED,
                'the parent has too few tokens to give',
            )
        return self.owner.find(program_id).program

    def known(self, request: BeginProgram) -> Program | None:
        """Give the program that was begun with this key or id."""
        table = self.owner.table
        program_id = request.program
        if request.key:
            program_id = table.ids_by_key.get((request.caller, request.key), program_id)
        return table.programs.get(program_id)

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
        known = self.owner.table.claims.get(identity)
        if known or not program:
            return known or ''
        self.owner.check_open()
        task = self.claiming.get(identity)
        if task is None:
            record = Claimed(caller, key, program)
            task = self.owner.tasks.spawn(
                self.context.recorder.commit([record]), 'claim'
            )
            self.claiming[identity] = task
            task.add_done_callback(lambda _: self.claiming.pop(identity, None))
        await self.durable(task)
        self.claimed_ms[identity] = self.context.clock.now_ms()
        return self.owner.table.claims[identity]

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
        return new_program_id(
            incarnation or self.context.incarnation,
            self.context.rng,
        )

    def begin_new(self, request: BeginProgram, spec: ProgramSpec) -> Beginning:
        """Check the limits and start recording a new program."""
        program_id = request.program or self.new_id()
        limit = min(request.budget or spec.budget_tokens, spec.budget_tokens)
        self.check_limits(request, limit)
        record = Begun(
            program_id,
            request.declaration,
            request.caller,
            request.key,
            request.parent or '',
            limit,
            Budget(limit).cap_reserve_ahead(spec.reserve_tokens),
            min(request.deadline_ms or spec.deadline_ms, spec.deadline_ms),
        )
        beginning = Beginning(program_id, self.record(record))
        identity = (request.caller, request.key or program_id)
        self.beginning[identity] = beginning
        beginning.task.add_done_callback(lambda _: self.beginning.pop(identity, None))
        return beginning

    def record(self, record: Begun) -> asyncio.Task[None]:
        """Start to record a beginning, a child's under its parent's lock."""
        recorder = self.context.recorder
        if not record.parent:
            return self.owner.tasks.spawn(recorder.commit([record]), 'begin')
        parent = self.owner.find(record.parent)
        return recorder.record_later(parent, lambda: self.carved(parent, record))

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
            self.check_parent(request.parent, limit)
            return
        self.check_room(request)
        budget = self.context.config.budget(request.caller)
        running = [
            program
            for program in self.owner.table.programs.values()
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

    def check_room(self, request: BeginProgram) -> None:
        """Refuse a new program while its model upstreams are overloaded.

        Raises:
            Refusal: with a time to come back, drawn so that not all come
                back at once.
        """
        spec = self.context.config.program(request.declaration)
        level = self.context.config.priority_level(spec.priority)
        for name in spec.upstreams:
            upstream = self.context.config.upstream(name)
            hosts = self.context.fleet.available_hosts(name)
            if upstream and upstream.kind == 'model' and not has_capacity(hosts, level):
                raise Refusal(
                    RefusalCode.OVERLOADED,
                    f'{name} has too many calls waiting',
                    retry_after_ms=self.context.rng.randint(*ADMISSION_RETRY_MS),
                )

    def check_parent(self, parent_id: str, limit: int) -> None:
        """Check that a parent can give so many tokens.

        Raises:
            Refusal: it has ended, or has too few.
        """
        parent = self.owner.find(parent_id)
        if parent.program.ended or parent.ending:
            raise Refusal(RefusalCode.PROGRAM_ENDED, 'the parent has ended')
        if limit > parent.program.budget.free:
            raise Refusal(
                RefusalCode.BUDGET_EXHAUSTED,
                f'the parent has {parent.program.budget.free} tokens to give',
            )

    def drop_claims(self) -> None:
        """Forget keys whose retention has passed."""
        now_ms = self.context.clock.now_ms()
        for identity in list(self.owner.table.claims):
            claimed_ms = self.claimed_ms.setdefault(identity, now_ms)
            if now_ms - claimed_ms > KEY_RETAIN_MS:
                self.owner.table.claims.pop(identity)
                self.claimed_ms.pop(identity)
