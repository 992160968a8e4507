"""Answers of hosts in trouble whose status is none of HTTP, in each way an answer takes."""

from typing import Any

import testtools

from pollenwalk.errors import BrokenAnswer, Outcome, Refusal
from standin.platform.host import SIGNED, Line, Received, event
from test.helper import on_loop
from test.request.test_forwarding import (
    RESUMABLE,
    ROUTE,
    STREAM,
    UNSAFE,
    Hosts,
    Script,
    answers_hello,
    breaks_after,
    run,
    streams_to_end,
)
from test.request.test_hedged_unary import SLOW_S, Hanging, HedgedCase, after

NOT_HTTP = ('000', '001', '042', '099', '600', '777', '999', '0', '42', '1000', '-01')
NOT_RUN = b'X-Pollenwalk-Not-Executed: 1\r\n'
WHOLE_STREAM = b''.join(map(event, range(1, 5)))


def answers_status(status: str, more: bytes = SIGNED) -> Script:
    """Return a script that writes a whole answer with any status."""

    async def script(line: Line, request: Received) -> None:
        head = (
            f'HTTP/1.1 {status} Odd\r\nX-Pollenwalk-Request-Id: {request.id}\r\n'
            'Content-Length: 7\r\n'
        )
        line.say(head.encode() + more + b'\r\ngarbage')

    return script


class OddStatusesTest(testtools.TestCase):
    """What callers get when a host answers with such a status."""

    async def check_goes_on(self, route: Any, bad: Script, good: Script) -> bytes:
        """Check that another host is asked; return the body that the caller gets."""
        reply, error = await run(Hosts(bad, good), route)
        self.assertIsNone(error)
        self.assertEqual((200, True), (reply.status, reply.finished))
        return reply.body

    async def check_unknown(self, route: Any, *scripts: Script) -> None:
        """Check that the caller is told that the call may have run."""
        reply, error = await run(Hosts(*scripts), route)
        self.assertIsInstance(error, Refusal)
        self.assertEqual(Outcome.UNKNOWN, error.outcome)
        self.assertFalse(reply.started)

    @on_loop
    async def test_idempotent_call_is_sent_again(self) -> None:
        for status in NOT_HTTP:
            for more in (SIGNED, b'', SIGNED + NOT_RUN):
                bad = answers_status(status, more)
                body = await self.check_goes_on(ROUTE, bad, answers_hello)
                self.assertEqual(b'hello', body, (status, more))

    @on_loop
    async def test_call_that_may_run_once_is_not_repeated(self) -> None:
        for status in NOT_HTTP:
            await self.check_unknown(UNSAFE, answers_status(status), answers_hello)

    @on_loop
    async def test_word_that_it_did_not_run_with_such_a_status(self) -> None:
        # Guards against a repeat on the word of an answer that is not HTTP.
        for status in NOT_HTTP:
            bad = answers_status(status, SIGNED + NOT_RUN)
            await self.check_unknown(UNSAFE, bad, answers_hello)

    @on_loop
    async def test_stream_begins_elsewhere(self) -> None:
        for status in NOT_HTTP:
            bad = answers_status(status)
            body = await self.check_goes_on(RESUMABLE, bad, streams_to_end)
            self.assertEqual(WHOLE_STREAM, body, status)
            await self.check_unknown(STREAM, bad, streams_to_end)

    @on_loop
    async def test_resumed_stream_is_broken_off(self) -> None:
        for status in NOT_HTTP:
            begins = breaks_after(event(1))
            reply, error = await run(Hosts(begins, answers_status(status)), RESUMABLE)
            self.assertIsInstance(error, BrokenAnswer | Refusal)
            self.assertEqual((200, False), (reply.status, reply.finished), status)
            self.assertEqual(event(1), reply.body)

    @on_loop
    async def test_statuses_of_http_are_forwarded(self) -> None:
        for status in (200, 204, 299, 300, 404, 499, 500, 599):
            script = answers_status(str(status))
            reply, error = await run(Hosts(script), ROUTE)
            self.assertEqual((None, status), (error, reply.status))


class HedgedOddStatusesTest(HedgedCase):
    """Such an answer to one of two attempts."""

    @on_loop
    async def test_answer_of_the_other_attempt_is_taken(self) -> None:
        for status in NOT_HTTP:
            for first, second in (
                (after(SLOW_S, answers_hello), answers_status(status)),
                (Hanging(), answers_hello),
            ):
                context = await self.start(first, second)
                reply, error = await self.call(context)
                self.assertEqual((None, b'hello'), (error, reply.body), status)
