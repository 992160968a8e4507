"""An HTTP server that runs inside the process's event loop."""

import asyncio
import contextlib
import functools
import os
from collections.abc import Iterator
from typing import Any

import uvicorn

from pollenwalk.connection.bounded_connection import (
    READ_BYTES,
    BoundedConnection,
    SharedReads,
)
from pollenwalk.connection.connection_guard import ConnectionGuard
from pollenwalk.connection.pipelined_requests import RequestSlots
from pollenwalk.connection.port_blocks import (
    PortBlocks,
    ephemeral_range,
    server_blocks,
)

# Limit on the received bytes of a request head that is not complete yet.
MAX_INCOMPLETE_HEAD_BYTES = 32_768
# Time that requests in progress get to finish after `stop`.
STOP_GRACE_S = 3
# Time after which an idle connection is closed.
KEEP_ALIVE_S = 5
# Interval at which `start` checks whether the server listens.
START_POLL_S = 0.005


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to its process.

    Attributes:
        stop_requested: set when the server is to stop.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        """Create a server that does not run."""
        super().__init__(config)
        self.stop_requested = asyncio.Event()

    async def main_loop(self) -> None:
        """Wait until the server is to stop.

        uvicorn wakes ten times a second to look, and to update a Date header, which is
        not sent here. A process has up to three servers and may be idle.
        """
        await self.on_tick(0)
        await self.stop_requested.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


class HttpServer:
    """Serves an ASGI application on one address."""

    def __init__(
        self,
        app: object,
        host: str,
        port: int,
        keep_alive_s: int = KEEP_ALIVE_S,
        guard: ConnectionGuard | None = None,
        slots: RequestSlots | None = None,
    ) -> None:
        """Configure the server without starting it.

        Args:
            app: the ASGI application.
            host: IP address to listen on.
            port: port to listen on.
            keep_alive_s: time after which an idle connection is closed.
            guard: bounds the connections of all servers of the process; without one
                this server has its own.
            slots: bound the requests of clients that pipeline; None for no bound.
        """
        self.slots = slots
        self.guard = guard or ConnectionGuard()
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        config = uvicorn.Config(
            app,
            host=host,
            port=port,
            loop='none',
            http=self.make_connection,
            lifespan='off',
            log_config=None,
            log_level='error',
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=keep_alive_s,
            h11_max_incomplete_event_size=MAX_INCOMPLETE_HEAD_BYTES,
        )
        self.server = EmbeddedServer(config)
        self.task: asyncio.Task[None] | None = None

    def make_connection(self, **parts: Any) -> SharedReads:
        """Create the protocol of a new connection."""
        connection = BoundedConnection(self.guard, self.slots, **parts)
        return SharedReads(connection, self.read_buffer)

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self.server.server_state.connections)

    async def start(self) -> None:
        """Start serving in the background; return once the server listens.

        Raises:
            OSError: the address can't be bound.
        """
        self.task = asyncio.ensure_future(self.server.serve())
        while not self.server.started:
            if self.task.done():
                raise OSError('the HTTP address cannot be bound')
            await asyncio.sleep(START_POLL_S)

    async def stop(self, grace_s: float = STOP_GRACE_S) -> None:
        """Stop accepting connections and wait for the requests in progress.

        Args:
            grace_s: time after which the requests that still run are cancelled.
        """
        self.server.config.timeout_graceful_shutdown = grace_s
        self.server.should_exit = True
        self.server.stop_requested.set()
        if self.task is not None:
            await asyncio.gather(self.task, return_exceptions=True)


@functools.cache
def process_ports(process_id: int) -> PortBlocks:
    """Return the source of ports of this process.

    Args:
        process_id: id of the process; a forked child must not share its parent's ports.
    """
    return PortBlocks(server_blocks(ephemeral_range()), process_id)


def free_port() -> int:
    """Return a free port on the loopback interface that no other test run uses.

    Raises:
        OSError: no port is free.
    """
    return process_ports(os.getpid()).take()
