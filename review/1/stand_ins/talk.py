"""Conversations: lines of turns, of which each continues the one before."""

import asyncio

from stand_ins.engine import Run, output_of
from stand_ins.http import Answer
from stand_ins.lab import CannotRun, Lab

TURN_INTERVAL_S = 0.4
PATH = '/guide/2f'
# More tokens than any line here generates.
BUDGET = 100_000


class Conversation:
    """One line of turns, each sent after the one before has been answered whole.

    Attributes:
        previous: id of the last turn that was answered whole; empty for none.
        answered_s: when that was.
        prompt: the inputs and outputs of the line so far.
        denied: the answers 404 and 410 that the rule LOST forbids.
        wrong: the runs whose body was not the line's inputs and outputs.
    """

    def __init__(self, lab: Lab, program: str, retention_s: float) -> None:
        """Begin without turns."""
        self.lab = lab
        self.program = program
        self.retention_s = retention_s
        self.previous = ''
        self.answered_s = 0.0
        self.prompt = b''
        self.count = 0
        self.denied: list[Answer] = []
        self.wrong: list[Run] = []
        self.running = True

    async def say(self, gateway: str) -> bool:
        """Send the next turn; return whether it was answered whole."""
        self.count += 1
        text = f'{self.program} input {self.count}\n'.encode()
        age_s = self.lab.now_s - self.answered_s
        request, answer = await self.lab.turn(
            gateway, PATH, self.program, self.previous, text, BUDGET
        )
        if answer.status in {404, 410} and self.previous and age_s < self.retention_s:
            self.lab.note(
                f'LOST {request} of {self.program}: {self.previous} was answered '
                f'{age_s:.1f} s before; {answer.body.decode()}'
            )
            self.denied.append(answer)
        if answer.status != 200 or not answer.whole:
            return False
        run = self.find_run(request)
        if run.body != self.prompt + text:
            self.wrong.append(run)
        self.previous, self.answered_s = request, self.lab.now_s
        self.prompt = run.body + output_of(run.body, run.events)
        return True

    def find_run(self, request: str) -> Run:
        """Return the run of a turn at one of the servers.

        Raises:
            CannotRun: there is none.
        """
        for engine in self.lab.engines:
            for run in engine.runs:
                if run.id == request:
                    return run
        raise CannotRun(f'no server ran {request}, though it was answered')

    async def go_on(self, gateway: str) -> None:
        """Send turn after turn through one gateway until `running` is cleared."""
        while self.running:
            await self.say(gateway)
            await asyncio.sleep(TURN_INTERVAL_S)
