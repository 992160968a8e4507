"""The program owner as seen by its components.

A protocol, so that the components which create, recover and maintain programs
don't import the class that is built from them.
"""

from collections.abc import Coroutine
from typing import Any, Protocol

from pollenwalk.process.tasks import TaskSet
from pollenwalk.program.live import LiveCall, LiveProgram
from pollenwalk.program.program import Program, ProgramTable
from pollenwalk.request.entry_context import EntryContext


class OwnerInterface(Protocol):
    """What creation, recovery and maintenance of programs need of the owner.

    Attributes:
        context: services that all calls of the entry share.
        table: the durable state of the programs.
        tasks: the incarnation's background tasks, those of calls included.
        live: state of the programs that is not durable, by program id.
    """

    context: EntryContext
    table: ProgramTable
    tasks: TaskSet
    live: dict[str, LiveProgram]

    def find(self, program_id: str) -> LiveProgram:
        """Return the live state of a program that this entry owns."""

    def check_accepts_work(self) -> None:
        """Check that new programs and calls can be accepted."""

    async def run(self, live: LiveProgram, call: LiveCall) -> None:
        """Run a call to its end, once all earlier calls have ended."""

    async def end(self, program_id: str) -> Program:
        """End a program and its children."""

    def release(self, program: Program) -> Coroutine[Any, Any, None]:
        """Ask every sidecar that holds engine memory for a program to free it."""

    def drop_claims(self) -> None:
        """Remove key claims that are older than their retention period."""
