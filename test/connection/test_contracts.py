"""Tests that the stand-ins and the HTTP clients implement the same contracts.

Each contract is checked against the in-memory stand-in and against the HTTP
client that talks to the same stand-in over a socket.
"""

import asyncio
from typing import Any, NamedTuple

import testtools
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response, StreamingResponse
from starlette.routing import Route

from pollenwalk.connection.call_messages import Answer, HistoryItem, Tokens
from pollenwalk.connection.engine_http import HttpEngine
from pollenwalk.connection.hosts_http import HttpHosts
from pollenwalk.connection.http_server import HttpServer, free_port
from pollenwalk.connection.service_http import HttpService
from pollenwalk.connection.store_http import HttpStore
from pollenwalk.connection.upstream import ChatRequest
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
    """Start serving an application; return the server and its URL."""
    port = free_port()
    server = HttpServer(app, '127.0.0.1', port)
    await server.start()
    return server, f'http://127.0.0.1:{port}'


class StoreFault(NamedTuple):
    """A fault of the store, and whether a write during the fault takes effect."""

    name: str
    faults: Faults
    takes_effect: bool


STORE_FAULTS = (
    StoreFault('down', Faults(down=True), takes_effect=False),
    StoreFault('the answer is lost', Faults(lose_answers=1), takes_effect=True),
    StoreFault('the write fails', Faults(fail_writes=1), takes_effect=False),
)


class StoreContract(testtools.TestCase):
    """Tests of the object store."""

    async def check(self, store: ObjectStore, inner: MemoryStore) -> None:
        """Check reads, conditional writes, lists, watches and faults of a store."""
        self.assertIsNone(await store.get('a/1'))
        first = await store.put('a/1', b'\x00one', ABSENT)
        self.assertEqual((b'\x00one', first), (await store.get('a/1'))[1:])
        await self.check_conflict(store, 'a/1', ABSENT)
        await self.check_conflict(store, 'a/1', first + 100)
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

    async def check_conflict(self, store: ObjectStore, key: str, version: int) -> None:
        """Check that a conditional write is rejected as a conflict."""
        with testtools.ExpectedException(StoreConflict):
            await store.put(key, b'other', version)

    async def check_fault(
        self,
        store: ObjectStore,
        inner: MemoryStore,
        case: StoreFault,
    ) -> None:
        """Check whether a write during a fault takes effect, and a retry after it."""
        key = f'fault/{case.name}'
        inner.faults = case.faults
        with testtools.ExpectedException(StoreUnavailable):
            await store.put(key, b'1', ABSENT)
        inner.faults = Faults()
        present = await store.get(key)
        self.assertEqual(case.takes_effect, present is not None, case.name)
        created = await create_once(store, LoopClock(), key, b'1')
        self.assertTrue(created, case.name)

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
        stopped = HttpStore(url)
        with testtools.ExpectedException(StoreUnavailable):
            await stopped.get('a/1')
        await stopped.close()


class EngineContract(testtools.TestCase):
    """Tests of the model engine."""

    async def check(self, engine: Any, inner: ModelEngine) -> None:
        """Check calls, resumption, the cache, cancellation and faults of an engine."""
        items = [item async for item in engine.chat(REQUEST)]
        texts = [text for item in items[:-1] for text in item.texts]
        self.assertEqual(3, len(texts))
        self.assertEqual(''.join(texts), items[-1].output['text'])
        resumed = [item async for item in engine.resume('c1', 1)]
        self.assertEqual(
            texts[1:], [text for item in resumed[:-1] for text in item.texts]
        )
        self.assertEqual(1, resumed[0].offset)
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
        """Create an engine with a short decoding step."""
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
    async def test_faulty_engines(self) -> None:
        for name, body, status, expected in FAULTY_ENGINES:
            server, url = await serve(fixed_answer_app(body, status))
            engine = HttpEngine(url)
            error = await failure_of(engine)
            self.assertIsInstance(error, expected, name)
            await engine.close()
            await server.stop()


# Name, body and status of an engine's answer, and the error that must follow.
FAULTY_ENGINES = (
    ('garbage', b'data: {"choices": 7}\n\n', 200, Refusal),
    ('no JSON', b'data: <html>\n\n', 200, Refusal),
    ('ends early', b'data: {"choices": []}\n\n', 200, type(None)),
    ('failing', b'', 500, ConnectionLost),
    ('full', b'', 429, Refusal),
    ('refusing', b'', 400, Refusal),
    ('endless line', b'data: ' + b'x' * 3_000_000, 200, ConnectionLost),
)


async def failure_of(engine: HttpEngine) -> PollenwalkError | None:
    """Make a call and return its error, or None if the stream ended without one."""
    try:
        answers = [item async for item in engine.chat(REQUEST)]
    except PollenwalkError as error:
        return error
    assert not any(isinstance(item, Answer | Tokens) for item in answers)
    return None


def fixed_answer_app(body: bytes, status: int) -> Starlette:
    """Build an application that gives the same answer to every request."""

    async def answer(request: Request) -> Response:
        async def parts() -> Any:
            yield body

        if status == 200:
            return StreamingResponse(parts())
        return PlainTextResponse(body, status)

    return Starlette(routes=[Route('/{path:path}', answer, methods=['GET', 'POST'])])


# Name, body and status of a service's answer, and the outcome that must follow.
FAULTY_SERVICES = (
    ('not found', b'', 404, 'not_run'),
    ('busy', b'', 503, 'not_run'),
    ('failing', b'', 500, 'unknown'),
    ('garbage', b'<html>', 200, 'unknown'),
    ('no object', b'[1]', 200, 'unknown'),
    ('refusing', b'{"error": "no"}', 409, 'ran'),
)


class ServiceContract(testtools.TestCase):
    """Tests of the plain service."""

    async def check(self, service: Any, inner: PlainService) -> None:
        """Check calls, a refused call and a lost answer of a service."""
        first = await service.invoke('c1', 'reserve', {'tag': 'p#1'})
        second = await service.invoke('c2', 'order', {'tag': 'p#2'})
        self.assertEqual([1, 2], [first['execution'], second['execution']])
        inner.refuse = 1
        await self.check_failure(service, 'not_run')
        inner.lose_answers = 1
        await self.check_failure(service, 'unknown')

    async def check_failure(self, service: Any, outcome: str) -> None:
        """Check that a call fails with an outcome."""
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
    async def test_faulty_services(self) -> None:
        for name, body, status, outcome in FAULTY_SERVICES:
            server, url = await serve(fixed_answer_app(body, status))
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
    async def test_nothing_listens(self) -> None:
        service = HttpService(f'http://127.0.0.1:{free_port()}')
        try:
            await service.invoke('c1', 'order', {})
        except Refusal as refusal:
            self.assertEqual('not_run', refusal.outcome)
        else:
            self.fail('the call was answered without a service')
        await service.close()


class HostsContract(testtools.TestCase):
    """Tests of the client of the platform's list of hosts."""

    @on_loop
    async def test_lagging_and_invalid_lists(self) -> None:
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
            server, url = await serve(fixed_answer_app(body, status))
            hosts = HttpHosts(url)
            with testtools.ExpectedException(ConnectionLost):
                await hosts.fetch_leaving()
            await hosts.close()
            await server.stop()
