"""Faulty hosts: refusals written twice, errors in streams, heads that break off."""

import asyncio
from typing import Any

import testtools

from pollenwalk.errors import BrokenAnswer, Outcome, Refusal
from pollenwalk.request.unary import run_unary
from standin.platform.host import (
    SIGNED,
    Line,
    Received,
    answer,
    chunk,
    event,
    not_run,
    stream_head,
)
from test.helper import on_loop
from test.request.test_forwarding import (
    RESUMABLE,
    ROUTE,
    STREAM,
    UNSAFE,
    Hosts,
    RecordedReply,
    Script,
    answers_hello,
    answers_with_error,
    breaks_after,
    in_turn,
    make_call,
    refuses_unrun,
    run,
)

# A call may try a host again that refused it.
PATIENT = UNSAFE._replace(target_ms=2000)
RUN_S = 0.05
ANONYMOUS_REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'X-Pollenwalk-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)


def repeats_before(refusal: bytes | None) -> Script:
    """Return a script that writes an earlier refusal again, then runs the request.

    Args:
        refusal: the refusal; None for one with the id of the present request, as if
            that had been refused before.
    """

    async def script(line: Line, request: Received) -> None:
        line.say(not_run(request) if refusal is None else refusal)
        await asyncio.sleep(RUN_S)
        line.say(answer(request))

    return script


def breaks_off_head(head: bytes) -> Script:
    """Return a script that writes a part of a head and closes the connection."""

    async def script(line: Line, request: Received) -> None:
        line.say(head)
        await line.writer.drain()
        line.writer.close()

    return script


HEADS = (
    b'HTTP/1.1 200',
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 200 OK\r\n' + SIGNED,
    b'HTTP/1.1 200 OK\r\n' + SIGNED + b'Content-Length: 0\r\n',
    b'HTTP/1.1 200 OK\r\n' + SIGNED + b'Content-Type: text/event-stream\r\n',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n' + SIGNED + b'Content-Ty',
)


class RepeatedRefusalTest(testtools.TestCase):
    """A host writes an earlier refusal once more on a kept connection."""

    async def call_after(self, first: Script, second: Script) -> tuple[Hosts, Any]:
        """Make two calls to one host, and return the second one's error."""
        hosts = Hosts(in_turn(first, second, answers_hello, answers_hello))
        context = await hosts.start()
        error = None
        for _ in range(2):
            error = None
            try:
                await run_unary(context, make_call(PATIENT), RecordedReply())
            except Refusal as refusal:
                error = refusal
        hosts.hosts[0].stop()
        return hosts, error

    @on_loop
    async def test_refusal_without_id_proves_nothing(self) -> None:
        hosts, error = await self.call_after(
            answers_hello, repeats_before(ANONYMOUS_REFUSAL)
        )
        self.assertEqual([2], hosts.request_counts())
        self.assertEqual(Outcome.UNKNOWN, error.outcome)

    @on_loop
    async def test_refused_call_takes_another_connection(self) -> None:
        hosts = Hosts(in_turn(refuses_unrun, answers_hello))
        context = await hosts.start()
        reply = RecordedReply()
        await run_unary(context, make_call(PATIENT), reply)
        self.assertEqual(b'hello', reply.body)
        self.assertEqual(2, hosts.hosts[0].connections)
        hosts.hosts[0].stop()

    @on_loop
    async def test_other_calls_keep_the_connection(self) -> None:
        hosts = Hosts(in_turn(refuses_unrun, answers_hello, answers_hello))
        context = await hosts.start()
        for _ in range(2):
            await run_unary(context, make_call(PATIENT), RecordedReply())
        self.assertEqual(2, hosts.hosts[0].connections)
        hosts.hosts[0].stop()


class BegunStreamTest(testtools.TestCase):
    """A stream has begun and breaks off, and the next host answers with an error."""

    async def resume_with(self, script: Script) -> tuple[RecordedReply, Any]:
        """Let a stream break off after two events, then go on with a script."""
        begin = breaks_after(event(1) + event(2))

        async def begin_once(line: Line, request: Received) -> None:  # noqa: WPS430
            resumes = 'last-event-id' in request.headers
            await (script if resumes else begin)(line, request)

        return await run(Hosts(begin_once, script, script), RESUMABLE)

    @on_loop
    async def test_error_is_not_shown_in_the_stream(self) -> None:
        scripts = (answers_with_error, refuses_unrun, *map(breaks_off_head, HEADS))
        for script in scripts:
            reply, error = await self.resume_with(script)
            self.assertEqual(event(1) + event(2), reply.body)
            self.assertFalse(reply.finished)
            self.assertIsInstance(error, (BrokenAnswer, Refusal))


class BrokenHeadTest(testtools.TestCase):
    """A host stops in the middle of the head of its answer and closes."""

    @on_loop
    async def test_broken_head_is_no_answer(self) -> None:
        for head in HEADS:
            for route in (UNSAFE, STREAM):
                hosts = Hosts(breaks_off_head(head))
                reply, error = await run(hosts, route._replace(max_attempts=1))
                self.assertFalse(reply.started, head)
                self.assertEqual(Outcome.UNKNOWN, error.outcome, head)

    @on_loop
    async def test_idempotent_call_goes_to_another_host(self) -> None:
        for head in HEADS:
            reply, _ = await run(Hosts(breaks_off_head(head), answers_hello), ROUTE)
            self.assertEqual(b'hello', reply.body, head)

    @on_loop
    async def test_stream_goes_to_another_host(self) -> None:
        async def streams(line: Line, request: Received) -> None:  # noqa: WPS430
            line.say(stream_head(request) + chunk(event(1)) + chunk(b''))

        for head in HEADS:
            reply, _ = await run(Hosts(breaks_off_head(head), streams), RESUMABLE)
            self.assertEqual(event(1), reply.body, head)


class UnwritableTest(testtools.TestCase):
    """Hosts to which no request can be written."""

    @on_loop
    async def test_host_that_no_request_can_be_written_to(self) -> None:
        # Guards against a host that fails each call at once, looks idle therefore, and
        # is chosen first again and again.
        hosts = Hosts(answers_hello, answers_hello)
        context = await hosts.start()
        states = context.call_placer.host_table.states
        odd = next(iter(states.values()))
        odd.registration = odd.registration._replace(id='i\u2013odd')
        reply = RecordedReply()
        await run_unary(context, make_call(UNSAFE), reply)
        self.assertEqual(200, reply.status)
        self.assertEqual([0, 1], hosts.request_counts())
        self.assertEqual(1, odd.failures)
        for host in hosts.hosts:
            host.stop()
