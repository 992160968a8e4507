"""Answers of outside systems whose status is none of HTTP, or no answer to the request."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable
from typing import Any

import testtools

from pollenwalk.connection.engine_http import HttpEngine
from pollenwalk.connection.hosts_http import HttpHosts
from pollenwalk.connection.plain_http import HttpRequest, PlainHttpClient
from pollenwalk.connection.service_http import HttpService
from pollenwalk.connection.store_http import HttpStore
from pollenwalk.errors import (
    BrokenAnswer,
    ConnectionLost,
    Outcome,
    PollenwalkError,
    Refusal,
    StoreUnavailable,
)
from pollenwalk.platform.objects import PlatformStore
from test.helper import on_loop

NOT_HTTP = ('000', '001', '042', '099', '600', '999', '42', '1000')
REDIRECTS = ('300', '302', '399')


@contextlib.asynccontextmanager
async def answering(status: str) -> AsyncIterator[str]:
    """Serve one whole answer with any status to each request; yield the URL."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b'\r\n\r\n')
        head = f'HTTP/1.1 {status} Odd\r\nETag: "7"\r\nContent-Length: 2\r\n\r\n'
        writer.write(head.encode() + b'{}')
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f'http://127.0.0.1:{port}'
    finally:
        server.close()


class OddStatusesTest(testtools.TestCase):
    """What the clients of outside systems make of such answers."""

    async def check(
        self, awaited: Awaitable[Any], kind: type[PollenwalkError], status: str
    ) -> PollenwalkError:
        """Check that a request ends with a kind of error, and return that."""
        try:
            found = await awaited
        except PollenwalkError as error:
            self.assertIsInstance(error, kind, status)
            return error
        raise AssertionError(f'status {status} was taken for an answer: {found!r}')

    @on_loop
    async def test_operation_of_a_service_may_have_run(self) -> None:
        for status in NOT_HTTP + REDIRECTS:
            async with answering(status) as url:
                service = HttpService(url)
                refusal = await self.check(
                    service.invoke('c', 'order', {}), Refusal, status
                )
                await service.close()
            self.assertEqual(Outcome.UNKNOWN, refusal.outcome, status)

    @on_loop
    async def test_engine_may_have_run_the_call(self) -> None:
        for status in NOT_HTTP + REDIRECTS:
            async with answering(status) as url:
                engine = HttpEngine(url)
                await self.check(anext(engine.resume('c', 0)), ConnectionLost, status)
                await engine.close()

    @on_loop
    async def test_engine_has_not_cancelled_nor_listed(self) -> None:
        for status in NOT_HTTP:
            async with answering(status) as url:
                engine = HttpEngine(url)
                await self.check(engine.cancel('c'), ConnectionLost, status)
                await self.check(engine.list_cache(), ConnectionLost, status)
                await engine.close()

    @on_loop
    async def test_store_is_unavailable(self) -> None:
        for status in NOT_HTTP + REDIRECTS:
            async with answering(status) as url:
                store = HttpStore(url)
                await self.check(store.get('k'), StoreUnavailable, status)
                await self.check(store.put('k', b'x', None), StoreUnavailable, status)
                await self.check(store.delete('k'), StoreUnavailable, status)
                await self.check(store.scan('k'), StoreUnavailable, status)
                await store.close()

    @on_loop
    async def test_store_of_the_platform_is_unavailable(self) -> None:
        for status in NOT_HTTP:
            async with answering(status) as url:
                store = PlatformStore(url)
                await self.check(store.get('kind/k'), StoreUnavailable, status)
                await self.check(
                    store.put('kind/k', b'{}', None), StoreUnavailable, status
                )
                await self.check(store.scan('kind/'), StoreUnavailable, status)
                await store.close()

    @on_loop
    async def test_list_of_hosts_is_lost(self) -> None:
        for status in NOT_HTTP:
            async with answering(status) as url:
                hosts = HttpHosts(url)
                await self.check(hosts.fetch_leaving(), ConnectionLost, status)
                await hosts.close()

    @on_loop
    async def test_plain_answer_is_broken(self) -> None:
        for status in NOT_HTTP:
            async with answering(status) as url:
                client = PlainHttpClient()
                request = HttpRequest(url, 'GET', '/', b'')
                await self.check(client.request(request), BrokenAnswer, status)
                client.close()
