"""What an upstream host may send, and what becomes of its connection."""

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
# Ample for a few bytes over loopback.
ARRIVAL_S = 0.05
OTHER = Received('GET', '/', {'x-pollenwalk-request-id': 'another'}, b'')
Doing = Callable[[Line, Received], Awaitable[None]]


def says(*parts: Callable[[Received], bytes] | bytes) -> Doing:
    """Write some bytes one after the other."""

    async def script(line: Line, request: Received) -> None:
        for part in parts:
            line.say(part if isinstance(part, bytes) else part(request))

    return script


def then_close(script: Doing) -> Doing:
    """End the connection in order after a script."""

    async def closing(line: Line, request: Received) -> None:
        await script(line, request)
        line.writer.close()
        await line.writer.wait_closed()

    return closing


def then_reset(script: Doing) -> Doing:
    """End the connection without order after a script."""

    async def resetting(line: Line, request: Received) -> None:
        await script(line, request)
        await line.writer.drain()
        line.reset()

    return resetting


def no_length(request: Received) -> bytes:
    """Begin an answer that ends with its connection."""
    return (
        b'HTTP/1.1 200 OK\r\nX-Pollenwalk-Request-Id: '
        + request.id.encode()
        + b'\r\n'
        + SIGNED
        + b'\r\nhello'
    )


class Case(NamedTuple):
    """What a host does.

    Attributes:
        name: of the case.
        script: of the host.
        body: what must arrive; None where the answer must count as broken.
        reusable: whether the connection may carry another request.
    """

    name: str
    script: Doing
    body: bytes | None
    reusable: bool


CASES = (
    Case('whole', says(answer), b'hello', True),
    Case('chunked', says(stream_head, chunk(b'hello'), chunk(b'')), b'hello', True),
    Case('ended by its connection', then_close(says(no_length)), b'hello', False),
    Case('reset instead of its end', then_reset(says(no_length)), None, False),
    Case(
        'cut by its length',
        then_close(says(lambda request: answer(request)[:-2])),
        None,
        False,
    ),
    Case(
        'cut between chunks',
        then_close(says(stream_head, chunk(b'hello'))),
        None,
        False,
    ),
    Case('no answer', then_close(says(b'')), None, False),
    Case('reset at once', then_reset(says(b'')), None, False),
    Case('not in the protocol', says(b'\x16\x03\x01 what\r\n\r\n'), None, False),
    Case(
        "another request's answer first",
        says(answer(OTHER, b'wrong'), answer),
        b'hello',
        False,
    ),
    Case(
        "only other requests' answers",
        then_close(says(answer(OTHER, b'wrong'))),
        None,
        False,
    ),
    Case('bytes behind the answer', says(answer, b'HTTP/1.1 200'), b'hello', False),
    Case(
        'a second answer behind the first',
        says(answer, lambda request: answer(request, b'twice')),
        b'hello',
        False,
    ),
    Case(
        'leaving',
        says(lambda request: answer(request, more=SIGNED + b'Connection: close\r\n')),
        b'hello',
        False,
    ),
    Case('not run', says(not_run), b'', True),
)


async def ask(link: UpstreamConnection) -> bytes:
    """Send one request and read the whole answer."""
    await link.send(
        b'POST',
        b'/p/1?x=%20',
        [(b'host', b'h'), (b'x-pollenwalk-request-id', ID.encode())],
        b'input',
    )
    await link.read_head(ID)
    return b''.join([part async for part in link.chunks()])


class AnswersTest(testtools.TestCase):
    """Every way an answer can come or not come."""

    def test_all(self) -> None:
        for case in CASES:
            with self.subTest(case.name):
                self.check(case)

    @on_loop
    async def run_case(self, case: Case) -> None:
        host = ScriptedHost('i-1', case.script)
        listed = await host.start()
        link = await open_upstream_connection(listed.address, 1)
        try:
            body = await ask(link)
        except BrokenAnswer:
            self.assertIsNone(case.body, case.name)
            link.abort()
        else:
            self.assertEqual(case.body, body, case.name)
            self.assertEqual(case.reusable, link.finish_exchange(), case.name)
        self.assertEqual([b'input'], [one.body for one in host.received])
        self.assertEqual(['/p/1?x=%20'], [one.target for one in host.received])
        host.stop()

    def check(self, case: Case) -> None:
        self.run_case(case)

    @on_loop
    async def test_bytes_while_idle_spoil_the_connection(self) -> None:
        lines: list[Line] = []

        async def script(line: Line, request: Received) -> None:
            lines.append(line)
            line.say(answer(request))

        host = ScriptedHost('i-1', script)
        link = await open_upstream_connection((await host.start()).address, 1)
        await ask(link)
        self.assertTrue(link.finish_exchange())
        lines[0].say(answer(OTHER, b'late'))
        await asyncio.sleep(ARRIVAL_S)
        self.assertFalse(link.reusable)
        with testtools.ExpectedException(NotSent):
            await ask(link)
        host.stop()

    @on_loop
    async def test_second_request_on_one_connection(self) -> None:
        host = ScriptedHost('i-1', says(answer))
        link = await open_upstream_connection((await host.start()).address, 1)
        for _ in range(2):
            self.assertEqual(b'hello', await ask(link))
            self.assertTrue(link.finish_exchange())
        self.assertEqual(1, host.connections)
        host.stop()

    @on_loop
    async def test_nobody_listens(self) -> None:
        host = ScriptedHost('i-1', says(answer))
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
        link = await open_upstream_connection((await host.start()).address, 1)
        await link.send(b'POST', b'/', [(b'host', b'h')], b'')
        await link.read_head(ID)
        self.assertEqual(event(1), await anext(link.chunks()))
        link.abort()
        host.stop()
