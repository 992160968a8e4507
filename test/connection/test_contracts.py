"""One contract an interface, held to by the stand-in and the HTTP client."""

import asyncio
from typing import Any, NamedTuple

import testtools
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response, StreamingResponse
from starlette.routing import Route

from pollenwalk.connection.engine_http import HttpEngine
from pollenwalk.connection.hosts_http import HttpHosts
from pollenwalk.connection.http_server import HttpServer, free_port
from pollenwalk.connection.service_http import HttpService
from pollenwalk.connection.store_http import HttpStore
from pollenwalk.connection.upstream import ChatRequest
from pollenwalk.connection.wire import Answer, HistoryItem, Tokens
from pollenwalk.errors import (
    ConnectionLost,
    PollenwalkError,
    Refusal,
    StoreConflict,
    StoreUnavailable,
)
from pollenwalk.process.clock import LoopClock
from pollenwalk.process.store import ABSENT, ObjectStore, create_once
from standin.engine import EngineApi, EngineShape, ModelEngine
from standin.hosts import HostsApi, ListedHosts
from standin.ledger import Ledger
from standin.service import PlainService, ServiceApi, ServiceShape
from standin.store import Faults, MemoryStore, StoreApi
from test.helper import on_loop

REQUEST = ChatRequest('c1', 'p1', [HistoryItem('user', 'hello there')], 3, 5)


async def serve(app: Starlette) -> tuple[HttpServer, str]:
    """Serve an application and give its URL."""
    port = free_port()
    server = HttpServer(app, '127.0.0.1', port)
    await server.start()
    return server, f'http://127.0.0.1:{port}'


class StoreFault(NamedTuple):
    """A fault of the store, and whether a write under it takes effect."""

    name: str
    faults: Faults
    takes_effect: bool


STORE_FAULTS = (
    StoreFault('down', Faults(down=True), takes_effect=False),
    StoreFault('the answer is lost', Faults(lose_answers=1), takes_effect=True),
    StoreFault('the write fails', Faults(fail_writes=1), takes_effect=False),
)


class StoreContract(testtools.TestCase):
    """The object store, in memory and over HTTP."""

    async def check(self, store: ObjectStore, inner: MemoryStore) -> None:
        """Hold one store to the contract."""
        self.assertIsNone(await store.get('a/1'))
        first = await store.put('a/1', b'\x00one', ABSENT)
        self.assertEqual((b'\x00one', first), (await store.get('a/1'))[1:])
        await self.refuses(store, 'a/1', ABSENT)
        await self.refuses(store, 'a/1', first + 100)
        second = await store.put('a/1', b'two', first)
        self.assertGreater(second, first)
        await store.put('a/2', b'', None)
        await store.put('b/1', b'x', None)
        listed = await store.scan('a/')
        self.assertEqual(['a/1', 'a/2'], [one.key for one in listed.objects])
        watching = asyncio.ensure_future(store.watch('a/', listed.revision))
        await asyncio.sleep(0.05)
        self.assertFalse(watching.done())
        await store.delete('a/2')
        await store.delete('a/2')
        changes = await watching
        self.assertEqual([('a/2', b'')], [one[:2] for one in changes.objects])
        for case in STORE_FAULTS:
            await self.check_fault(store, inner, case)

    async def refuses(self, store: ObjectStore, key: str, version: int) -> None:
        """See that a conditional write meets a conflict."""
        with testtools.ExpectedException(StoreConflict):
            await store.put(key, b'other', version)

    async def check_fault(
        self,
        store: ObjectStore,
        inner: MemoryStore,
        case: StoreFault,
    ) -> None:
        """See what a write does under a fault."""
        key = f'fault/{case.name}'
        inner.faults = case.faults
        with testtools.ExpectedException(StoreUnavailable):
            await store.put(key, b'1', ABSENT)
        inner.faults = Faults()
        present = await store.get(key)
        self.assertEqual(case.takes_effect, present is not None, case.name)
        again = await create_once(store, LoopClock(), key, b'1')
        self.assertTrue(again, case.name)

    @on_loop
    async def test_in_memory(self) -> None:
        store = MemoryStore(LoopClock())
        await self.check(store, store)

    @on_loop
    async def test_over_http(self) -> None:
        inner = MemoryStore(LoopClock())
        server, url = await serve(StoreApi(inner).app())
        store = HttpStore(url)
        await self.check(store, inner)
        await store.close()
        await server.stop()
        gone = HttpStore(url)
        with testtools.ExpectedException(StoreUnavailable):
            await gone.get('a/1')
        await gone.close()


class EngineContract(testtools.TestCase):
    """The model engine, in memory and over HTTP."""

    async def check(self, engine: Any, inner: ModelEngine) -> None:
        """Hold one engine to the contract."""
        items = [item async for item in engine.chat(REQUEST)]
        texts = [text for item in items[:-1] for text in item.texts]
        self.assertEqual(3, len(texts))
        self.assertEqual(''.join(texts), items[-1].output['text'])
        again = [item async for item in engine.resume('c1', 1)]
        self.assertEqual(texts[1:], [text for one in again[:-1] for text in one.texts])
        self.assertEqual(1, again[0].offset)
        self.assertIn('p1', await engine.list_cache())
        await engine.release_memory('p1')
        await engine.release_memory('p1')
        self.assertEqual({}, await engine.list_cache())
        await engine.cancel('c1')
        await engine.cancel('nothing')
        inner.cut_after = 1
        with testtools.ExpectedException(ConnectionLost):
            [item async for item in engine.chat(REQUEST._replace(call='c2'))]
        inner.down = True
        with testtools.ExpectedException(ConnectionLost):
            await engine.list_cache()

    def make(self) -> ModelEngine:
        """Make a quick engine."""
        return ModelEngine(EngineShape(step_ms=1), LoopClock(), Ledger())

    @on_loop
    async def test_in_memory(self) -> None:
        engine = self.make()
        await self.check(engine, engine)
        await engine.close()

    @on_loop
    async def test_over_http(self) -> None:
        inner = self.make()
        server, url = await serve(EngineApi(inner).app())
        engine = HttpEngine(url)
        await self.check(engine, inner)
        await engine.close()
        await inner.close()
        await server.stop()

    @on_loop
    async def test_bad_engines(self) -> None:
        for name, body, status, expected in BAD_ENGINES:
            server, url = await serve(answering(body, status))
            engine = HttpEngine(url)
            error = await failure_of(engine)
            self.assertIsInstance(error, expected, name)
            await engine.close()
            await server.stop()


BAD_ENGINES = (
    ('garbage', b'data: {"choices": 7}\n\n', 200, Refusal),
    ('no JSON', b'data: <html>\n\n', 200, Refusal),
    ('ends early', b'data: {"choices": []}\n\n', 200, type(None)),
    ('failing', b'', 500, ConnectionLost),
    ('full', b'', 429, Refusal),
    ('refusing', b'', 400, Refusal),
    ('endless line', b'data: ' + b'x' * 3_000_000, 200, ConnectionLost),
)


async def failure_of(engine: HttpEngine) -> PollenwalkError | None:
    """Make a call and give how it failed."""
    try:
        answers = [item async for item in engine.chat(REQUEST)]
    except PollenwalkError as error:
        return error
    assert not any(isinstance(item, Answer | Tokens) for item in answers)
    return None


def answering(body: bytes, status: int) -> Starlette:
    """Make an upstream that always answers the same."""

    async def answer(request: Request) -> Response:
        async def parts() -> Any:
            yield body

        if status == 200:
            return StreamingResponse(parts())
        return PlainTextResponse(body, status)

    return Starlette(routes=[Route('/{path:path}', answer, methods=['GET', 'POST'])])


BAD_SERVICES = (
    ('not found', b'', 404, 'not_run'),
    ('busy', b'', 503, 'not_run'),
    ('failing', b'', 500, 'unknown'),
    ('garbage', b'<html>', 200, 'unknown'),
    ('no object', b'[1]', 200, 'unknown'),
    ('refusing', b'{"error": "no"}', 409, 'ran'),
)


class ServiceContract(testtools.TestCase):
    """The plain service, in memory and over HTTP."""

    async def check(self, service: Any, inner: PlainService) -> None:
        """Hold one service to the contract."""
        first = await service.invoke('c1', 'reserve', {'tag': 'p#1'})
        second = await service.invoke('c2', 'order', {'tag': 'p#2'})
        self.assertEqual([1, 2], [first['execution'], second['execution']])
        inner.refuse = 1
        await self.fails(service, 'not_run')
        inner.lose_answers = 1
        await self.fails(service, 'unknown')

    async def fails(self, service: Any, outcome: str) -> None:
        """See that a call is refused with an outcome."""
        try:
            await service.invoke('c3', 'order', {'tag': 'p#3'})
        except Refusal as refusal:
            self.assertEqual(outcome, refusal.outcome)
        else:
            self.fail('the call was answered')

    @on_loop
    async def test_in_memory(self) -> None:
        inner = PlainService(ServiceShape('orders', 1), LoopClock(), Ledger())
        await self.check(inner, inner)

    @on_loop
    async def test_over_http(self) -> None:
        inner = PlainService(ServiceShape('orders', 1), LoopClock(), Ledger())
        server, url = await serve(ServiceApi(inner).app())
        service = HttpService(url)
        await self.check(service, inner)
        await service.close()
        await server.stop()

    @on_loop
    async def test_bad_services(self) -> None:
        for name, body, status, outcome in BAD_SERVICES:
            server, url = await serve(answering(body, status))
            service = HttpService(url)
            try:
                await service.invoke('c1', 'order', {})
            except Refusal as refusal:
                self.assertEqual(outcome, refusal.outcome, name)
            else:
                self.fail(name)
            await service.close()
            await server.stop()

    @on_loop
    async def test_nobody_listens(self) -> None:
        service = HttpService(f'http://127.0.0.1:{free_port()}')
        try:
            await service.invoke('c1', 'order', {})
        except Refusal as refusal:
            self.assertEqual('not_run', refusal.outcome)
        else:
            self.fail('nobody listens')
        await service.close()


class HostsContract(testtools.TestCase):
    """The platform's list of hosts."""

    @on_loop
    async def test_lag_and_garbage(self) -> None:
        clock = LoopClock()
        inner = ListedHosts(clock)
        server, url = await serve(HostsApi(inner).app())
        hosts = HttpHosts(url)
        inner.mark('10.0.0.1')
        self.assertEqual([], await hosts.fetch_leaving())
        inner.marked_ms['10.0.0.1'] -= 10_000
        self.assertEqual(['10.0.0.1'], await hosts.fetch_leaving())
        await hosts.close()
        await server.stop()
        for body, status in ((b'[]', 200), (b'x', 200), (b'', 500)):
            server, url = await serve(answering(body, status))
            hosts = HttpHosts(url)
            with testtools.ExpectedException(ConnectionLost):
                await hosts.fetch_leaving()
            await hosts.close()
            await server.stop()
