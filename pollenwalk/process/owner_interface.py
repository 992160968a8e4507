"""What the parts of a home's work need of the home, and of each other."""

from collections.abc import Coroutine
from typing import Any, Protocol

from pollenwalk.process.tasks import TaskSet
from pollenwalk.program.live import LiveCall, LiveProgram
from pollenwalk.program.program import Program, ProgramTable
from pollenwalk.request.entry_context import EntryContext


class OwnerInterface(Protocol):
    """A home, as those who begin, recover and look after its programs see it.

    Attributes:
        context: what all calls of the entry share.
        table: the programs.
        tasks: the background work.
        live: the programs that are at work.
    """

    context: EntryContext
    table: ProgramTable
    tasks: TaskSet
    live: dict[str, LiveProgram]

    def find(self, program_id: str) -> LiveProgram:
        """Give a program of this home."""

    def check_open(self) -> None:
        """Refuse new work while none can be taken."""

    async def run(self, live: LiveProgram, call: LiveCall) -> None:
        """Run one call from its place in the order to its end."""

    async def end(self, program_id: str) -> Program:
        """End a program."""

    def release(self, program: Program) -> Coroutine[Any, Any, None]:
        """Ask every sidecar that holds a program's memory to return it."""

    def drop_claims(self) -> None:
        """Forget keys whose retention has passed."""
