"""Stand-in callers that run the two deployments' programs.

A caller repeats a request with the same key when it gets no answer or a
refusal that invites it, and notes what it was told; it compares each model
answer with the history it knows.
"""

import contextlib
import random
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, NamedTuple

from pollenwalk.connection.call_messages import Answer, HistoryItem
from pollenwalk.errors import ConnectionLost, Outcome, Refusal
from pollenwalk.process.clock import Clock
from pollenwalk.program.history import model_history_items, service_history_items
from standin.engine import prompt_digest
from standin.entry_client import BeginSpec, CallSpec, EntryClient
from standin.ledger import Ledger

MAX_TRIES = 60
LOST_PAUSE_MS = 200
CHILD_CHANCE = 0.25
CHILD_BUDGET = 400


class Step(NamedTuple):
    """One step of a program.

    Attributes:
        upstream: where to call.
        operation: what to call.
        tokens: tokens of the answer of a model call.
        pause_ms: time before the next step.
        child: whether a sub-agent runs before this step.
    """

    upstream: str
    operation: str
    tokens: int
    pause_ms: float
    child: bool = False


class Story(NamedTuple):
    """What a kind of program does.

    Attributes:
        declaration: name of the declared program.
        model: its model upstream.
        plain: its plain upstream.
        orders: its non-idempotent operations in turn.
        turns: fewest and most turns.
        pause_ms: mean pause between steps.
    """

    declaration: str
    model: str
    plain: str
    orders: tuple[str, ...]
    turns: tuple[int, int]
    pause_ms: float


SPARES = Story(
    'spares-dispatch',
    'advisory',
    'orders',
    ('reserve', 'order', 'refund'),
    (2, 6),
    40.0,
)
TEA_CHEST = Story(
    'tea-chest',
    'appraisal',
    'ledger',
    ('reserve', 'invoice', 'release'),
    (1, 5),
    60.0,
)


def steps_of(story: Story, rng: random.Random) -> Iterator[Step]:
    """Draw a program: its shape is known only as it runs."""
    turns = rng.randint(*story.turns)
    for turn in range(turns):
        tokens = 4 + min(int(rng.expovariate(1 / 12)), 60)
        pause_ms = rng.expovariate(1 / story.pause_ms)
        child = rng.random() < CHILD_CHANCE
        yield Step(story.model, 'chat', tokens, pause_ms, child)
        yield Step(story.plain, 'lookup', 0, 0)
        if rng.random() < 0.7:
            yield Step(story.plain, story.orders[turn % len(story.orders)], 0, 0)


class Tally:
    """What all callers were told."""

    def __init__(self, ledger: Ledger) -> None:
        """Compare each 'not run' with `ledger` as it is told."""
        self.ledger = ledger
        self.false_not_run: list[str] = []
        self.history_lost: list[str] = []
        self.last_word: dict[str, str] = {}
        self.begun = 0
        self.completed = 0
        self.calls = 0
        self.lost: list[str] = []
        self.mixed: list[str] = []
        self.unknown: list[str] = []
        self.refused: list[str] = []
        self.not_run: list[str] = []
        self.answered: dict[str, int] = {}
        self.latency_ms: list[float] = []
        self.programs: list[str] = []
        self.budgets: dict[str, int] = {}
        self.late_tries = 0

    def take_word(self, tag: str, refusal: Refusal) -> None:
        """Note a refusal; a 'not run' must be true when it is told."""
        self.last_word[tag] = str(refusal.outcome)
        if refusal.outcome == Outcome.NOT_RUN:
            self.not_run.append(tag)
            if self.ledger.runs_of(tag):
                self.false_not_run.append(tag)


class MadeCall(NamedTuple):
    """An answered call."""

    tag: str
    spec: CallSpec
    step: Step
    answer: dict[str, Any]


class GaveUp(Exception):
    """A program can't go on."""


class Caller:
    """Runs one program."""

    def __init__(
        self,
        name: str,
        client: EntryClient,
        clock: Clock,
        rng: random.Random,
        tally: Tally,
    ) -> None:
        """Run under a name that no other caller has."""
        self.name = name
        self.client = client
        self.clock = clock
        self.rng = rng
        self.tally = tally
        self.program = ''
        self.sequence = 0
        self.history: list[HistoryItem] = []
        self.specs: dict[str, CallSpec] = {}
        self.made: dict[int, MadeCall] = {}
        self.may_run_short = False

    async def run(self, story: Story, parent: str | None = None) -> None:
        """Run a program from its beginning to its end."""
        begun_ms = self.clock.now_ms()
        self.tally.begun += 1
        try:
            await self.run_steps(story, parent)
        except GaveUp as error:
            self.tally.refused.append(f'{self.name}: {error}')
            await self.leave()
            return
        self.tally.completed += 1
        if parent is None:
            self.tally.latency_ms.append(self.clock.now_ms() - begun_ms)

    async def leave(self) -> None:
        """End a program that can't go on, if it has begun."""
        self.verify()
        if not self.program:
            return
        with contextlib.suppress(GaveUp):
            await self.insist(
                lambda: self.client.end(self.program),
                f'{self.name}/end',
            )

    async def run_steps(self, story: Story, parent: str | None) -> None:
        """Begin, make all calls in turn, and end."""
        budget = CHILD_BUDGET if parent else None
        spec = self.begin_spec(story.declaration, budget, parent)
        view = await self.insist(lambda: self.client.begin(spec), self.name)
        self.program = view['id']
        self.tally.programs.append(self.program)
        self.tally.budgets[self.program] = view['budget']['limit']
        for step in steps_of(story, self.rng):
            if step.child and parent is None:
                await self.run_child(story)
            await self.make_call(step)
            if step.pause_ms:
                await self.clock.sleep_ms(step.pause_ms)
        self.verify()
        await self.insist(lambda: self.client.end(self.program), f'{self.name}/end')

    def begin_spec(
        self,
        declaration: str,
        budget: int | None,
        parent: str | None,
    ) -> BeginSpec:
        """Describe the program's beginning."""
        return BeginSpec(declaration, self.name, self.name, budget, parent)

    async def run_child(self, story: Story) -> None:
        """Run a sub-agent of the same kind, with a share of the budget."""
        name = f'{self.name}.{self.sequence}'
        child = Caller(name, self.client, self.clock, self.rng, self.tally)
        small = story._replace(turns=(1, 1))
        await child.run(small, self.program)

    async def make_call(self, step: Step) -> dict[str, Any]:
        """Make one call, check its answer and give it."""
        self.sequence += 1
        tag = f'{self.name}#{self.sequence}'
        argument: dict[str, Any] = {'tag': tag}
        if step.operation == 'chat':
            words = ' '.join(f'w{number}' for number in range(self.rng.randint(3, 9)))
            argument = {'message': f'tag:{tag} {words}', 'max_tokens': step.tokens}
        spec = CallSpec(
            self.program,
            f'k{self.sequence}',
            self.sequence,
            step.upstream,
            step.operation,
            argument,
        )
        self.tally.calls += 1
        self.specs[tag] = spec
        answer = await self.in_place(spec, tag)
        self.made[spec.sequence] = MadeCall(tag, spec, step, answer)
        if step.operation != 'chat':
            self.tally.answered[tag] = answer['output'].get('execution', 0)
            self.tally.last_word[tag] = str(Outcome.RAN)
        return answer

    async def in_place(self, spec: CallSpec, tag: str) -> dict[str, Any]:
        """Make a call; one that did not run leaves its place to the next."""
        try:
            return await self.insist(lambda: self.client.call(spec), tag)
        except GaveUp:
            not_run = self.tally.last_word.get(tag) == Outcome.NOT_RUN
            if not_run and self.sequence == spec.sequence:
                self.sequence -= 1
            raise

    def check(self, made: MadeCall) -> None:
        """Compare an answer with what was asked, and add to the history."""
        output = Answer(made.answer['output'])
        if made.step.operation == 'chat':
            self.check_chat(made)
            self.history.extend(model_history_items(made.spec.argument, output))
            return
        if made.answer['output'].get('input') != made.spec.argument:
            self.tally.mixed.append(made.tag)
        self.history.extend(
            service_history_items(made.spec.operation, made.spec.argument, output),
        )

    def check_chat(self, made: MadeCall) -> None:
        """Compare a model's answer with the history that it was given."""
        prompt = [*self.history, HistoryItem('user', made.spec.argument['message'])]
        digest = prompt_digest(prompt)
        wished = made.step.tokens
        tokens = min(wished, made.answer.get('tokens', wished))
        if tokens < wished and not self.may_run_short:
            self.tally.mixed.append(f'{made.tag} cut short')
        expected = ''.join(f'{digest}:{number} ' for number in range(tokens))
        if made.answer['output']['text'] != expected:
            self.tally.mixed.append(made.tag)
        if made.answer.get('streamed', expected) != expected:
            self.tally.mixed.append(f'{made.tag} streamed')

    def verify(self) -> None:
        """Check all answers in the order of the calls, however they came."""
        for sequence in sorted(self.made):
            self.check(self.made[sequence])
        self.made.clear()

    async def insist(
        self,
        ask: Callable[[], Awaitable[dict[str, Any]]],
        tag: str,
    ) -> dict[str, Any]:
        """Ask until there is an answer, always with the same key."""
        for _ in range(MAX_TRIES):
            try:
                return await ask()
            except ConnectionLost:
                self.tally.late_tries += 1
                await self.clock.sleep_ms(LOST_PAUSE_MS)
            except Refusal as refusal:
                await self.take_refusal(refusal, tag)
        self.tally.lost.append(tag)
        raise GaveUp(f'{tag}: no answer')

    async def take_refusal(self, refusal: Refusal, tag: str) -> None:
        """Wait where the refusal invites another try, else give up."""
        self.tally.take_word(tag, refusal)
        if refusal.retry_after_ms is None:
            if refusal.outcome == Outcome.UNKNOWN:
                self.tally.unknown.append(tag)
            raise GaveUp(f'{tag}: {refusal.code} {refusal.message}')
        self.tally.late_tries += 1
        await self.clock.sleep_ms(max(refusal.retry_after_ms, 1))
