"""Serving an application from inside a running loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import uvicorn

MAX_HEADER_BYTES = 32_768
STOP_GRACE_S = 3
KEEP_ALIVE_S = 5
START_CHECK_S = 0.005


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signals to its process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture none."""
        yield


class HttpServer:
    """One application on one loopback address."""

    def __init__(
        self,
        app: object,
        host: str,
        port: int,
        keep_alive_s: int = KEEP_ALIVE_S,
    ) -> None:
        """Prepare to serve.

        Args:
            app: the ASGI application.
            host: where to listen.
            port: where to listen.
            keep_alive_s: how long a connection may be idle.
        """
        config = uvicorn.Config(
            app,
            host=host,
            port=port,
            loop='asyncio',
            lifespan='off',
            log_config=None,
            log_level='error',
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=keep_alive_s,
            h11_max_incomplete_event_size=MAX_HEADER_BYTES,
            timeout_graceful_shutdown=STOP_GRACE_S,
        )
        self.server = EmbeddedServer(config)
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Serve in the background.

        Raises:
            OSError: the address can't be bound.
        """
        self.task = asyncio.ensure_future(self.server.serve())
        while not self.server.started:
            if self.task.done():
                raise OSError('the HTTP address cannot be bound')
            await asyncio.sleep(START_CHECK_S)

    async def stop(self) -> None:
        """Stop taking connections and finish the requests in progress."""
        self.server.should_exit = True
        if self.task is not None:
            await asyncio.gather(self.task, return_exceptions=True)


def free_port() -> int:
    """Find a free loopback port."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]
