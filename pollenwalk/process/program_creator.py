"""Creates programs: idempotency keys, ids, and limits of callers and parents."""

import asyncio
from typing import NamedTuple

from pollenwalk.connection.program_messages import BeginProgram
from pollenwalk.errors import Outcome, Refusal, RefusalCode
from pollenwalk.policy.program_admission import has_capacity
from pollenwalk.process.owner_interface import OwnerInterface
from pollenwalk.process.program_ids import new_program_id
from pollenwalk.process.recorder import store_unavailable
from pollenwalk.program.budget import Budget
from pollenwalk.program.live import LiveProgram
from pollenwalk.program.program import Program
from pollenwalk.program.records import Begun, Claimed, Record
from pollenwalk.version.resources import ProgramSpec

COMMIT_TIMEOUT_MS = 2000
RETRY_AFTER_MS = 1000
ADMISSION_RETRY_MS = (500, 2000)
CLAIM_RETENTION_MS = 600_000


class PendingProgram(NamedTuple):
    """A program whose first record is not yet durable.

    Attributes:
        program: its id.
        task: commits the record.
    """

    program: str
    task: asyncio.Task[None]


class ProgramCreator:
    """Creates the programs of one owner and records which keys are in use.

    Attributes:
        pending: programs that are being created, by caller and key, or by
            caller and id if the request has no key.
        pending_claims: the commits of claims that are not yet durable, by
            caller and key.
        claimed_ms: when each claim became durable or, if that was not noted
            here, was first seen by `drop_claims`.
    """

    def __init__(self, owner: OwnerInterface) -> None:
        """Create programs for `owner`."""
        self.owner = owner
        self.context = owner.context
        self.pending: dict[tuple[str, str], PendingProgram] = {}
        self.pending_claims: dict[tuple[str, str], asyncio.Task[None]] = {}
        self.claimed_ms: dict[tuple[str, str], float] = {}

    async def create(self, request: BeginProgram) -> Program:
        """Create a program, or return the one that has the request's key.

        Raises:
            Refusal: the entry accepts no new programs now, the program is not
                declared, its key was used for another declaration, a limit or
                budget is exceeded, an upstream is overloaded, or the record
                did not become durable in time.
            Fenced: a successor has sealed the journal; retry there.
        """
        existing = self.find_existing(request)
        if existing is not None:
            return self.check_repeat(existing, request)
        spec = self.context.config.program(request.declaration)
        if spec is None:
            raise Refusal(
                RefusalCode.UNKNOWN_DECLARATION,
                f'no program is declared as {request.declaration!r}',
            )
        identity = (request.caller, request.key or request.program)
        pending_program = self.pending.get(identity)
        if pending_program is None:
            self.owner.check_accepts_work()
            pending_program = self.create_new(request, spec)
        await self.wait_durable(pending_program.task)
        return self.created_program(pending_program.program)

    async def wait_durable(self, task: asyncio.Task[None]) -> None:
        """Wait for a commit, which continues in the background after a timeout.

        Raises:
            Refusal: it took longer than `COMMIT_TIMEOUT_MS`; the outcome is
                unknown.
            Fenced: a successor has sealed the journal; retry there.
        """
        try:
            async with self.context.clock.timeout_ms(COMMIT_TIMEOUT_MS):
                await asyncio.shield(task)
        except TimeoutError as error:
            raise store_unavailable(Outcome.UNKNOWN) from error

    def created_program(self, program_id: str) -> Program:
        """Return a program whose commit has ended.

        Raises:
            Refusal: it was not created, as its parent had spent or given away
                the tokens before the commit.
        """
        if program_id not in self.owner.table.programs:
            raise Refusal(
                RefusalCode.BUDGET_EXHAUSTED,
                'the parent has too few free tokens',
            )
        return self.owner.find(program_id).program

    def find_existing(self, request: BeginProgram) -> Program | None:
        """Return the program that was created with this key or id."""
        table = self.owner.table
        program_id = request.program
        if request.key:
            program_id = table.ids_by_key.get((request.caller, request.key), program_id)
        return table.programs.get(program_id)

    async def claim(self, caller: str, key: str, program: str) -> str:
        """Record which program an idempotency key creates; the first claim wins.

        Args:
            caller: the caller whose key it is.
            key: the idempotency key.
            program: id of the claimed program; empty to look up only.

        Returns:
            The id of the key's program, or an empty string if it has none.

        Raises:
            Refusal: the claim can't be made durable now.
            Fenced: a successor has sealed the journal; retry there.
        """
        identity = (caller, key)
        existing = self.owner.table.claims.get(identity)
        if existing or not program:
            return existing or ''
        self.owner.check_accepts_work()
        task = self.pending_claims.get(identity)
        if task is None:
            record = Claimed(caller, key, program)
            task = self.owner.tasks.spawn(
                self.context.recorder.commit([record]), 'claim'
            )
            self.pending_claims[identity] = task
            task.add_done_callback(lambda _: self.pending_claims.pop(identity, None))
        await self.wait_durable(task)
        self.claimed_ms[identity] = self.context.clock.now_ms()
        return self.owner.table.claims[identity]

    def check_repeat(self, program: Program, request: BeginProgram) -> Program:
        """Check that a repeated key comes with the same declaration.

        Raises:
            Refusal: the key was used for another declaration.
        """
        if program.declaration != request.declaration:
            raise Refusal(
                RefusalCode.KEY_REUSED,
                'the key was used to create another program',
            )
        return program

    def new_id(self, incarnation: str = '') -> str:
        """Return a new program id, which contains its first owner's incarnation.

        Args:
            incarnation: the first owner; empty for this entry.
        """
        return new_program_id(
            incarnation or self.context.incarnation,
            self.context.rng,
        )

    def create_new(self, request: BeginProgram, spec: ProgramSpec) -> PendingProgram:
        """Check the limits and start to commit the record of a new program."""
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
            Budget(limit).cap_advance_reservation(spec.reserve_tokens),
            min(request.deadline_ms or spec.deadline_ms, spec.deadline_ms),
        )
        pending_program = PendingProgram(program_id, self.record_creation(record))
        identity = (request.caller, request.key or program_id)
        self.pending[identity] = pending_program
        pending_program.task.add_done_callback(
            lambda _: self.pending.pop(identity, None)
        )
        return pending_program

    def record_creation(self, record: Begun) -> asyncio.Task[None]:
        """Start to commit a program's first record, a child's under its parent's lock."""
        recorder = self.context.recorder
        if not record.parent:
            return self.owner.tasks.spawn(recorder.commit([record]), 'begin')
        parent = self.owner.find(record.parent)
        return recorder.record_later(
            parent, lambda: self.records_within_budget(parent, record)
        )

    def records_within_budget(self, parent: LiveProgram, record: Begun) -> list[Record]:
        """Return the record to commit, or nothing if the parent lacks the tokens.

        Called under the parent's lock, as its budget may have changed since
        the limits were checked.
        """
        if record.limit > parent.program.budget.free:
            return []
        return [record]

    def check_limits(self, request: BeginProgram, limit: int) -> None:
        """Check a child against its parent's budget, others against the caller's.

        Raises:
            Refusal: a budget would be exceeded, or the upstreams are overloaded.
        """
        if request.parent:
            self.check_parent(request.parent, limit)
            return
        self.check_load(request)
        budget = self.context.config.budget(request.caller)
        running = [
            program
            for program in self.owner.table.programs.values()
            if program.caller == request.caller and not program.ended
        ]
        granted = sum(program.budget.limit for program in running)
        over = len(running) >= budget.concurrent_programs
        if over or granted + limit > budget.tokens:
            raise Refusal(
                RefusalCode.BUDGET_EXHAUSTED,
                f'the program or token limit of {request.caller} is reached',
                retry_after_ms=RETRY_AFTER_MS,
            )

    def check_load(self, request: BeginProgram) -> None:
        """Check that all model upstreams have capacity for a program's priority.

        Raises:
            Refusal: one is overloaded. The retry delay is random, so that
                callers don't all retry at once.
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
        """Check that a parent is running and has `limit` free tokens.

        Raises:
            Refusal: it has ended, or has too few tokens.
        """
        parent = self.owner.find(parent_id)
        if parent.program.ended or parent.ending:
            raise Refusal(RefusalCode.PROGRAM_ENDED, 'the parent has ended')
        if limit > parent.program.budget.free:
            raise Refusal(
                RefusalCode.BUDGET_EXHAUSTED,
                f'the parent has only {parent.program.budget.free} free tokens',
            )

    def drop_claims(self) -> None:
        """Remove key claims that are older than `CLAIM_RETENTION_MS`.

        The age of an adopted claim counts from its first check here.
        """
        now_ms = self.context.clock.now_ms()
        for identity in list(self.owner.table.claims):
            claimed_ms = self.claimed_ms.setdefault(identity, now_ms)
            if now_ms - claimed_ms > CLAIM_RETENTION_MS:
                self.owner.table.claims.pop(identity)
                self.claimed_ms.pop(identity)
