"""Scripted programs: calls that a scenario makes one by one."""

import asyncio
from typing import Any, NamedTuple

from pollenwalk.errors import ConnectionLost, Refusal
from standin.caller import Caller, GaveUp, Step

VIEW_PAUSE_MS = 200


class Ending(NamedTuple):
    """How a scripted call ended: an answer or a refusal."""

    answer: dict[str, Any] | None
    refusal: Refusal | None


class ScriptedProgram(Caller):
    """A program whose calls are given by a script."""

    def __init__(self, *parts: Any) -> None:
        """Start with no calls."""
        super().__init__(*parts)
        self.endings: dict[str, asyncio.Future[Ending]] = {}
        self.tags: dict[str, str] = {}
        self.last_refusal: Refusal | None = None

    async def begin(
        self, declaration: str, budget: int | None, parent: str | None
    ) -> None:
        """Begin the program."""
        self.tally.begun += 1
        await self.insist_begin(declaration, budget, parent)
        self.tally.programs.append(self.program)

    async def insist_begin(
        self,
        declaration: str,
        budget: int | None,
        parent: str | None,
    ) -> None:
        """Ask until the program has begun."""
        spec = self.begin_spec(declaration, budget, parent)
        view = await self.insist(lambda: self.client.begin(spec), self.name)
        self.program = view['id']
        self.tally.budgets[self.program] = view['budget']['limit']

    def send(self, label: str, step: Step) -> asyncio.Future[Ending]:
        """Make a call in the background."""
        self.tags[label] = f'{self.name}#{self.sequence + 1}'
        ending = asyncio.ensure_future(self.run_call(step))
        self.endings[label] = ending
        return ending

    async def run_call(self, step: Step) -> Ending:
        """Make a call and keep how it ended."""
        try:
            return Ending(await self.make_call(step), None)
        except GaveUp:
            return Ending(None, self.last_refusal)

    async def take_refusal(self, refusal: Refusal, tag: str) -> None:
        """Keep the last refusal for expectations."""
        self.last_refusal = refusal
        await super().take_refusal(refusal, tag)

    async def confirmed_view(self) -> dict[str, Any]:
        """Read the program until its owner has confirmed what it shows."""
        while True:
            view = await self.insist(
                lambda: self.client.view(self.program),
                f'{self.name}/view',
            )
            if view['confirmed']:
                return view
            await self.clock.sleep_ms(VIEW_PAUSE_MS)

    async def compare_history(self) -> None:
        """Compare the history that pollenwalk keeps with the caller's.

        Calls whose outcome the caller was never told may be in it.
        """
        self.verify()
        try:
            view = await self.confirmed_view()
        except (GaveUp, ConnectionLost):
            return
        kept = [(one['role'], one['content']) for one in view['history']]
        missing = [tuple(one) for one in self.history if tuple(one) not in kept]
        if missing:
            self.tally.history_lost.append(f'{self.name} misses {missing[0]}')
