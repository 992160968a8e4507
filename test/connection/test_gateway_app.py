"""Tests of the gateway's answers to HTTP requests, at the level of bytes."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import testtools

from pollenwalk.connection.gateway_app import GatewayApp, Handler
from pollenwalk.connection.http_server import HttpServer, free_port
from pollenwalk.errors import BrokenAnswer, Outcome, Refusal, RefusalCode
from pollenwalk.process.clock import LoopClock
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.request.http_messages import Request
from pollenwalk.request.reply import Reply
from test.helper import logged, on_loop

REQUEST = (
    b'POST /p/%41?x=%20&y HTTP/1.1\r\nHost: a.example\r\n'
    b'X-Pollenwalk-Request-Id: r1\r\nConnection: keep-alive, X-Hop\r\n'
    b'X-Hop: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
)
# Time within which a request must be cancelled after its caller left.
CANCEL_TIMEOUT_S = 0.5
# Time that a stopped server gives requests, and time until it must have ended, which
# is what a gateway's grace period reserves for it.
STOP_GRACE_S = 0.2
STOP_LIMIT_S = 0.7
MAX_BODY_BYTES = 100


@asynccontextmanager
async def serving(
    handle: Handler, metrics: GatewayMetrics | None = None
) -> AsyncIterator[tuple[GatewayApp, int]]:
    """Serve the application; yield it and its port.

    Args:
        handle: answers the requests.
        metrics: counts refusals and interruptions; None if they are not read.
    """
    counts = metrics or GatewayMetrics()
    app = GatewayApp(
        LoopClock(),
        handle,
        counts.count_refusal,
        counts.count_interruption,
        lambda: MAX_BODY_BYTES,
    )
    port = free_port()
    server = HttpServer(app, '127.0.0.1', port)
    await server.start()
    try:
        yield app, port
    finally:
        await server.stop()


async def exchange(port: int, raw: bytes) -> bytes:
    """Send bytes and return what arrives until the gateway closes."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(raw)
    async with asyncio.timeout(5):
        received = await reader.read()
    writer.close()
    return received


def interruptions(metrics: GatewayMetrics) -> dict[str, float]:
    """Return the counts of interrupted answers by cause."""
    counter = metrics.interrupted_total
    return {labels['cause']: count for labels, count in counter.get_all()}


def refusals(metrics: GatewayMetrics) -> list[tuple[str, str, float]]:
    """Return code, outcome and count of the refusals."""
    return [
        (labels['code'], labels['outcome'], count)
        for labels, count in metrics.refused_total.get_all()
    ]


def failing_handler(error: Exception, *, begun: bool) -> Handler:
    """Return a handler that raises an error, after a part of an answer if `begun`."""

    async def handle(_: Request, reply: Reply) -> None:
        if begun:
            await reply.start(200, [])
            await reply.write(b'part')
        raise error

    return handle


class GatewayAppTest(testtools.TestCase):
    """Tests of requests over a socket."""

    @on_loop
    async def test_a_request_arrives_unchanged(self) -> None:
        seen: list[Request] = []

        async def handle(request: Request, reply: Reply) -> None:
            seen.append(request)
            await reply.send_complete(200, [(b'x-own', b'1')], b'hello')

        async with serving(handle) as (app, port):
            app.close_connections = True
            answer = await exchange(port, REQUEST)
        request = seen[0]
        self.assertEqual(b'/p/%41?x=%20&y', request.target)
        self.assertEqual(b'abcde', request.body)
        self.assertEqual('r1', request.metadata.id)
        self.assertNotIn(b'x-hop', dict(request.headers))
        self.assertTrue(answer.startswith(b'HTTP/1.1 200 '))
        self.assertIn(b'connection: close', answer.lower())
        self.assertTrue(answer.endswith(b'\r\n\r\nhello'))

    @on_loop
    async def test_statuses_match_the_outcomes(self) -> None:
        cases = (
            (Refusal(RefusalCode.NO_UPSTREAM, '', retry_after_ms=250), 503),
            (Refusal(RefusalCode.UPSTREAM_FAILED, '', Outcome.UNKNOWN), 502),
            (Refusal(RefusalCode.DEADLINE, '', Outcome.UNKNOWN), 504),
            (Refusal(RefusalCode.BUDGET_EXHAUSTED, ''), 402),
            (Refusal(RefusalCode.BUDGET_EXHAUSTED, '', Outcome.UNKNOWN), 502),
            (Refusal(RefusalCode.UNKNOWN_ROUTE, ''), 404),
            (Refusal(RefusalCode.UNKNOWN_TURN, ''), 404),
            (Refusal(RefusalCode.KEEPERS_UNAVAILABLE, ''), 503),
            (Refusal(RefusalCode.KEEPERS_UNAVAILABLE, '', Outcome.UNKNOWN), 502),
        )
        for refusal, status in cases:

            async def handle(_: Request, reply: Reply) -> None:
                raise refusal  # noqa: B023

            async with serving(handle) as (app, port):
                app.close_connections = True
                answer = await exchange(port, REQUEST)
            self.assertTrue(answer.startswith(f'HTTP/1.1 {status} '.encode()), refusal)
            self.assertEqual(
                refusal.retry_after_ms is not None,
                b'retry-after: 0.250' in answer,
            )

    @on_loop
    async def test_a_too_large_body_is_refused(self) -> None:
        async def handle(_: Request, reply: Reply) -> None:
            raise AssertionError('handled')

        body = b'x' * (MAX_BODY_BYTES + 1)
        head = f'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n'
        async with serving(handle) as (app, port):
            app.close_connections = True
            answer = await exchange(port, head.encode() + body)
        self.assertTrue(answer.startswith(b'HTTP/1.1 413 '))

    @on_loop
    async def test_a_broken_stream_is_left_incomplete(self) -> None:
        async def handle(_: Request, reply: Reply) -> None:
            await reply.start(200, [])
            await reply.write(b'part')
            raise BrokenAnswer('cut')

        async with serving(handle) as (_, port):
            answer = await exchange(port, REQUEST)
        self.assertIn(b'part', answer)
        self.assertFalse(answer.endswith(b'0\r\n\r\n'))

    @on_loop
    async def test_an_unexpected_error_has_an_unknown_outcome(self) -> None:
        async def handle(_: Request, reply: Reply) -> None:
            raise ValueError('defect')

        async with serving(handle) as (app, port):
            app.close_connections = True
            answer = await exchange(port, REQUEST)
        self.assertTrue(answer.startswith(b'HTTP/1.1 502 '))

    @on_loop
    async def test_a_request_is_cancelled_if_its_caller_leaves(self) -> None:
        ended = asyncio.Event()

        async def handle(_: Request, reply: Reply) -> None:
            try:
                await asyncio.Event().wait()
            finally:
                ended.set()

        async with serving(handle) as (_, port):
            _reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(REQUEST)
            await asyncio.sleep(0.05)
            writer.close()
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                await ended.wait()

    @on_loop
    async def test_caller_left_line_tells_if_begun(self) -> None:
        for begun in (False, True):
            metrics = GatewayMetrics()
            with logged('caller_left') as lines:
                await self.leave(metrics, begun=begun)
            self.assertEqual([begun], [line['begun'] for line in lines])
            expected = {'caller_left': 1} if begun else {}
            self.assertEqual(expected, interruptions(metrics))
            self.assertEqual([], refusals(metrics))

    async def leave(self, metrics: GatewayMetrics, *, begun: bool) -> None:
        """Leave before the end of an answer, after its first part if `begun`."""

        async def handle(_: Request, reply: Reply) -> None:
            if begun:
                await reply.start(200, [])
                await reply.write(b'part')
            await asyncio.Event().wait()

        async with serving(handle, metrics) as (app, port):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(REQUEST)
            if begun:
                await reader.readuntil(b'part')
            else:
                await asyncio.sleep(0.05)
            writer.close()
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                while app.in_progress:
                    await asyncio.sleep(0.01)

    @on_loop
    async def test_stop_ends_after_its_grace_time(self) -> None:
        for begun in (False, True):
            _, took_s = await self.stop_meanwhile(GatewayMetrics(), [], begun=begun)
            self.assertTrue(took_s < STOP_LIMIT_S, took_s)

    @on_loop
    async def test_request_cut_by_a_stop_is_counted(self) -> None:
        for begun in (False, True):
            metrics = GatewayMetrics()
            cancelled: list[str] = []
            answer, _ = await self.stop_meanwhile(metrics, cancelled, begun=begun)
            self.assertEqual(['stopping'], cancelled)
            self.assertEqual(begun, b'part' in answer)
            self.assertEqual(not begun, answer.startswith(b'HTTP/1.1 502 '))
            self.assertFalse(answer.endswith(b'0\r\n\r\n'))
            expected = {'stopping': 1} if begun else {}
            self.assertEqual(expected, interruptions(metrics))
            self.assertEqual([('stopping', 'unknown', 1)], refusals(metrics))

    async def stop_meanwhile(
        self, metrics: GatewayMetrics, cancelled: list[str], *, begun: bool
    ) -> tuple[bytes, float]:
        """Stop the server during a request that does not end.

        Args:
            metrics: counts refusals and interruptions.
            cancelled: gets the cause with which the handler is cancelled.
            begun: whether a part of the answer is sent.

        Returns:
            The bytes that the caller received, and how long the stop took.
        """
        running = asyncio.Event()

        async def handle(_: Request, reply: Reply) -> None:
            if begun:
                await reply.start(200, [])
                await reply.write(b'part')
            running.set()
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError as error:
                cancelled.extend(error.args)
                raise

        app = GatewayApp(
            LoopClock(),
            handle,
            metrics.count_refusal,
            metrics.count_interruption,
            lambda: MAX_BODY_BYTES,
        )
        port = free_port()
        server = HttpServer(app, '127.0.0.1', port)
        await server.start()
        receiving = asyncio.ensure_future(exchange(port, REQUEST))
        await running.wait()
        start_s = time.monotonic()
        await server.stop(STOP_GRACE_S)
        took_s = time.monotonic() - start_s
        return await receiving, took_s

    @on_loop
    async def test_interrupted_answers_are_counted_by_cause(self) -> None:
        cases = (
            (Refusal(RefusalCode.BUDGET_EXHAUSTED, ''), 'budget_exhausted'),
            (Refusal(RefusalCode.DEADLINE, '', Outcome.UNKNOWN), 'deadline'),
            (Refusal(RefusalCode.KEEPERS_UNAVAILABLE, ''), 'keepers_unavailable'),
            (BrokenAnswer('cut'), 'broken_answer'),
            (ValueError('defect'), 'internal'),
        )
        for error, cause in cases:
            metrics = GatewayMetrics()
            async with serving(failing_handler(error, begun=True), metrics) as (
                _,
                port,
            ):
                answer = await exchange(port, REQUEST)
            self.assertIn(b'part', answer)
            self.assertFalse(answer.endswith(b'0\r\n\r\n'))
            self.assertEqual({cause: 1}, interruptions(metrics))

    @on_loop
    async def test_failure_before_answer_is_no_interruption(self) -> None:
        for error in (
            Refusal(RefusalCode.BUDGET_EXHAUSTED, ''),
            BrokenAnswer('cut'),
            ValueError('defect'),
        ):
            metrics = GatewayMetrics()
            handle = failing_handler(error, begun=False)
            async with serving(handle, metrics) as (app, port):
                app.close_connections = True
                await exchange(port, REQUEST)
            self.assertEqual({}, interruptions(metrics))

    @on_loop
    async def test_complete_answer_is_no_interruption(self) -> None:
        async def stream(_: Request, reply: Reply) -> None:
            await reply.start(200, [])
            await reply.write(b'part')
            await reply.finish()

        async def send(_: Request, reply: Reply) -> None:
            await reply.send_complete(200, [], b'whole')

        async def fail_after_end(request: Request, reply: Reply) -> None:
            await stream(request, reply)
            raise ValueError('defect')

        for handle in (stream, send, fail_after_end):
            metrics = GatewayMetrics()
            async with serving(handle, metrics) as (app, port):
                app.close_connections = True
                await exchange(port, REQUEST)
            self.assertEqual({}, interruptions(metrics))

    @on_loop
    async def test_internal_errors_are_counted_as_refusals(self) -> None:
        for begun in (False, True):
            metrics = GatewayMetrics()
            handle = failing_handler(ValueError('defect'), begun=begun)
            async with serving(handle, metrics) as (app, port):
                app.close_connections = True
                await exchange(port, REQUEST)
            self.assertEqual([('internal', 'unknown', 1)], refusals(metrics))

    @on_loop
    async def test_cut_line_tells_if_begun(self) -> None:
        for begun in (False, True):
            handle = failing_handler(BrokenAnswer('why'), begun=begun)
            with logged('cut') as lines:
                async with serving(handle) as (app, port):
                    app.close_connections = True
                    await exchange(port, REQUEST)
            expected = [{'request': 'r1', 'reason': 'why', 'begun': begun}]
            self.assertEqual(expected, lines)

    @on_loop
    async def test_spent_budget_after_a_run_is_not_promised(self) -> None:
        for outcome, status in ((Outcome.NOT_RUN, b'402'), (Outcome.UNKNOWN, b'502')):
            refusal = Refusal(RefusalCode.BUDGET_EXHAUSTED, '', outcome)
            handle = failing_handler(refusal, begun=False)
            async with serving(handle) as (app, port):
                app.close_connections = True
                answer = await exchange(port, REQUEST)
            self.assertEqual(status, answer.split()[1])
