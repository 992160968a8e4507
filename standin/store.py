"""A stand-in for the platform's object store, with its failures."""

import asyncio
import base64
import bisect
from typing import Any, NamedTuple

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from pollenwalk.errors import StoreConflict, StoreUnavailable
from pollenwalk.process.clock import Clock
from pollenwalk.process.store import (
    ABSENT,
    MAX_VALUE_BYTES,
    WATCH_TIMEOUT_MS,
    Changes,
    StoredObject,
)

WATCH_MS = 10_000


class Faults(NamedTuple):
    """What goes wrong now.

    Attributes:
        down: no call is answered or takes effect.
        lose_answers: how many of the next writes take effect unanswered.
        fail_writes: how many of the next writes fail without effect.
        slow_ms: added to each call.
    """

    down: bool = False
    lose_answers: int = 0
    fail_writes: int = 0
    slow_ms: float = 0


class FolderLog:
    """The changes in one folder, for its watches."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: list[tuple[int, str]] = []
        self.changed = asyncio.Event()

    def after(self, revision: int) -> list[tuple[int, str]]:
        """Return the changes after a revision."""
        first = bisect.bisect_right(self.entries, revision, key=lambda one: one[0])
        return self.entries[first:]

    def wake(self) -> None:
        """Wake the watches."""
        self.changed.set()
        self.changed = asyncio.Event()


class MemoryStore:
    """Objects in memory, with versions, conditional writes and watches."""

    def __init__(self, clock: Clock) -> None:
        """Start empty and healthy."""
        self.clock = clock
        self.objects: dict[str, StoredObject] = {}
        self.logs: dict[str, FolderLog] = {}
        self.revision = 0
        self.faults = Faults()
        self.closing = False
        self.reads = 0
        self.writes = 0

    async def before(self) -> None:
        """Apply what goes wrong before a call takes effect."""
        if self.faults.slow_ms:
            await self.clock.sleep_ms(self.faults.slow_ms)
        if self.faults.down:
            raise StoreUnavailable('the store is down')

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        await self.before()
        self.reads += 1
        return self.objects.get(key)

    async def put(self, key: str, body: bytes, version: int | None) -> int:
        """Write an object."""
        await self.before_write()
        if len(body) > MAX_VALUE_BYTES:
            raise ValueError(f'{key} has {len(body)} bytes')
        present = self.objects.get(key)
        present_version = present.version if present else ABSENT
        if version is not None and version != present_version:
            raise StoreConflict(f'{key} is at version {present_version}')
        self.revision += 1
        self.objects[key] = StoredObject(key, body, self.revision)
        self.note(key)
        self.lose_answer()
        return self.revision

    async def delete(self, key: str) -> None:
        """Delete an object."""
        await self.before_write()
        if self.objects.pop(key, None) is not None:
            self.revision += 1
            self.note(key)
        self.lose_answer()

    async def before_write(self) -> None:
        """Count a write and fail it if it is due to fail."""
        await self.before()
        self.writes += 1
        if self.faults.fail_writes:
            left = self.faults.fail_writes - 1
            self.faults = self.faults._replace(fail_writes=left)
            raise StoreUnavailable('the write failed')

    def lose_answer(self) -> None:
        """Lose the answer of a write that has taken effect, if due."""
        if self.faults.lose_answers:
            left = self.faults.lose_answers - 1
            self.faults = self.faults._replace(lose_answers=left)
            raise StoreUnavailable('the answer was lost')

    async def scan(self, prefix: str) -> Changes:
        """Read all objects below a prefix."""
        await self.before()
        self.reads += 1
        found = [
            self.objects[key] for key in sorted(self.objects) if key.startswith(prefix)
        ]
        return Changes(self.revision, found)

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait_ms: int = WATCH_TIMEOUT_MS,
    ) -> Changes:
        """Wait a bounded time for changes."""
        await self.before()
        self.reads += 1
        until_ms = self.clock.now_ms() + min(WATCH_MS, wait_ms)
        while not self.since(prefix, revision):
            left_ms = until_ms - self.clock.now_ms()
            if left_ms <= 0 or self.closing:
                break
            await self.wait_change(prefix, left_ms)
        await self.before()
        return Changes(self.revision, self.since(prefix, revision))

    async def wait_change(self, prefix: str, left_ms: float) -> None:
        """Wait for any change in a folder."""
        try:
            async with self.clock.timeout_ms(left_ms):
                await self.log_of(prefix).changed.wait()
        except TimeoutError:
            return

    def since(self, prefix: str, revision: int) -> list[StoredObject]:
        """Return what has changed below a prefix after a revision."""
        changed = {
            key: version
            for version, key in self.log_of(prefix).after(revision)
            if key.startswith(prefix)
        }
        return [
            self.objects.get(key, StoredObject(key, b'', version))
            for key, version in changed.items()
        ]

    def note(self, key: str) -> None:
        """Log a change for the watches."""
        log = self.log_of(key)
        log.entries.append((self.revision, key))
        log.wake()

    def log_of(self, key: str) -> FolderLog:
        """Return the log of the folder that a key or a prefix is in."""
        return self.logs.setdefault(key.partition('/')[0], FolderLog())

    def close(self) -> None:
        """Let the watches return, so that a server can stop."""
        self.closing = True
        for log in self.logs.values():
            log.wake()


class StoreApi:
    """The stand-in store over HTTP."""

    def __init__(self, store: MemoryStore) -> None:
        """Serve `store`."""
        self.store = store

    def app(self) -> Starlette:
        """Build the application."""
        return Starlette(
            routes=[
                Route('/objects/{key:path}', self.read, methods=['GET']),
                Route('/objects/{key:path}', self.write, methods=['PUT']),
                Route('/objects/{key:path}', self.delete, methods=['DELETE']),
                Route('/list', self.list),
                Route('/watch', self.watch),
            ],
            exception_handlers={
                StoreUnavailable: failed(503),
                StoreConflict: failed(412),
            },
        )

    async def read(self, request: Request) -> Response:
        """Read one object."""
        stored = await self.store.get(request.path_params['key'])
        if stored is None:
            return Response(status_code=404)
        return Response(stored.body, headers={'ETag': f'"{stored.version}"'})

    async def write(self, request: Request) -> Response:
        """Write one object."""
        version = None
        if request.headers.get('if-none-match') == '*':
            version = ABSENT
        elif 'if-match' in request.headers:
            version = int(request.headers['if-match'].strip('"'))
        written = await self.store.put(
            request.path_params['key'],
            await request.body(),
            version,
        )
        return Response(headers={'ETag': f'"{written}"'})

    async def delete(self, request: Request) -> Response:
        """Delete one object."""
        await self.store.delete(request.path_params['key'])
        return Response()

    async def list(self, request: Request) -> Response:
        """List a prefix."""
        return show(await self.store.scan(request.query_params['prefix']))

    async def watch(self, request: Request) -> Response:
        """Watch a prefix."""
        revision = int(request.query_params['revision'])
        return show(await self.store.watch(request.query_params['prefix'], revision))


def failed(status: int) -> Any:
    """Make a handler that answers an error with a status."""

    async def handle(request: Request, error: Exception) -> Response:
        return JSONResponse({'error': str(error)}, status_code=status)

    return handle


def show(changes: Changes) -> Response:
    """Show a list of objects."""
    return JSONResponse(
        [
            changes.revision,
            [
                [stored.key, base64.b64encode(stored.body).decode(), stored.version]
                for stored in changes.objects
            ],
        ]
    )
