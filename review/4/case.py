"""A planned stop of a gateway cuts a stream that it should have refused."""

import asyncio
import signal
import sys
from pathlib import Path

from stand_ins.http import Connection
from stand_ins.lab import STORAGE, CannotRun, Lab, play, with_trouble

RETENTION_S = 60.0
GATEWAY, OTHER = 'front-rimouski-1', 'front-saguenay-1'
PATH = '/fit/2f'
# The server makes an event each 0.05 s; the sheet allows pauses of 0.15 s.
PAUSE_S, TOKENS_PER_EVENT = 0.05, 16
SHORT_EVENTS, LONG_EVENTS = 3, 56
SHORT_TURNS = 40
# When the callers send on their idle connections, after the SIGTERM. Each sends while the
# stream of the one before lasts, so the gateway has no reason to end early.
SENT_S = (1.5, 3.4, 5.0)
GRACE_S = 8.0


class Caller:
    """A caller that keeps its connection to a gateway."""

    def __init__(self, lab: Lab, connection: Connection, name: str) -> None:
        """Use an open connection."""
        self.lab = lab
        self.connection = connection
        self.name = name

    async def say(self, events: int) -> bool:
        """Send the first turn of a program, whose answer has so many events.

        Returns:
            Whether the answer was whole.

        Raises:
            CannotRun: the request crossed the end of the connection; the rule doesn't
                count that.
        """
        request, headers = self.lab.turn_headers(
            f'{self.name}-{events}', most=events * TOKENS_PER_EVENT
        )
        self.lab.note(f'{self.name} sent {request}, {events} events')
        answer = await self.connection.request('POST', PATH, headers, b'input\n')
        ran = any(run.id == request for run in self.lab.engines[0].runs)
        self.lab.note(
            f'{self.name} got {answer.status} to {request}, whole={answer.whole}, '
            f'ran={ran}'
        )
        if not (answer.whole or ran):
            raise CannotRun('the request was not passed on')
        return answer.whole


async def case(lab: Lab) -> bool:
    """Return whether each request that was read got a whole answer."""
    for name, zone in STORAGE.items():
        lab.add_keeper(name, zone)
    lab.add_gateway(GATEWAY, 'rimouski')
    lab.add_gateway(OTHER, 'saguenay')
    lab.engines[0].pause_s = PAUSE_S
    await lab.wait_ready(len(STORAGE))
    address = lab.addresses[GATEWAY]
    callers = [
        Caller(lab, await Connection.open(address), f'caller-{number}')
        for number, _ in enumerate(SENT_S, 1)
    ]
    for number in range(SHORT_TURNS):
        await callers[number % len(callers)].say(SHORT_EVENTS)
    began_s = lab.now_s
    if with_trouble():
        lab.processes[GATEWAY].send_signal(signal.SIGTERM)
        lab.note(f'signal SIGTERM to {GATEWAY}')
    saying = []
    for caller, sent_s in zip(callers, SENT_S, strict=True):
        await asyncio.sleep(began_s + sent_s - lab.now_s)
        saying.append(asyncio.ensure_future(caller.say(LONG_EVENTS)))
    whole = await asyncio.gather(*saying)
    lab.note(f'the last one ended {lab.now_s - began_s:.2f} s after the SIGTERM')
    if with_trouble():
        await asyncio.sleep(began_s + GRACE_S - lab.now_s)
        lab.note(f'{GATEWAY} ended with {lab.processes[GATEWAY].poll()}')
    return all(whole)


if __name__ == '__main__':
    sys.exit(play(case, Path(__file__).resolve().parent, RETENTION_S))
