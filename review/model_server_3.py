"""A model server: streams events, runs a few requests at once, queues the others."""

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import Callable

import h11

from pollenwalk.connection.http_server import free_port
from review.deployment_3 import LOOPBACK, Deployment

SLOTS = 8
READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
MS_PER_SECOND = 1000


class Run:
    """One request at a server.

    Attributes:
        id: the request's id.
        target: its path and query.
        body: its body.
        instance: the id of the server that it is meant for.
        last_event: the id of the event after which the stream goes on; 0 for none.
        arrived_s: when it had arrived, on the steady clock.
        server: name of the server.
    """

    def __init__(self, server: str, head: h11.Request, body: bytes) -> None:
        """Note a request that has arrived whole."""
        headers = {name.decode(): field.decode() for name, field in head.headers}
        self.id = headers.get('x-pollenwalk-request-id', '')
        self.instance = headers.get('x-pollenwalk-expect-instance', '')
        self.last_event = int(headers.get('last-event-id', '0'))
        self.target = head.target.decode()
        self.body = body
        self.arrived_s = time.monotonic()
        self.server = server


class ModelServer:
    """A server of one service.

    Attributes:
        events: how many events each answer has.
        pause_s: time before each event.
        is_deadly: returns whether the server crashes when it begins to run a request.
        down_s: for how long it is down after a crash.
        version: version of its software.
        on_run: called with each request that begins to run.
        on_crash: called with the request at which the server crashes.
        arrived: all requests that reached this server.
    """

    def __init__(self, name: str, service: str, events: int, pause_s: float) -> None:
        """Create a server that does not listen yet."""
        self.name = name
        self.service = service
        self.events = events
        self.pause_s = pause_s
        self.is_deadly: Callable[[Run], bool] = lambda run: False
        self.down_s = 0.0
        self.version = 'v1'
        self.on_run: Callable[[Run], None] = lambda run: None
        self.on_crash: Callable[[Run], None] = lambda run: None
        self.arrived: list[Run] = []
        self.address = (LOOPBACK, free_port())
        self.server: asyncio.Server | None = None
        self.serving: set[asyncio.Task[None]] = set()
        self.sockets: set[socket.socket] = set()
        self.slots = asyncio.Semaphore(SLOTS)
        self.holders = 0
        self.restarting: asyncio.Task[None] | None = None

    async def start(self, deployment: Deployment) -> None:
        """Listen, and register in the store."""
        self.deployment = deployment
        self.slots = asyncio.Semaphore(SLOTS)
        self.holders = 0
        await self.listen()
        await self.register()

    async def listen(self) -> None:
        """Accept connections, on the same address after a restart."""
        self.server = await asyncio.start_server(self.accept, *self.address)

    async def register(self) -> None:
        """Write this server's entry in the store."""
        await self.deployment.write(
            f'servers/{self.name}',
            {
                'service': self.service,
                'address': f'{self.address[0]}:{self.address[1]}',
                'zone': 'zone-a',
                'version': self.version,
                'slots': SLOTS,
                'state': 'ready',
                'cold_left_ms': 0,
                'seq': 1,
                'born': int(time.time() * MS_PER_SECOND),
            },
        )

    def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection in a task of its own."""
        task = asyncio.get_running_loop().create_task(self.serve(reader, writer))
        self.serving.add(task)
        task.add_done_callback(self.serving.discard)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, one request at a time."""
        sock: socket.socket = writer.get_extra_info('socket')
        self.sockets.add(sock)
        parser = h11.Connection(h11.SERVER)
        try:
            while (run := await self.receive(parser, reader)) is not None:
                await self.answer(run, parser, reader, writer)
                parser.start_next_cycle()
        except (OSError, h11.ProtocolError):
            return
        finally:
            self.sockets.discard(sock)
            writer.close()

    async def receive(
        self, parser: h11.Connection, reader: asyncio.StreamReader
    ) -> Run | None:
        """Read a whole request; None once the caller has gone."""
        head, parts = None, []
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                run = Run(self.name, head, b''.join(parts))
                self.arrived.append(run)
                return run
            else:
                return None

    async def answer(
        self,
        run: Run,
        parser: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a request when a slot is free; drop it if the caller leaves."""
        if run.instance not in {'', self.name}:
            self.refuse(run, parser, writer)
            return
        self.holders += 1
        watching = asyncio.ensure_future(reader.read(1))
        running = asyncio.ensure_future(self.run(run, parser, writer))
        try:
            await asyncio.wait((watching, running), return_when=asyncio.FIRST_COMPLETED)
            if not running.done():
                raise ConnectionResetError('the caller has left')
            await running
        finally:
            self.holders -= 1
            watching.cancel()
            running.cancel()
            await asyncio.gather(watching, running, return_exceptions=True)

    async def run(
        self, run: Run, parser: h11.Connection, writer: asyncio.StreamWriter
    ) -> None:
        """Wait for a slot and stream the answer."""
        async with self.slots:
            await asyncio.sleep(self.pause_s)
            self.on_run(run)
            if self.is_deadly(run):
                self.on_crash(run)
                self.restarting = asyncio.ensure_future(self.crash())
                await asyncio.sleep(self.down_s + 1)
            writer.write(parser.send(self.head(run)))
            for number in range(run.last_event + 1, self.events + 1):
                event = f'id: {number}\ndata: {self.version} {self.name} {number}\n\n'
                writer.write(parser.send(h11.Data(data=event.encode())))
                await writer.drain()
                await asyncio.sleep(self.pause_s)
            writer.write(parser.send(h11.EndOfMessage()))

    def head(self, run: Run) -> h11.Response:
        """Return the head of a streamed answer."""
        return h11.Response(
            status_code=200,
            headers=[
                ('X-Pollenwalk-Request-Id', run.id),
                ('X-Pollenwalk-Server-Signature', f'{self.name}.{run.id}'),
                ('X-Pollenwalk-Server-Load', self.load),
                ('Content-Type', 'text/event-stream'),
                ('Transfer-Encoding', 'chunked'),
            ],
        )

    def refuse(
        self, run: Run, parser: h11.Connection, writer: asyncio.StreamWriter
    ) -> None:
        """Refuse a request that names another server."""
        headers = [
            ('X-Pollenwalk-Request-Id', run.id),
            ('X-Pollenwalk-Not-Executed', '1'),
            ('Content-Length', '0'),
        ]
        writer.write(parser.send(h11.Response(status_code=421, headers=headers)))
        writer.write(parser.send(h11.EndOfMessage()))

    @property
    def load(self) -> str:
        """Return the load as the server tells it: running, waiting, slots."""
        running = min(self.holders, SLOTS)
        return f'{running},{self.holders - running},{SLOTS}'

    async def crash(self) -> None:
        """End at once, as a process does that is killed; be back after `down_s`."""
        self.stop()
        await asyncio.sleep(self.down_s)
        await self.start(self.deployment)

    def stop(self) -> None:
        """Close the listener and reset all connections."""
        if self.server is not None:
            self.server.close()
        for sock in self.sockets:
            # The caller may have reset the connection a moment ago.
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        for task in list(self.serving):
            task.cancel()

    async def end(self) -> None:
        """End for good."""
        if self.restarting is not None:
            self.restarting.cancel()
        self.stop()
        await asyncio.gather(*self.serving, return_exceptions=True)
