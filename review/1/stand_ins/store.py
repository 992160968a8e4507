"""The platform's metadata store, as its page describes it, in memory."""

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from stand_ins.http import Request, encode_answer, read_request
from stand_ins.ports import free_port

ANSWER_S = 0.004
OBJECTS = '/v1/objects/'


class Store:
    """Objects by kind and name, with revisions, conditions and watches."""

    def __init__(self) -> None:
        """Start empty; the revision starts above 0."""
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = 1
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.address = ''

    async def start(self) -> None:
        """Listen on a free port."""
        port = free_port()
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', port)
        self.address = f'127.0.0.1:{port}'

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls on one connection."""
        try:
            while (request := await read_request(reader)) is not None:
                await asyncio.sleep(ANSWER_S)
                status, document = await self.answer(request)
                body = json.dumps(document).encode()
                headers = {'Content-Type': 'application/json'}
                writer.write(encode_answer(status, headers, body))
        finally:
            writer.close()

    async def answer(self, request: Request) -> tuple[int, Any]:
        """Carry out one call."""
        url = urlsplit(request.target)
        query = {name: found[0] for name, found in parse_qs(url.query).items()}
        kind, _, rest = url.path.removeprefix(OBJECTS).partition('/')
        name, _, part = rest.partition('/')
        document = json.loads(request.body) if request.body else {}
        if not name and request.method == 'GET':
            if 'watch' in query:
                return await self.watch(kind, query)
            return self.list_kind(kind, query.get('after', ''))
        if request.method == 'GET':
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        name = name or document['metadata']['name']
        return self.write(request.method, (kind, name), part, document, query)

    def list_kind(self, kind: str, after: str) -> tuple[int, Any]:
        """List a kind."""
        items = [
            found
            for (one, name), found in sorted(self.objects.items())
            if one == kind and name > after
        ]
        answer = {
            'items': items,
            'truncated': False,
            'store_revision': self.revision,
        }
        return 200, answer

    async def watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        """Wait for changes of a kind after a revision."""
        since = int(query['watch'])
        try:
            async with asyncio.timeout(int(query.get('wait_ms', '0')) / 1000):
                while not self.changes(kind, since):
                    await self.changed.wait()
        except TimeoutError:
            pass
        events = self.changes(kind, since)
        return 200, {'events': events, 'store_revision': self.revision}

    def changes(self, kind: str, since: int) -> list[dict[str, Any]]:
        """Return the changes of a kind after a revision."""
        return [
            {'object': found, 'tombstone': gone}
            for revision, one, found, gone in self.history
            if one == kind and revision > since
        ]

    def write(
        self,
        method: str,
        key: tuple[str, str],
        part: str,
        document: dict[str, Any],
        query: dict[str, str],
    ) -> tuple[int, Any]:
        """Create, replace or delete one object, if its condition holds."""
        present = self.objects.get(key)
        if method == 'POST':
            return (409, present) if present else self.put(key, document)
        if present is None:
            return 404, {}
        wanted = document.get('metadata', {}).get('revision', query.get('revision'))
        if wanted is not None and int(wanted) != present['metadata']['revision']:
            return 409, present
        if method == 'DELETE':
            self.objects.pop(key)
            self.note(key[0], present, True)
            return 200, present
        if part == 'status':
            return self.put(key, {**present, 'status': document['status']})
        return self.put(key, {**present, 'spec': document['spec']})

    def put(self, key: tuple[str, str], document: dict[str, Any]) -> tuple[int, Any]:
        """Store one object, unless nothing changes."""
        present = self.objects.get(key)
        spec, status = document.get('spec'), document.get('status')
        if present and (present['spec'], present['status']) == (spec, status):
            return 200, present
        metadata = {
            'name': key[1],
            'revision': self.revision + 1,
            'create_rev': self.revision + 1,
            'finalizers': [],
            'deleting': False,
        }
        if present:
            metadata['create_rev'] = present['metadata']['create_rev']
        found = {'metadata': metadata, 'spec': spec, 'status': status}
        self.objects[key] = found
        self.note(key[0], found, False)
        return 200, found

    def note(self, kind: str, found: dict[str, Any], gone: bool) -> None:
        """Record a change and wake the watches."""
        self.revision += 1
        if gone:
            metadata = {**found['metadata'], 'revision': self.revision}
            found = {**found, 'metadata': metadata}
        self.history.append((self.revision, kind, found, gone))
        self.changed.set()
        self.changed = asyncio.Event()

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        return sorted(name for one, name in self.objects if one == kind)
