"""The platform's object store over HTTP, with what can go wrong with it."""

import asyncio
import enum
import json
from collections.abc import Callable
from typing import Any, NamedTuple

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from pollenwalk.errors import StoreConflict, StoreUnavailable
from pollenwalk.platform.objects import RESPONSE_TIMEOUT_S
from pollenwalk.process.store import ABSENT, Changes, StoredObject
from standin.store import MemoryStore

PAGE = 2
# Longer than the client waits for a response.
SILENCE_S = RESPONSE_TIMEOUT_S + 0.5
MS_PER_SECOND = 1000


class Refusal(enum.Enum):
    """How the store turns a call away."""

    NONE = 0
    BUSY = 503
    MANY = 429
    SILENT = -1


class Trouble(NamedTuple):
    """What is wrong with the store now.

    Attributes:
        refusal: of every call.
        deaf: watches hear nothing.
        horizon: changes up to this revision are forgotten.
        late_s: writes are done, without an answer, so much later.
    """

    refusal: Refusal = Refusal.NONE
    deaf: bool = False
    horizon: int = 0
    late_s: float = 0


class PlatformStoreApi:
    """Serves a memory store in the platform's format."""

    def __init__(self, store: MemoryStore) -> None:
        """Serve `store`."""
        self.store = store
        self.trouble = Trouble()
        self.statuses: dict[str, Any] = {}
        self.calls = 0

    def app(self) -> Starlette:
        """Build the application."""
        one = '/v1/objects/{kind}/{name}'
        return Starlette(
            routes=[
                Route('/v1/objects/{kind}', self.guarded(self.list), methods=['GET']),
                Route(
                    '/v1/objects/{kind}', self.guarded(self.create), methods=['POST']
                ),
                Route(one, self.guarded(self.read), methods=['GET']),
                Route(one, self.guarded(self.replace), methods=['PUT']),
                Route(one, self.guarded(self.delete), methods=['DELETE']),
                Route(f'{one}/status', self.guarded(self.report), methods=['PUT']),
            ],
        )

    def guarded(self, handle: Callable[..., Any]) -> Callable[..., Any]:
        """Turn calls away while the store does so."""

        async def guard(request: Request) -> Response:
            self.calls += 1
            refusal = self.trouble.refusal
            if refusal == Refusal.SILENT:
                await asyncio.sleep(SILENCE_S)
                return Response(status_code=Refusal.BUSY.value)
            if refusal != Refusal.NONE:
                return Response(status_code=refusal.value)
            if self.trouble.late_s and request.method != 'GET':
                await request.body()
                await asyncio.sleep(self.trouble.late_s)
                await handle(request)
                await asyncio.sleep(SILENCE_S)
                return Response(status_code=Refusal.BUSY.value)
            try:
                return await handle(request)
            except StoreConflict:
                return JSONResponse({}, status_code=409)
            except StoreUnavailable:
                return Response(status_code=503)

        return guard

    async def list(self, request: Request) -> Response:
        """List a kind, or watch it."""
        kind = request.path_params['kind']
        if 'watch' in request.query_params:
            return await self.watch(request, f'{kind}/')
        changes = await self.store.scan(f'{kind}/')
        after = request.query_params.get('after', '')
        left = [one for one in changes.objects if name_of(one) > after]
        return JSONResponse(
            {
                'items': [show(one) for one in left[:PAGE]],
                'truncated': len(left) > PAGE,
                'store_revision': changes.revision,
            },
        )

    async def watch(self, request: Request, prefix: str) -> Response:
        """Wait for changes."""
        revision = int(request.query_params['watch'])
        wait_ms = int(request.query_params['wait_ms'])
        if revision < self.trouble.horizon:
            body = {'store_revision': self.store.revision}
            return JSONResponse(body, status_code=410)
        if self.trouble.deaf:
            await asyncio.sleep(wait_ms / MS_PER_SECOND)
            changes = Changes(self.store.revision, [])
        else:
            changes = await self.store.watch(prefix, revision, wait_ms)
        events = [
            {'object': show(one), 'tombstone': not one.body} for one in changes.objects
        ]
        return JSONResponse({'events': events, 'store_revision': changes.revision})

    async def read(self, request: Request) -> Response:
        """Read one object."""
        stored = await self.store.get(key_of(request))
        return JSONResponse(show(stored)) if stored else Response(status_code=404)

    async def create(self, request: Request) -> Response:
        """Create an object."""
        document = await request.json()
        key = f'{request.path_params["kind"]}/{document["metadata"]["name"]}'
        return await self.write(key, document, ABSENT)

    async def replace(self, request: Request) -> Response:
        """Replace an object's spec."""
        key = key_of(request)
        if await self.store.get(key) is None:
            return Response(status_code=404)
        document = await request.json()
        return await self.write(key, document, document['metadata'].get('revision'))

    async def write(self, key: str, document: Any, version: int | None) -> Response:
        """Write an object."""
        body = json.dumps(document['spec']).encode()
        written = await self.store.put(key, body, version)
        return JSONResponse(show(StoredObject(key, body, written)))

    async def delete(self, request: Request) -> Response:
        """Delete an object."""
        await self.store.delete(key_of(request))
        return JSONResponse({})

    async def report(self, request: Request) -> Response:
        """Replace an object's status."""
        document = await request.json()
        self.statuses[key_of(request)] = document['status']
        return JSONResponse({})


def key_of(request: Request) -> str:
    """Return the key of the object that a call names."""
    return f'{request.path_params["kind"]}/{request.path_params["name"]}'


def name_of(stored: StoredObject) -> str:
    """Return an object's name within its kind."""
    return stored.key.partition('/')[2]


def show(stored: StoredObject) -> dict[str, Any]:
    """Show an object; a deleted one without its spec."""
    return {
        'metadata': {
            'name': name_of(stored),
            'revision': stored.version,
            'create_rev': 1,
            'finalizers': [],
            'deleting': False,
        },
        'spec': json.loads(stored.body) if stored.body else None,
        'status': None,
    }
