"""Runs a scenario: each command is a small method of its name."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from pollenwalk.errors import ConnectionLost, Refusal
from pollenwalk.process.resource_client import ResourceClient
from pollenwalk.version.resources import Kind, ResourceId
from standin.caller import SPARES, Caller, GaveUp, Step, Tally
from standin.scenario.language import Line, Scenario
from standin.scenario.promises import breaches
from standin.scenario.script import Ending, ScriptedProgram
from standin.store import Faults
from standin.virtual.loop import run_virtual
from standin.virtual.world import World, WorldEntryClient

ENDING_PATIENCE_MS = 240_000
RELEASE_PATIENCE_MS = 60_000
CHECK_MS = 100
DEFAULT_TOKENS = 8
ORDERS = 'orders'
ADVISORY = 'advisory'


class ScenarioFailed(AssertionError):
    """An expectation was not met or a promise broken."""


class Runner:
    """One run of one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        """Prepare the world that the scenario describes."""
        self.scenario = scenario
        self.world = World(scenario.shape)
        self.clock = self.world.clock
        self.client = WorldEntryClient(self.world, random.Random(scenario.shape.seed))
        self.tally = Tally(self.world.ledger)
        self.programs: dict[str, ScriptedProgram] = {}
        self.labels: dict[str, ScriptedProgram] = {}
        self.background: list[asyncio.Future[Any]] = []
        self.marks: dict[str, int] = {}
        self.stopped: dict[str, None] = {}

    async def run(self) -> None:
        """Run all steps, then bring everything to its end and judge it.

        Raises:
            ScenarioFailed: says which line or promise.
        """
        await self.world.start()
        for line in self.scenario.lines:
            await self.step(line)
        await self.step(Line(0, ['settle']))
        found = breaches(self.world, self.tally)
        if found:
            raise ScenarioFailed(f'{self.scenario.name}: {"; ".join(found)}')

    async def step(self, line: Line) -> None:
        """Run one line."""
        command = COMMANDS.get(line.words[0])
        if command is None:
            raise ScenarioFailed(f'{line.number}: unknown command: {line.text}')
        try:
            await command(self, *line.words[1:])
        except (AssertionError, GaveUp, LookupError, TypeError, ValueError) as error:
            raise ScenarioFailed(
                f'{self.scenario.name}:{line.number}: {line.text}: {error!r}',
            ) from error

    async def do_settle(self) -> None:
        """`settle`: end all faults and programs, and wait for releases.

        Every scenario ends with it.
        """
        await self.do_heal()
        await self.do_store('up')
        for service in self.world.services.values():
            service.hang = False
        for engine in self.world.engines.values():
            engine.down = False
        for name in (*self.world.entries, *self.world.sidecars):
            self.world.resume(name)
        await self.replace_dead()
        await self.do_await('all')
        for program in self.programs.values():
            await program.compare_history()
            await self.end(program)
        await self.wait_released()

    async def replace_dead(self) -> None:
        """Start dead sidecars again, and an entry when none is left."""
        for name, process in list(self.world.sidecars.items()):
            if process.node.dead:
                await self.world.restart(name)
        gone = [
            one.node.dead or name in self.stopped
            for name, one in self.world.entries.items()
        ]
        if all(gone):
            await self.world.restart(next(iter(self.world.entries)))

    async def end(self, program: ScriptedProgram) -> None:
        """End a scripted program unless it has been refused."""
        try:
            await program.insist(
                lambda: self.client.end(program.program),
                f'{program.name}/end',
            )
        except GaveUp:
            return

    async def wait_released(self) -> None:
        """Wait until the engines hold nothing for ended programs."""
        until_ms = self.clock.now_ms() + RELEASE_PATIENCE_MS
        while self.world.held(self.tally.programs):
            if self.clock.now_ms() > until_ms:
                return
            await self.clock.sleep_ms(CHECK_MS)

    def who(self, name: str) -> str:
        """Return a process by its name or by its part in a program."""
        role, _, program = name.partition(':')
        if not program:
            return name
        program_id = self.programs[program].program
        if role == 'home':
            return self.world.owner_of(program_id)
        if role.startswith('witness'):
            return self.witness(program_id, int(role.removeprefix('witness')))
        return self.sidecar_with(program_id)

    def witness(self, program_id: str, number: int) -> str:
        """Return a witness of a program's owner, counted from 1."""
        owner = self.world.entries[self.world.owner_of(program_id)]
        address = owner.entry.journal.effective_witnesses[number - 1].address
        return address.partition(':')[0]

    def sidecar_with(self, program_id: str) -> str:
        """Return the sidecar that runs a call of a program."""
        for name, process in self.world.sidecars.items():
            for call in process.sidecar.executor.calls.by_id.values():
                if call.message.program == program_id and not call.ended_ms:
                    return name
        raise LookupError(f'no sidecar runs a call of {program_id}')

    async def do_begin(self, name: str, *options: str) -> None:
        """`begin NAME [budget N] [parent NAME]`."""
        given = dict(zip(options[::2], options[1::2], strict=True))
        program = ScriptedProgram(
            name,
            self.client,
            self.clock,
            random.Random(name),
            self.tally,
        )
        self.programs[name] = program
        program.may_run_short = 'budget' in given
        parent = given.get('parent')
        budget = given.get('budget')
        await program.begin(
            SPARES.declaration,
            int(budget) if budget else None,
            self.programs[parent].program if parent else None,
        )

    async def do_send(
        self, label: str, name: str, operation: str, *options: str
    ) -> None:
        """`send LABEL PROGRAM OPERATION [TOKENS]`, without waiting."""
        tokens = int(options[0]) if options else DEFAULT_TOKENS
        upstream = ADVISORY if operation == 'chat' else ORDERS
        program = self.programs[name]
        program.send(label, Step(upstream, operation, tokens, 0))
        self.labels[label] = program

    async def do_call(
        self, label: str, name: str, operation: str, *options: str
    ) -> None:
        """`call LABEL PROGRAM OPERATION [TOKENS]`, and wait for its end."""
        await self.do_send(label, name, operation, *options)
        await self.do_await(label)

    async def do_run(self, count: str) -> None:
        """`run N`: N whole programs in the background."""
        for _ in range(int(count)):
            name = f'run{len(self.background)}'
            caller = Caller(
                name,
                self.client,
                self.clock,
                random.Random(f'{self.scenario.shape.seed}/{name}'),
                self.tally,
            )
            self.background.append(asyncio.ensure_future(caller.run(SPARES)))

    async def do_wait(self, duration_ms: str) -> None:
        """`wait MS`."""
        await self.clock.sleep_ms(float(duration_ms))

    async def do_await(self, label: str, *options: str) -> None:
        """`await LABEL|all [within MS]`."""
        patience_ms = float(options[1]) if options else ENDING_PATIENCE_MS
        pending = [*self.background] if label == 'all' else []
        for known, program in self.labels.items():
            if label in {'all', known}:
                pending.append(program.endings[known])
        if not pending:
            return
        _, late = await asyncio.wait(pending, timeout=patience_ms / 1000)
        if late:
            raise AssertionError(f'{len(late)} did not end within {patience_ms} ms')

    async def do_kill(self, name: str) -> None:
        """`kill WHO`; a dead process stays dead."""
        process = self.who(name)
        if not self.world.process(process).node.dead:
            await self.world.kill(process)

    async def do_pause(self, name: str) -> None:
        """`pause WHO`."""
        self.world.pause(self.who(name))

    async def do_resume(self, name: str) -> None:
        """`resume WHO`, or `resume all`."""
        names = [*self.world.entries, *self.world.sidecars]
        for one in names if name == 'all' else [self.who(name)]:
            self.world.resume(one)

    async def do_restart(self, name: str) -> None:
        """`restart WHO`: start a process again, killing it if it runs."""
        await self.do_kill(name)
        self.stopped.pop(name, None)
        await self.world.restart(self.who(name))

    async def do_stop(self, name: str) -> None:
        """`stop WHO`: stop gracefully, in the background."""
        process = self.world.process(self.who(name))
        if process.node.dead or name in self.stopped:
            return
        self.stopped[name] = None
        stopping = process.node.tasks.spawn(process[1].stop(), 'stop')
        self.background.append(stopping)

    async def do_leaving(self, name: str) -> None:
        """`leaving WHO`: the platform's list says so, after its lag."""
        address = self.world.address(self.who(name)).rpartition(':')[0]
        self.world.hosts.mark(address)

    async def do_join(self, name: str, zone: str) -> None:
        """`join NAME ZONE`: start one more entry."""
        self.world.zones[name] = zone
        await self.world.start_entry(name)

    async def do_cut(self, source: str, target: str, *options: str) -> None:
        """`cut WHO|REGION WHO|REGION [oneway]`."""
        for one in self.members(source):
            for other in self.members(target):
                self.world.fabric.cut(one, other)
                if not options:
                    self.world.fabric.cut(other, one)

    def members(self, name: str) -> list[str]:
        """Return the processes of a region, or the one of a name."""
        nodes = {'store': self.world.store_node}
        for table in (self.world.entries, self.world.sidecars):
            nodes.update((one, process.node) for one, process in table.items())
        inside = [one for one, node in nodes.items() if node.place.region == name]
        return inside or [self.who(name)]

    async def do_slow(self, source: str, target: str, extra_ms: str) -> None:
        """`slow WHO WHO MS`: delay in one direction."""
        pair = (self.who(source), self.who(target))
        self.world.fabric.slow_ms[pair] = float(extra_ms)

    async def do_balance(self, where: str, *others: str) -> None:
        """`balance away|cut|all|ENTRY …`: let callers reach some entries alone."""
        cut = [
            name
            for name, process in self.world.entries.items()
            if self.world.fabric.is_cut(process.node, self.world.store_node)
        ]
        away = [name for name in self.world.entries if name not in cut]
        choices = {'cut': cut, 'away': away, 'all': list(self.world.entries)}
        self.client.reachable = choices.get(where, [where, *others])

    async def do_again(self, label: str, where: str) -> None:
        """`again LABEL WHERE`: one more try of an ended call there."""
        await self.do_balance(where)
        program = self.labels[label]
        tag = program.tags[label]
        spec = program.specs[tag]
        try:
            await self.client.call(spec)
        except Refusal as refusal:
            self.tally.take_word(tag, refusal)
            self.tally.last_word[tag] = 'repeated'
        except ConnectionLost:
            return

    async def do_heal(self) -> None:
        """`heal`: restore all paths."""
        self.world.fabric.heal()

    async def do_store(self, state: str, *options: str) -> None:
        """`store down|up|lose N|fail N|slow MS`."""
        number = float(options[0]) if options else 0
        self.world.store.faults = {
            'up': Faults(),
            'down': Faults(down=True),
            'lose': Faults(lose_answers=int(number)),
            'fail': Faults(fail_writes=int(number)),
            'slow': Faults(slow_ms=number),
        }[state]

    async def do_service(self, state: str, *options: str) -> None:
        """`service hang|free|lose N|refuse N`, all servers."""
        for service in self.world.services.values():
            if state in {'hang', 'free'}:
                service.hang = state == 'hang'
            elif state == 'lose':
                service.lose_answers = int(options[0])
            else:
                service.refuse = int(options[0])

    async def do_engine(self, state: str, *options: str) -> None:
        """`engine down|up|cut N|garbage N|slow FACTOR`, all servers."""
        for engine in self.world.engines.values():
            if state in {'down', 'up'}:
                engine.down = state == 'down'
            elif state == 'cut':
                engine.cut_after = int(options[0])
            elif state == 'slow':
                engine.slow_factor = float(options[0])
            else:
                engine.garbage = int(options[0])

    async def do_apply(self, kind: str, name: str, *pairs: str) -> None:
        """`apply KIND NAME KEY=VALUE …`, as an operator would."""
        keys = dict(pair.split('=', 1) for pair in pairs)
        resource_id = ResourceId(Kind(kind), name)
        client = ResourceClient(self.world.store, self.clock)
        await client.apply(resource_id, keys)

    async def do_mark(self, name: str) -> None:
        """`mark WHO`: note how much work an upstream host has taken."""
        self.marks[name] = self.taken(name)

    def taken(self, name: str) -> int:
        """Count the work that an upstream host has taken."""
        upstream = self.world.engines.get(name) or self.world.services[name]
        return upstream.taken

    async def do_expect(self, subject: str, *words: str) -> None:
        """`expect …`; see EXPECTATIONS."""
        check = EXPECTATIONS.get(words[0] if words else '')
        if check is None:
            raise AssertionError('unknown expectation')
        check(self, subject, *words[1:])

    def ending(self, label: str) -> Ending:
        """Return how a call ended."""
        future = self.labels[label].endings[label]
        if not future.done():
            raise AssertionError('it has not ended')
        return future.result()

    def expect_answered(self, label: str) -> None:
        """`expect LABEL answered`."""
        ending = self.ending(label)
        if ending.answer is None:
            raise AssertionError(f'refused: {describe(ending.refusal)}')

    def expect_refused(self, label: str, outcome: str, *codes: str) -> None:
        """`expect LABEL refused OUTCOME [CODE]`."""
        refusal = self.ending(label).refusal
        if refusal is None:
            raise AssertionError('it was answered')
        if refusal.outcome != outcome or (codes and refusal.code not in codes):
            raise AssertionError(describe(refusal))

    def expect_settled(self, label: str) -> None:
        """`expect LABEL settled`: answered, or refused truthfully."""
        self.ending(label)

    def expect_runs(self, label: str, count: str) -> None:
        """`expect LABEL runs N`."""
        runs = self.world.ledger.runs_of(self.labels[label].tags[label])
        if runs != int(count):
            raise AssertionError(f'it ran {runs} times')

    def expect_completed(self, subject: str, count: str) -> None:
        """`expect programs completed N`."""
        if self.tally.completed < int(count):
            raise AssertionError(
                f'{self.tally.completed} completed: {self.tally.refused[:3]}',
            )

    def expect_home(self, name: str, entry: str) -> None:
        """`expect PROGRAM home ENTRY`."""
        owner = self.world.owner_of(self.programs[name].program)
        if owner != entry:
            raise AssertionError(f'its owner is {owner}')

    def expect_quiet(self, name: str) -> None:
        """`expect WHO quiet`: no work taken since the mark."""
        fresh = self.taken(name) - self.marks[name]
        if fresh:
            raise AssertionError(f'it took {fresh} calls')

    def check_sidecars(self, upstream: str, field: str, value: str) -> None:
        """See what is in force at the living sidecars of an upstream."""
        for name, process in self.world.sidecars.items():
            if process.node.dead or process.sidecar.settings.upstream != upstream:
                continue
            present = getattr(process.sidecar.executor.spec, field)
            if str(present) != value:
                raise AssertionError(f'{name} has {present}')

    def expect_has(self, name: str, field: str, value: str) -> None:
        """`expect KIND/NAME has KEY VALUE`, in force at every live process."""
        kind, _, resource = name.partition('/')
        self.check_sidecars(resource, field, value)
        for entry_name, process in self.world.entries.items():
            if process.node.dead:
                continue
            spec = process.entry.config.specs[ResourceId(Kind(kind), resource)]
            present = getattr(spec, field)
            if str(present) != value:
                raise AssertionError(f'{entry_name} has {present}')


Command = Callable[..., Awaitable[None]]
COMMANDS: dict[str, Command] = {
    name.removeprefix('do_'): method
    for name, method in vars(Runner).items()
    if name.startswith('do_')
}
EXPECTATIONS: dict[str, Callable[..., None]] = {
    name.removeprefix('expect_'): method
    for name, method in vars(Runner).items()
    if name.startswith('expect_')
}


def describe(refusal: Refusal | None) -> str:
    """Describe a refusal."""
    if refusal is None:
        return 'no word'
    return f'{refusal.outcome} {refusal.code}: {refusal.message}'


def run_scenario(scenario: Scenario) -> None:
    """Run one scenario in its own virtual world.

    Raises:
        ScenarioFailed: says what went wrong.
    """

    async def work() -> None:  # noqa: WPS430
        await Runner(scenario).run()

    run_virtual(work())
