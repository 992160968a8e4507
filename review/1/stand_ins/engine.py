"""A model server that streams its answers, and records every run."""

import asyncio
import hashlib
from collections.abc import Callable
from typing import NamedTuple

from stand_ins.http import (
    Request,
    encode_answer,
    encode_chunk,
    encode_head,
    read_request,
)
from stand_ins.ports import free_port

DEADLY = b'deadly'
CRASHED_S = 2.5
SLOTS = 8


class Run(NamedTuple):
    """A request that the server ran."""

    id: str
    previous: str
    body: bytes
    program: str
    events: int


class Engine:
    """A sound server: whole answers, each with the id of its request.

    It generates as many tokens as the request allows.

    A request whose body begins with DEADLY crashes it: it is gone at once, and back at
    its address after CRASHED_S.

    Attributes:
        tokens_per_event: how many tokens each event counts for.
        note: called with a line on each run.
        on_back: called when the server is back after a crash.
        pause_s: time before each event.
        tells_load: whether its answers name its load.
        running: number of requests that it works on now.
        runs: the requests that ran; with the number of their events.
    """

    def __init__(
        self, name: str, tokens_per_event: int = 16, pause_s: float = 0.02
    ) -> None:
        """Prepare a server with the id `name`."""
        self.name = name
        self.tokens_per_event = tokens_per_event
        self.pause_s = pause_s
        self.tells_load = False
        self.running = 0
        self.runs: list[Run] = []
        self.server: asyncio.Server | None = None
        self.address = ''
        self.on_back: Callable[[], None] | None = None
        self.note: Callable[[str], None] = print
        self.writers: set[asyncio.StreamWriter] = set()
        self.returning: asyncio.Future[None] | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on a port; on a free one if it is 0."""
        port = port or free_port()
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', port)
        self.address = f'127.0.0.1:{port}'

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, one request at a time."""
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self.run(request, writer)
        except ConnectionError:
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self) -> None:
        """Close the listener and all connections at once; come back later."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.returning = asyncio.ensure_future(self.come_back())

    async def come_back(self) -> None:
        """Listen again at the same address after a while."""
        await asyncio.sleep(CRASHED_S)
        await self.start(int(self.address.rpartition(':')[2]))
        if self.on_back is not None:
            self.on_back()

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run one request, if it is meant for this server."""
        headers = request.headers
        request_id = headers.get('x-pollenwalk-request-id', '')
        echoed = {'X-Pollenwalk-Request-Id': request_id}
        expected = headers.get('x-pollenwalk-expect-instance', self.name)
        if expected != self.name:
            writer.write(encode_answer(421, echoed, b''))
            return
        previous = headers.get('x-pollenwalk-previous-turn', '')
        most = int(headers.get('x-pollenwalk-token-usage', '0,48').partition(',')[2])
        events = most // self.tokens_per_event
        program = headers.get('x-pollenwalk-program-id', '')
        self.runs.append(Run(request_id, previous, request.body, program, events))
        self.note(f'ran {request_id} at {self.name}, {events} events')
        if request.body.startswith(DEADLY):
            self.crash()
            return
        signed = {
            **echoed,
            'X-Pollenwalk-Server-Signature': f'sig.{request_id}',
            'X-Pollenwalk-Weight-Versions': '1',
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
        }
        self.running += 1
        if self.tells_load:
            signed['X-Pollenwalk-Server-Load'] = f'{self.running},0,{SLOTS}'
        writer.write(encode_head('HTTP/1.1 200 OK', signed))
        for number in range(1, events + 1):
            await asyncio.sleep(self.pause_s)
            text = event_data(request.body, number)
            writer.write(encode_chunk(f'id: {number}\ndata: {text}\n\n'.encode()))
        writer.write(encode_chunk(b''))
        self.running -= 1
        await writer.drain()


def event_data(prompt: bytes, number: int) -> str:
    """Return the data of an event, which depends on the whole prompt."""
    return f'{number}-{hashlib.sha256(prompt).hexdigest()[:12]}'


def output_of(prompt: bytes, events: int) -> bytes:
    """Return the output of a turn: the data of its events, each with a line feed."""
    return b''.join(
        f'{event_data(prompt, number)}\n'.encode() for number in range(1, events + 1)
    )
