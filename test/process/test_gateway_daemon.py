"""Tests of a gateway's planned stop, over loopback."""

import asyncio
import json
from pathlib import Path
from typing import NamedTuple

import testtools

from pollenwalk.connection.http_server import free_port
from pollenwalk.process.gateway_daemon import (
    BALANCER_REMOVAL_MS,
    CLOSE_RESERVE_MS,
    GatewayProcess,
)
from pollenwalk.process.settings import Settings
from pollenwalk.process.store import StoredObject
from pollenwalk.request.http_messages import Request
from pollenwalk.request.reply import Reply
from standin.platform.host import (
    Line,
    Received,
    ScriptedHost,
    answer,
    chunk,
    event,
    stream_head,
)
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


ROUTE = {
    'host': 'h',
    'timeout_ms': 6000,
    'target_latency_ms': 300,
    'service': 'up',
    'max_attempts': 1,
}
CONFIGURATION = {
    'version': 1,
    'routes': [
        {**ROUTE, 'name': 'once', 'path_prefix': '/once/', 'kind': 'unsafe'},
        {**ROUTE, 'name': 'again', 'path_prefix': '/again/', 'kind': 'safe'},
        {**ROUTE, 'name': 'stream', 'path_prefix': '/stream/', 'kind': 'streaming'},
        {**ROUTE, 'name': 'brief', 'path_prefix': '/brief/', 'kind': 'streaming'},
    ],
    'services': [{'name': 'up', 'max_conns': 100}],
    'limits': {'max_body_bytes': 1000},
}
# More than there are requests at once, so that none waits.
SLOTS = 100
# How long the host works on each request, and the grace period of the stops.
WORK_S = 0.9
LONG_WORK_S = 3.0
SLOW_PATH = '/brief/slow'
BRIEF_STREAMS = 20
GRACE_MS = BALANCER_REMOVAL_MS + CLOSE_RESERVE_MS + 1500.0


async def work(line: Line, request: Received) -> None:
    """Answer after WORK_S, a stream with its first event at once.

    Streams of the route `brief` end at once, but for one that takes LONG_WORK_S.
    """
    if request.target.startswith('/brief/'):
        line.say(stream_head(request) + chunk(event(1)))
        await asyncio.sleep(LONG_WORK_S if request.target == SLOW_PATH else 0)
        line.say(chunk(event(2)) + chunk(b''))
        return
    if request.target.startswith('/stream/'):
        line.say(stream_head(request) + chunk(event(1)))
        await asyncio.sleep(WORK_S)
        line.say(chunk(event(2)) + chunk(b''))
        return
    await asyncio.sleep(WORK_S)
    line.say(answer(request))


class CallerAnswer(NamedTuple):
    """What a caller received.

    Attributes:
        sent_ms: when the request was sent, after the stop signal.
        raw: all bytes until the gateway closed the connection.
    """

    sent_ms: float
    raw: bytes

    @property
    def refused(self) -> bool:
        """Return whether the caller was told that the request has not run."""
        return self.raw.startswith(b'HTTP/1.1 503 ')

    @property
    def whole(self) -> bool:
        """Return whether the caller received the host's whole answer."""
        ended = self.raw.endswith((b'\r\n\r\nhello', b'0\r\n\r\n'))
        return self.raw.startswith(b'HTTP/1.1 200 ') and ended


class PlannedStop:
    """A gateway process with one host that is stopped while callers send.

    Attributes:
        answers: what callers received, each a future until then.
    """

    def __init__(self) -> None:
        """Create the process; nothing runs yet."""
        self.port = free_port()
        self.process = make_process(self.port)
        self.host = ScriptedHost('host', work)
        self.answers: list[asyncio.Task[CallerAnswer]] = []
        self.began_ms = 0.0

    async def start(self) -> None:
        """Start the host and the servers, and measure one call of each route."""
        gateway = self.process.gateway
        body = json.dumps(CONFIGURATION).encode()
        gateway.active_configuration.apply(StoredObject('config/main', body, 1))
        listed = await self.host.start()
        gateway.host_table.register(listed._replace(slots=SLOTS), 1)
        await self.process.caller_server.start()
        paths = ('/once/0', '/again/0', '/stream/0')
        await asyncio.gather(*(self.exchange(path) for path in paths))

    async def exchange(self, path: str, pause_s: float = 0) -> CallerAnswer:
        """Send a request, its body after a pause, and read until the end."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        sent_ms = self.process.clock.now_ms() - self.began_ms
        head = (
            f'POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n'
            f'X-Pollenwalk-Request-Id: {path}\r\nConnection: close\r\n\r\n'
        )
        writer.write(head.encode())
        await asyncio.sleep(pause_s)
        writer.write(b'{}')
        raw = await reader.read()
        writer.close()
        return CallerAnswer(sent_ms, raw)

    def send_at(self, delay_ms: float, path: str, pause_s: float = 0) -> None:
        """Send a request some time after the signal."""

        async def later() -> CallerAnswer:  # noqa: WPS430
            await asyncio.sleep(delay_ms / 1000)
            return await self.exchange(path, pause_s)

        self.answers.append(asyncio.ensure_future(later()))

    async def stop(self) -> list[CallerAnswer]:
        """Stop the gateway as SIGTERM does; return what callers received."""
        self.began_ms = self.process.clock.now_ms()
        await self.process.drain(GRACE_MS)
        received = await asyncio.gather(*self.answers, return_exceptions=True)
        self.host.stop()
        return [one for one in received if isinstance(one, CallerAnswer)]


class LateRequestTest(testtools.TestCase):
    """Requests that come late in the grace period of a planned stop."""

    @on_loop
    async def test_late_request_is_not_cut(self) -> None:
        stop = PlannedStop()
        await stop.start()
        last_ms = int(GRACE_MS - CLOSE_RESERVE_MS)
        for kind in ('once', 'again', 'stream'):
            for sent_ms in range(0, last_ms, 150):
                stop.send_at(sent_ms, f'/{kind}/{sent_ms}')
        received = await stop.stop()
        cut = [one for one in received if not (one.whole or one.refused)]
        self.assertEqual([], [one for one in cut if one.raw])
        reached = stop.host.received
        self.assertTrue(len(reached) > 20)
        self.assertTrue(any(one.refused for one in received))
        refused = {one for one in received if one.refused}
        for one in refused:
            self.assertIn(b'connection: close', one.raw.lower())
            self.assertIn(b'retry-after: ', one.raw.lower())
        # Whatever reached the host was answered whole.
        self.assertEqual(len(reached), 3 + sum(one.whole for one in received))

    @on_loop
    async def test_early_requests_are_served(self) -> None:
        stop = PlannedStop()
        await stop.start()
        for kind in ('once', 'again', 'stream'):
            for sent_ms in (0, 400):
                stop.send_at(sent_ms, f'/{kind}/{sent_ms}')
        received = await stop.stop()
        self.assertEqual([], [one.raw for one in received if not one.whole])

    @on_loop
    async def test_slow_body_that_ends_late_is_refused(self) -> None:
        stop = PlannedStop()
        await stop.start()
        pause_s = (GRACE_MS - CLOSE_RESERVE_MS) / 1000 - 0.3
        stop.send_at(0, '/once/slow', pause_s)
        never = asyncio.ensure_future(stop.exchange('/once/never', 7))
        stop.send_at(0, '/again/1')
        slow, again = await stop.stop()
        self.assertTrue(slow.refused)
        self.assertTrue(again.whole)
        self.assertTrue((await never).refused)
        targets = {request.target for request in stop.host.received}
        self.assertNotIn('/once/slow', targets)
        self.assertNotIn('/once/never', targets)

    @on_loop
    async def test_late_stream_that_is_longer_than_others(self) -> None:
        # Guards against a stream that is sent once callers have gone, taken as others of
        # its route are brief, and cut.
        stop = PlannedStop()
        await stop.start()
        for number in range(BRIEF_STREAMS):
            await stop.exchange(f'/brief/{number}')
        sent_ms = BALANCER_REMOVAL_MS + 200
        # Keeps the gateway from having nothing to do, and so from stopping early.
        stop.send_at(sent_ms - 500, '/once/1')
        stop.send_at(sent_ms, SLOW_PATH)
        received = await stop.stop()
        self.assertEqual(
            [], [one.raw for one in received if not (one.whole or one.refused)]
        )
        targets = [request.target for request in stop.host.received]
        self.assertNotIn(SLOW_PATH, targets)

    @on_loop
    async def test_late_request_on_a_kept_connection(self) -> None:
        stop = PlannedStop()
        await stop.start()
        reader, writer = await asyncio.open_connection('127.0.0.1', stop.port)
        writer.write(kept_request('/again/before'))
        await reader.readuntil(b'hello')
        late_s = (GRACE_MS - CLOSE_RESERVE_MS) / 1000 - WORK_S / 2

        async def send_late() -> bytes:  # noqa: WPS430
            await asyncio.sleep(late_s)
            writer.write(kept_request('/once/late'))
            return await reader.read()

        # Keeps the gateway from having nothing to do, and so from stopping early.
        stop.send_at(0, '/once/slow', late_s - WORK_S / 2)
        late = asyncio.ensure_future(send_late())
        await stop.stop()
        raw = await late
        writer.close()
        targets = [request.target for request in stop.host.received]
        self.assertNotIn('/once/late', targets)
        self.assertTrue(not raw or raw.startswith(b'HTTP/1.1 503 '), raw)


def kept_request(path: str) -> bytes:
    """Return a request after which the connection is kept."""
    head = (
        f'POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n'
        f'X-Pollenwalk-Request-Id: {path}\r\n\r\n'
    )
    return head.encode() + b'{}'
