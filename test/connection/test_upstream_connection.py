"""Tests of what an upstream host may send and whether its connection is reused."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import testtools

from pollenwalk.connection.upstream_connection import (
    UpstreamConnection,
    open_upstream_connection,
)
from pollenwalk.errors import BrokenAnswer, NotSent
from standin.platform.host import (
    SIGNED,
    Line,
    Received,
    ScriptedHost,
    answer,
    chunk,
    event,
    not_run,
    stream_head,
)
from test.helper import on_loop

ID = 'r1'
# Time in which a few bytes reliably arrive over loopback.
ARRIVAL_S = 0.05
OTHER_REQUEST = Received('GET', '/', {'x-pollenwalk-request-id': 'another'}, b'')
Script = Callable[[Line, Received], Awaitable[None]]


def sends(*parts: Callable[[Received], bytes] | bytes) -> Script:
    """Return a script that sends these parts; functions get the request."""

    async def script(line: Line, request: Received) -> None:
        for part in parts:
            line.say(part if isinstance(part, bytes) else part(request))

    return script


def then_close(script: Script) -> Script:
    """Return a script that runs another one, then closes the connection orderly."""

    async def closing(line: Line, request: Received) -> None:
        await script(line, request)
        line.writer.close()
        await line.writer.wait_closed()

    return closing


def then_reset(script: Script) -> Script:
    """Return a script that runs another one, then resets the connection."""

    async def resetting(line: Line, request: Received) -> None:
        await script(line, request)
        await line.writer.drain()
        line.reset()

    return resetting


def answer_without_length(request: Received) -> bytes:
    """Return an answer without Content-Length, so that it ends with the connection."""
    return (
        b'HTTP/1.1 200 OK\r\nX-Pollenwalk-Request-Id: '
        + request.id.encode()
        + b'\r\n'
        + SIGNED
        + b'\r\nhello'
    )


class Case(NamedTuple):
    """The behaviour of a host and its expected effect.

    Attributes:
        name: name of the case.
        script: what the host sends for a request.
        body: body that must be received; None if `BrokenAnswer` must be raised.
        reusable: whether the connection may carry another request.
    """

    name: str
    script: Script
    body: bytes | None
    reusable: bool


CASES = (
    Case('complete', sends(answer), b'hello', True),
    Case('chunked', sends(stream_head, chunk(b'hello'), chunk(b'')), b'hello', True),
    Case(
        'ended by closing the connection',
        then_close(sends(answer_without_length)),
        b'hello',
        False,
    ),
    Case(
        'reset before the end',
        then_reset(sends(answer_without_length)),
        None,
        False,
    ),
    Case(
        'shorter than its length',
        then_close(sends(lambda request: answer(request)[:-2])),
        None,
        False,
    ),
    Case(
        'closed between chunks',
        then_close(sends(stream_head, chunk(b'hello'))),
        None,
        False,
    ),
    Case('no answer', then_close(sends(b'')), None, False),
    Case('reset at once', then_reset(sends(b'')), None, False),
    Case('not HTTP', sends(b'\x16\x03\x01 what\r\n\r\n'), None, False),
    Case(
        "another request's answer first",
        sends(answer(OTHER_REQUEST, b'wrong'), answer),
        b'hello',
        False,
    ),
    Case(
        "only other requests' answers",
        then_close(sends(answer(OTHER_REQUEST, b'wrong'))),
        None,
        False,
    ),
    Case('bytes after the answer', sends(answer, b'HTTP/1.1 200'), b'hello', False),
    Case(
        'a second answer after the first',
        sends(answer, lambda request: answer(request, b'twice')),
        b'hello',
        False,
    ),
    Case(
        'leaving',
        sends(lambda request: answer(request, more=SIGNED + b'Connection: close\r\n')),
        b'hello',
        False,
    ),
    Case('not run', sends(not_run), b'', True),
)


async def request_body(connection: UpstreamConnection) -> bytes:
    """Send a request and return the body of its answer."""
    await connection.send(
        b'POST',
        b'/p/1?x=%20',
        [(b'host', b'h'), (b'x-pollenwalk-request-id', ID.encode())],
        b'input',
    )
    await connection.read_head(ID)
    return b''.join([part async for part in connection.chunks()])


class AnswersTest(testtools.TestCase):
    """Tests of complete, broken and unexpected answers."""

    def test_all_cases(self) -> None:
        for case in CASES:
            with self.subTest(case.name):
                self.check(case)

    @on_loop
    async def run_case(self, case: Case) -> None:
        host = ScriptedHost('i-1', case.script)
        listed = await host.start()
        connection = await open_upstream_connection(listed.address, 1)
        try:
            body = await request_body(connection)
        except BrokenAnswer:
            self.assertIsNone(case.body, case.name)
            connection.abort()
        else:
            self.assertEqual(case.body, body, case.name)
            self.assertEqual(case.reusable, connection.finish_exchange(), case.name)
        self.assertEqual([b'input'], [received.body for received in host.received])
        self.assertEqual(
            ['/p/1?x=%20'], [received.target for received in host.received]
        )
        host.stop()

    def check(self, case: Case) -> None:
        self.run_case(case)

    @on_loop
    async def test_bytes_while_idle_prevent_reuse(self) -> None:
        lines: list[Line] = []

        async def script(line: Line, request: Received) -> None:
            lines.append(line)
            line.say(answer(request))

        host = ScriptedHost('i-1', script)
        connection = await open_upstream_connection((await host.start()).address, 1)
        await request_body(connection)
        self.assertTrue(connection.finish_exchange())
        lines[0].say(answer(OTHER_REQUEST, b'late'))
        await asyncio.sleep(ARRIVAL_S)
        self.assertFalse(connection.reusable)
        with testtools.ExpectedException(NotSent):
            await request_body(connection)
        host.stop()

    @on_loop
    async def test_second_request_on_one_connection(self) -> None:
        host = ScriptedHost('i-1', sends(answer))
        connection = await open_upstream_connection((await host.start()).address, 1)
        for _ in range(2):
            self.assertEqual(b'hello', await request_body(connection))
            self.assertTrue(connection.finish_exchange())
        self.assertEqual(1, host.connections)
        host.stop()

    @on_loop
    async def test_nothing_listens(self) -> None:
        host = ScriptedHost('i-1', sends(answer))
        listed = await host.start()
        host.stop()
        with testtools.ExpectedException(NotSent):
            await open_upstream_connection(listed.address, 1)

    @on_loop
    async def test_events_arrive_before_the_stream_ends(self) -> None:
        async def script(line: Line, request: Received) -> None:
            line.say(stream_head(request) + chunk(event(1)))
            await line.gone()

        host = ScriptedHost('i-1', script)
        connection = await open_upstream_connection((await host.start()).address, 1)
        await connection.send(b'POST', b'/', [(b'host', b'h')], b'')
        await connection.read_head(ID)
        self.assertEqual(event(1), await anext(connection.chunks()))
        connection.abort()
        host.stop()
