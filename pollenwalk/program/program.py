"""The durable state of programs and how journal records change it."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from pollenwalk.connection.call_messages import Answer, HistoryItem
from pollenwalk.errors import RefusalBody
from pollenwalk.program.budget import Budget
from pollenwalk.program.history import History
from pollenwalk.program.records import (
    Begun,
    Claimed,
    Dropped,
    Ended,
    Finished,
    Forfeited,
    Intended,
    Record,
    Reserved,
    Snapshot,
    Withdrawn,
)


class FinishedCall(NamedTuple):
    """A finished call; its answer or refusal is kept and returned to repeats.

    The fields are those of `Finished` with the same names.
    """

    key: str
    sequence: int
    digest: str
    upstream: str
    operation: str
    answer: Answer | None
    refusal: RefusalBody | None


class ProgramState(NamedTuple):
    """The state of a program as a snapshot stores it.

    The fields are those of `Program` with the same names; `entries` are the
    items of its history.
    """

    declaration: str
    caller: str
    key: str
    parent: str
    deadline_ms: int
    budget: Budget
    next_sequence: int
    ended: bool
    entries: list[HistoryItem]
    finished: list[FinishedCall]
    intents: list[Intended]
    engine_sidecars: list[str]
    uncertain: bool = False


class Program:
    """The durable state of one program at its owner.

    Attributes:
        id: the program's id.
        declaration: name of the declared program that it runs.
        caller: the caller that began it.
        key: the caller's idempotency key; empty if it gave none.
        parent: id of the parent program; empty if it has none.
        deadline_ms: the longest time that the whole program may take.
        budget: tokens that it has spent, reserved and left.
        next_sequence: sequence number of the next call in order.
        ended: whether the program has ended.
        history: the items that its calls have added.
        finished: finished calls, by the caller's key.
        intents: non-idempotent calls that were handed to a sidecar, or were
            about to be, and have not finished; by the caller's key.
        engine_sidecars: addresses of the sidecars whose engines hold memory
            for the program, as the keys of an ordered set.
        uncertain: whether the last records were lost with the owner and all
            its witnesses, so that a call may have run that is not recorded.
    """

    def __init__(self, program_id: str, begun: Begun) -> None:
        """Start from the record with which the program began."""
        self.id = program_id
        self.declaration = begun.declaration
        self.caller = begun.caller
        self.key = begun.key
        self.parent = begun.parent
        self.deadline_ms = begun.deadline_ms
        self.budget = Budget(begun.limit).reserve(begun.reserve)
        self.next_sequence = 1
        self.ended = False
        self.history = History()
        self.finished: dict[str, FinishedCall] = {}
        self.intents: dict[str, Intended] = {}
        self.engine_sidecars: dict[str, None] = {}
        self.uncertain = False

    def state(self) -> ProgramState:
        """Return the state for a snapshot."""
        return ProgramState(
            self.declaration,
            self.caller,
            self.key,
            self.parent,
            self.deadline_ms,
            self.budget,
            self.next_sequence,
            self.ended,
            list(self.history.items),
            list(self.finished.values()),
            list(self.intents.values()),
            list(self.engine_sidecars),
            self.uncertain,
        )

    @classmethod
    def restore(cls, program_id: str, state: ProgramState) -> 'Program':
        """Rebuild a program from a snapshot's state."""
        begun = Begun(
            program_id,
            state.declaration,
            state.caller,
            state.key,
            state.parent,
            state.budget.limit,
            0,
            state.deadline_ms,
        )
        program = cls(program_id, begun)
        program.budget = state.budget
        program.next_sequence = state.next_sequence
        program.ended = state.ended
        program.history.extend(state.entries)
        program.finished = {call.key: call for call in state.finished}
        program.intents = {intent.key: intent for intent in state.intents}
        program.engine_sidecars = dict.fromkeys(state.engine_sidecars)
        program.uncertain = state.uncertain
        return program

    def finish(self, record: Finished) -> None:
        """Keep a call's final answer or refusal and advance `next_sequence`."""
        self.intents.pop(record.key, None)
        # The fields from `key` to `refusal`.
        self.finished[record.key] = FinishedCall(*record[1:8])
        self.next_sequence = max(self.next_sequence, record.sequence + 1)
        self.history.extend(record.entries)
        self.budget = self.budget.settle(record.spent, record.reserve)
        if record.engine_sidecar:
            self.engine_sidecars[record.engine_sidecar] = None


def snapshot_of(program: Program, origin: str = '') -> Snapshot:
    """Make the record that replaces all earlier ones of a program.

    Args:
        program: the program.
        origin: the incarnation that it is taken over from; empty for the
            owner's own program.
    """
    return Snapshot(
        program.id,
        origin,
        msgspec.to_builtins(program.state()),
    )


class ProgramTable:
    """All programs of one owner; only records change them.

    Attributes:
        programs: by program id.
        ids_by_key: program ids, by caller and the caller's key.
        claims: ids of the programs that idempotency keys belong to, by caller
            and key; another owner may have the program.
    """

    def __init__(self) -> None:
        """Start without programs."""
        self.programs: dict[str, Program] = {}
        self.ids_by_key: dict[tuple[str, str], str] = {}
        self.claims: dict[tuple[str, str], str] = {}

    def apply(self, record: Record) -> None:
        """Apply a record; those of unknown programs are ignored."""
        if isinstance(record, Begun):
            self.begin(record)
            return
        if isinstance(record, Claimed):
            self.claims.setdefault((record.caller, record.key), record.program)
            return
        if isinstance(record, Snapshot):
            state = msgspec.convert(record.state, ProgramState)
            self.add(Program.restore(record.program, state))
            return
        program = self.programs.get(getattr(record, 'program', ''))
        if program is not None:
            APPLIERS[type(record)](self, program, record)

    def begin(self, record: Begun) -> None:
        """Add a program and allocate its budget from its parent's."""
        parent = self.programs.get(record.parent)
        if parent is not None:
            parent.budget = parent.budget.allocate_to_child(record.limit)
        self.add(Program(record.program, record))

    def add(self, program: Program) -> None:
        """Add a program, or replace the one with the same id."""
        self.programs[program.id] = program
        if program.key:
            self.ids_by_key[program.caller, program.key] = program.id

    def merge(self, other: 'ProgramTable') -> None:
        """Add all programs and claims of another owner's table.

        Claims that this table has already are kept.
        """
        for program in other.programs.values():
            self.add(program)
        for caller_key, program_id in other.claims.items():
            self.claims.setdefault(caller_key, program_id)

    def end(self, program: Program) -> None:
        """End a program and return its unspent tokens to its parent.

        What is allocated to children that still run counts as spent.
        """
        if program.ended:
            return
        program.ended = True
        program.budget = program.budget.settle(0, 0)
        parent = self.programs.get(program.parent)
        if parent is not None:
            parent.budget = parent.budget.reclaim_from_child(
                program.budget.limit,
                program.budget.spent + program.budget.child_allocations,
            )

    def remove(self, program: Program) -> None:
        """Remove a program."""
        self.programs.pop(program.id, None)
        self.ids_by_key.pop((program.caller, program.key), None)

    def set_budget(self, program: Program, budget: Budget) -> None:
        """Replace a program's budget."""
        program.budget = budget


Applier = Callable[[ProgramTable, Program, Any], None]
APPLIERS: dict[type[Any], Applier] = {
    Reserved: lambda table, program, record: table.set_budget(
        program,
        program.budget.reserve(record.amount),
    ),
    Forfeited: lambda table, program, record: table.set_budget(
        program,
        program.budget.forfeit(),
    ),
    Intended: lambda table, program, record: program.intents.update(
        {record.key: record},
    ),
    Withdrawn: lambda table, program, record: program.intents.pop(
        record.key,
        None,
    ),
    Finished: lambda table, program, record: program.finish(record),
    Ended: lambda table, program, record: table.end(program),
    Dropped: lambda table, program, record: table.remove(program),
}
