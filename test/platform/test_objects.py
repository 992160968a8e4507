"""Tests of the client of the platform's object store, against a stand-in."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import testtools

from pollenwalk.connection.http_server import HttpServer, free_port
from pollenwalk.errors import StoreConflict, StoreHistoryGone, StoreUnavailable
from pollenwalk.platform.objects import PlatformStore
from pollenwalk.process.clock import LoopClock
from pollenwalk.process.store import ABSENT
from standin.platform.store import PlatformStoreApi, Refusal, Trouble
from standin.store import MemoryStore
from test.helper import on_loop

SHORT_MS = 30


@asynccontextmanager
async def running() -> AsyncIterator[tuple[PlatformStoreApi, PlatformStore]]:
    """Run a stand-in store and a client of it."""
    memory = MemoryStore(LoopClock())
    api = PlatformStoreApi(memory)
    port = free_port()
    server = HttpServer(api.app(), '127.0.0.1', port)
    await server.start()
    store = PlatformStore(f'http://127.0.0.1:{port}')
    try:
        yield api, store
    finally:
        await store.close()
        memory.close()
        await server.stop()


class ObjectsTest(testtools.TestCase):
    """Reading and writing objects."""

    @on_loop
    async def test_create_replace_read_delete(self) -> None:
        async with running() as (_, store):
            first = await store.put('things/a', b'{"x":1}', ABSENT)
            second = await store.put('things/a', b'{"x":2}', first)
            self.assertTrue(second > first)
            stored = await store.get('things/a')
            assert stored is not None
            self.assertEqual((b'{"x":2}', second), (stored.body, stored.version))
            await store.delete('things/a')
            self.assertIsNone(await store.get('things/a'))

    @on_loop
    async def test_conditional_writes(self) -> None:
        async with running() as (_, store):
            version = await store.put('things/a', b'1', ABSENT)
            with testtools.ExpectedException(StoreConflict):
                await store.put('things/a', b'2', ABSENT)
            with testtools.ExpectedException(StoreConflict):
                await store.put('things/a', b'2', version + 5)
            await store.put('things/a', b'2', None)
            await store.put('things/b', b'3', None)

    @on_loop
    async def test_list_of_several_pages(self) -> None:
        async with running() as (_, store):
            for name in 'abcde':
                await store.put(f'things/{name}', b'1', ABSENT)
            listing = await store.scan('things/')
            self.assertEqual(
                [f'things/{name}' for name in 'abcde'],
                [stored.key for stored in listing.objects],
            )
            self.assertEqual(5, listing.revision)

    @on_loop
    async def test_report_of_a_status(self) -> None:
        async with running() as (api, store):
            await store.report('retirements/k', {'state': 'running'})
            self.assertEqual({'state': 'running'}, api.statuses['retirements/k'])


class WatchTest(testtools.TestCase):
    """Watching objects for changes."""

    @on_loop
    async def test_changes_and_deletions(self) -> None:
        async with running() as (_, store):
            version = await store.put('things/a', b'1', ABSENT)
            watching = asyncio.ensure_future(store.watch('things/', version))
            await asyncio.sleep(0.05)
            await store.delete('things/a')
            changes = await watching
            self.assertEqual([b''], [stored.body for stored in changes.objects])

    @on_loop
    async def test_watch_without_changes(self) -> None:
        async with running() as (_, store):
            version = await store.put('things/a', b'1', ABSENT)
            changes = await store.watch('things/', version, SHORT_MS)
            self.assertEqual([], changes.objects)

    @on_loop
    async def test_watch_of_a_revision_that_is_too_old(self) -> None:
        async with running() as (api, store):
            await store.put('things/a', b'1', ABSENT)
            api.trouble = Trouble(horizon=9)
            with testtools.ExpectedException(StoreHistoryGone):
                await store.watch('things/', 1, SHORT_MS)


class UnavailableTest(testtools.TestCase):
    """A store that gives no answer or says that it is unavailable."""

    @on_loop
    async def test_refusals_and_silence(self) -> None:
        async with running() as (api, store):
            for refusal in (Refusal.BUSY, Refusal.MANY, Refusal.SILENT):
                api.trouble = Trouble(refusal=refusal)
                with testtools.ExpectedException(StoreUnavailable):
                    await store.get('things/a')

    @on_loop
    async def test_nothing_listens_at_the_address(self) -> None:
        store = PlatformStore(f'http://127.0.0.1:{free_port()}')
        with testtools.ExpectedException(StoreUnavailable):
            await store.scan('things/')
        await store.close()

    @on_loop
    async def test_write_whose_answer_is_lost_takes_effect(self) -> None:
        async with running() as (api, store):
            api.trouble = Trouble(late_s=0.2)
            with testtools.ExpectedException(StoreUnavailable):
                await store.put('things/a', b'1', ABSENT)
            api.trouble = Trouble()
            self.assertIsNotNone(await store.get('things/a'))
