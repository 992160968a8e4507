"""Answers that have neither a length nor chunks and end with their connection."""

from collections.abc import Iterator
from typing import Any, NamedTuple

import testtools

from pollenwalk.errors import BrokenAnswer, Refusal
from pollenwalk.request.streaming import StandaloneTurn, run_stream
from pollenwalk.request.unary import run_unary
from pollenwalk.version.routes import Route
from standin.platform.host import SIGNED, Line, Received, event, stream_head
from test.helper import logged, on_loop
from test.request.test_forwarding import (
    RESUMABLE,
    ROUTE,
    STREAM,
    UNSAFE,
    Hosts,
    RecordedReply,
    Script,
    answers_hello,
    make_call,
    streams_to_end,
)

REQUEST = Received('POST', '/p/1', {'x-pollenwalk-request-id': 'r1'}, b'')
EVENTS = [event(number) for number in range(1, 5)]
WHOLE_STREAM = b''.join(EVENTS)
ANSWERED = 'answered'
CUT = 'cut'
REFUSED = 'refused'


def unframed_head(request: Received, content_type: str) -> bytes:
    """Return the head of a signed answer that ends with its connection."""
    head = (
        'HTTP/1.1 200 OK\r\n'
        f'X-Pollenwalk-Request-Id: {request.id}\r\n'
        f'Content-Type: {content_type}\r\n'
    )
    return b''.join((head.encode(), SIGNED, b'\r\n'))


STREAM_HEAD = unframed_head(REQUEST, 'text/event-stream')
PLAIN_ANSWER = unframed_head(REQUEST, 'text/plain') + b'hello'


def closes_after(raw: bytes) -> Script:
    """Return a script that sends `raw` and closes the connection orderly."""

    async def script(line: Line, request: Received) -> None:
        line.say(raw)
        line.writer.close()
        await line.writer.wait_closed()

    return script


def resets_after(raw: bytes) -> Script:
    """Return a script that sends `raw` and resets the connection."""

    async def script(line: Line, request: Received) -> None:
        line.say(raw)
        await line.writer.drain()
        line.reset()

    return script


class RecordedTurn(StandaloneTurn):
    """A turn that records whether its end was permitted, which stores it."""

    def __init__(self, body: bytes) -> None:
        """Begin a turn that is not complete."""
        super().__init__(body)
        self.stored = False

    async def before_end(self) -> None:
        """Record that the turn is complete."""
        self.stored = True


class Played(NamedTuple):
    """What came of one call.

    Attributes:
        result: ANSWERED, CUT or REFUSED.
        body: the bytes that the caller received.
        stored: whether the turn was taken for complete.
    """

    result: str
    body: bytes
    stored: bool


async def play(route: Route, *scripts: Script) -> Played:
    """Run one call at hosts with these scripts, of which the first is tried first."""
    hosts = Hosts(*scripts)
    context = await hosts.start()
    reply = RecordedReply()
    call = make_call(route)
    turn = RecordedTurn(call.request.body)
    try:
        if route.is_streaming:
            await run_stream(context, call, turn, reply)
        else:
            await run_unary(context, call, reply)
    except (BrokenAnswer, Refusal):
        result = CUT if reply.started else REFUSED
    else:
        result = ANSWERED if reply.finished else 'unfinished'
    finally:
        for host in hosts.hosts:
            host.stop()
    return Played(result, reply.body, turn.stored)


def whole_events(size_bytes: int) -> bytes:
    """Return the events that the first bytes of the whole stream contain."""
    complete = WHOLE_STREAM[:size_bytes].rpartition(b'\n\n')
    return complete[0] + complete[1]


def cuts() -> Iterator[tuple[bytes, bytes]]:
    """Yield each beginning of the stream's answer, and the whole events in it."""
    for size_bytes, _ in enumerate(STREAM_HEAD):
        yield STREAM_HEAD[:size_bytes], b''
    for size_bytes, _ in enumerate(WHOLE_STREAM):
        shown = whole_events(size_bytes)
        yield STREAM_HEAD + WHOLE_STREAM[:size_bytes], shown


def cuts_inside_events() -> Iterator[tuple[bytes, bytes]]:
    """Yield those beginnings that don't end with a whole event."""
    for sent, shown in cuts():
        if not shown or not sent.endswith(shown):
            yield sent, shown


class StreamTest(testtools.TestCase):
    """Streams that end with their connection."""

    @on_loop
    async def test_whole_stream_is_complete(self) -> None:
        whole = Played(ANSWERED, WHOLE_STREAM, True)
        for route in (STREAM, RESUMABLE):
            script = closes_after(STREAM_HEAD + WHOLE_STREAM)
            self.assertEqual(whole, await play(route, script, streams_to_end))

    @on_loop
    async def test_stream_cut_inside_an_event_is_not_complete(self) -> None:
        for sent, shown in cuts_inside_events():
            expected = Played(CUT if shown else REFUSED, shown, False)
            played = await play(STREAM, closes_after(sent), streams_to_end)
            self.assertEqual(expected, played, sent)

    @on_loop
    async def test_stream_cut_inside_an_event_is_resumed(self) -> None:
        whole = Played(ANSWERED, WHOLE_STREAM, True)
        for sent, _ in cuts_inside_events():
            played = await play(RESUMABLE, closes_after(sent), streams_to_end)
            self.assertEqual(whole, played, sent)

    @on_loop
    async def test_reset_stream_is_not_complete(self) -> None:
        for sent, _ in (*cuts(), (STREAM_HEAD + WHOLE_STREAM, WHOLE_STREAM)):
            played = await play(STREAM, resets_after(sent), streams_to_end)
            self.assertIn(played.result, (CUT, REFUSED), sent)
            self.assertFalse(played.stored, sent)

    @on_loop
    async def test_framed_stream_ending_in_an_event_is_cut(
        self,
    ) -> None:
        body = EVENTS[0] + EVENTS[1][:-1]
        framed = b'Content-Length: %d\r\n\r\n' % len(body)
        raw = STREAM_HEAD.removesuffix(b'\r\n') + framed + body
        for script in (closes_after(raw), chunked_stream(body)):
            self.assertEqual(Played(CUT, EVENTS[0], False), await play(STREAM, script))

    @on_loop
    async def test_cut_stream_closes_its_connection(self) -> None:
        hosts = Hosts(chunked_stream(b'id: 1\n'), answers_hello)
        context = await hosts.start()
        with testtools.ExpectedException(Refusal):
            turn = StandaloneTurn(b'')
            await run_stream(context, make_call(STREAM), turn, RecordedReply())
        self.assertEqual({}, context.pool.idle)
        for host in hosts.hosts:
            host.stop()

    @on_loop
    async def test_all_line_ends_are_recognised(self) -> None:
        for line_end in (b'\r\n', b'\r'):
            body = WHOLE_STREAM.replace(b'\n', line_end)
            script = closes_after(STREAM_HEAD + body)
            self.assertEqual(Played(ANSWERED, body, True), await play(STREAM, script))

    @on_loop
    async def test_answer_of_another_type_has_no_events(self) -> None:
        head = unframed_head(REQUEST, 'application/json')
        script = closes_after(head + b'{}')
        self.assertEqual(Played(ANSWERED, b'{}', True), await play(STREAM, script))

    @on_loop
    async def test_blank_lines_after_last_event_are_sent(self) -> None:
        body = WHOLE_STREAM + b'\n\r\n'
        script = closes_after(STREAM_HEAD + body)
        self.assertEqual(Played(ANSWERED, body, True), await play(STREAM, script))

    @on_loop
    async def test_line_of_an_orderly_end(self) -> None:
        with logged('answer_ended_by_close') as lines:
            await play(STREAM, closes_after(STREAM_HEAD + WHOLE_STREAM))
        self.assertEqual([len(WHOLE_STREAM)], [line['body_bytes'] for line in lines])


def chunked_stream(body: bytes) -> Script:
    """Return a script that sends `body` as a stream that is complete by its chunks."""
    chunks = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)

    async def script(line: Line, request: Received) -> None:
        line.say(stream_head(request) + chunks)

    return script


class UnaryTest(testtools.TestCase):
    """Unary answers that end with their connection."""

    async def play_body(self, route: Route, *scripts: Any) -> tuple[str, bytes]:
        """Return the result of a call and the body that the caller received."""
        played = await play(route, *scripts)
        return played.result, played.body

    @on_loop
    async def test_whole_answer_is_complete(self) -> None:
        result = await self.play_body(UNSAFE, closes_after(PLAIN_ANSWER))
        self.assertEqual((ANSWERED, b'hello'), result)

    @on_loop
    async def test_reset_answer_is_not_complete(self) -> None:
        for size_bytes, _ in enumerate((*PLAIN_ANSWER, 0)):
            script = resets_after(PLAIN_ANSWER[:size_bytes])
            result = await self.play_body(UNSAFE, script, answers_hello)
            self.assertEqual((REFUSED, b''), result, size_bytes)
            result = await self.play_body(ROUTE, script, answers_hello)
            self.assertEqual((ANSWERED, b'hello'), result, size_bytes)
