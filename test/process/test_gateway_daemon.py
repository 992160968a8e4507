"""Tests of a gateway's planned stop, over loopback."""

import asyncio
from pathlib import Path

import testtools

from pollenwalk.connection.http_server import free_port
from pollenwalk.process.gateway_daemon import (
    BALANCER_REMOVAL_MS,
    CLOSE_RESERVE_MS,
    GatewayProcess,
)
from pollenwalk.process.settings import Settings
from pollenwalk.request.http_messages import Request
from pollenwalk.request.reply import Reply
from test.connection.test_gateway_app import REQUEST, exchange
from test.helper import on_loop

# Run time of a request that arrives while the gateway closes its servers, and the time
# that is left of the grace period then.
RUN_S = 0.6
LEFT_MS = 1000.0


def make_process(port: int) -> GatewayProcess:
    """Create a gateway process without a store that answers."""
    options = {
        'name': 'g',
        'zone': 'a',
        'http': f'127.0.0.1:{port}',
        'ready': f'127.0.0.1:{free_port()}',
        'metrics': f'127.0.0.1:{free_port()}',
        'tolerated_losses': 1,
        'change_delay_ms': 3000,
        'leave_notice_ms': 3000,
    }
    store = {'url': f'http://127.0.0.1:{free_port()}'}
    sections = {'gateway': options, 'store': store}
    return GatewayProcess(Settings(sections, {'a': 'east'}), Path())


class ClosingServer:
    """The server of a gateway, which gets a request just before it is closed.

    Attributes:
        answers: what the caller of that request receives.
    """

    def __init__(self, process: GatewayProcess, port: int) -> None:
        """Stand before the server of `process`, which listens on `port`."""
        self.server = process.caller_server
        self.port = port
        self.running = asyncio.Event()
        self.answers: asyncio.Future[bytes] | None = None
        process.app.handler = self.handle
        process.caller_server = self

    async def handle(self, _: Request, reply: Reply) -> None:
        """Answer a request after a while."""
        self.running.set()
        await asyncio.sleep(RUN_S)
        await reply.send_complete(200, [], b'whole')

    async def stop(self, grace_s: float) -> None:
        """Send the request, then close the server."""
        self.answers = asyncio.ensure_future(exchange(self.port, REQUEST))
        await self.running.wait()
        await self.server.stop(grace_s)


class DrainTest(testtools.TestCase):
    """Requests at the end of a planned stop."""

    @on_loop
    async def test_request_that_arrives_while_servers_close(self) -> None:
        port = free_port()
        process = make_process(port)
        closing = ClosingServer(process, port)
        await closing.server.start()
        await process.drain(BALANCER_REMOVAL_MS + LEFT_MS + CLOSE_RESERVE_MS)
        answered = await closing.answers
        self.assertTrue(answered.endswith(b'whole'), answered)
