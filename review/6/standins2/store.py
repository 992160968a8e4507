"""The platform's store: objects by kind and name, with watches."""

import asyncio
import json
import time
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from standins2.http import read_body, read_head

# The store of the pages answers after 4 ms.
ANSWER_S = 0.004


class Store:
    """Serves the objects on any number of addresses.

    Attributes:
        objects: the objects by `kind/name`.
        revision: the store's revision.
        log: all changes: revision, key, object, whether it was deleted.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.objects: dict[str, dict[str, Any]] = {}
        self.revision = 0
        self.log: list[tuple[int, str, dict[str, Any], bool]] = []
        self.changed = asyncio.Event()
        self.servers: list[asyncio.Server] = []

    async def listen(self, ip: str, port: int, way_s: float = 0.0) -> None:
        """Serve one address, to which the way takes `way_s` in each direction."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self.serve(reader, writer, way_s)

        self.servers.append(await asyncio.start_server(serve, ip, port))

    def close(self) -> None:
        """Stop listening."""
        for server in self.servers:
            server.close()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way_s: float,
    ) -> None:
        """Answer the calls on one connection."""
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head.headers)
                method, target, _ = head.line.split(' ')
                await asyncio.sleep(way_s + ANSWER_S)
                document = json.loads(body) if body else {}
                status, answer = await self.answer(method, target, document)
                await asyncio.sleep(way_s)
                encoded = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(encoded)}\r\n\r\n'.encode()
                    + encoded
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def answer(
        self, method: str, target: str, document: dict[str, Any]
    ) -> tuple[int, Any]:
        """Do what a call asks for."""
        url = urlsplit(target)
        query = {name: texts[0] for name, texts in parse_qs(url.query).items()}
        kind, *names = (unquote(part) for part in url.path.split('/')[3:])
        if names:
            return self.answer_one(method, f'{kind}/{names[0]}', names, document, query)
        if method == 'POST':
            key = f'{kind}/{document["metadata"]["name"]}'
            if key in self.objects:
                return 409, self.objects[key]
            self.write(key, document.get('spec'))
            return 201, self.objects[key]
        if 'watch' in query:
            return 200, await self.watch(kind, query)
        after = query.get('after', '')
        listed = [
            one
            for key, one in sorted(self.objects.items())
            if key.startswith(f'{kind}/') and one['metadata']['name'] > after
        ]
        return 200, {'items': listed, 'truncated': False, **self.at()}

    def answer_one(
        self,
        method: str,
        key: str,
        names: list[str],
        document: dict[str, Any],
        query: dict[str, str],
    ) -> tuple[int, Any]:
        """Do what a call on one object asks for."""
        present = self.objects.get(key)
        if present is None:
            return 404, {}
        asked = document.get('metadata', {}).get('revision', query.get('revision'))
        if asked is not None and int(asked) != present['metadata']['revision']:
            return 409, present
        if method == 'DELETE':
            self.delete(key)
        elif method == 'PUT' and len(names) > 1:
            self.put(key, {**present, 'status': document.get('status')})
        elif method == 'PUT' and document.get('spec') != present['spec']:
            self.write(key, document['spec'])
        return 200, self.objects.get(key, present)

    async def watch(self, kind: str, query: dict[str, str]) -> dict[str, Any]:
        """Wait for changes of a kind."""
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        since = int(query['watch'])
        while True:
            events = [
                {'object': one, 'tombstone': is_deleted}
                for revision, key, one, is_deleted in self.log
                if revision > since and key.startswith(f'{kind}/')
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return {'events': events, **self.at()}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue

    def at(self) -> dict[str, int]:
        """Return the store's revision as listings name it."""
        return {'store_revision': self.revision}

    def write(self, key: str, spec: Any) -> None:
        """Write the `spec` of an object."""
        status = self.objects.get(key, {}).get('status')
        self.put(key, {'spec': spec, 'status': status})

    def put(self, key: str, parts: dict[str, Any]) -> None:
        """Write an object."""
        self.revision += 1
        former = self.objects.get(key)
        created = former['metadata']['create_rev'] if former else self.revision
        self.objects[key] = {
            **parts,
            'metadata': {
                'name': key.partition('/')[2],
                'revision': self.revision,
                'create_rev': created,
                'finalizers': [],
                'deleting': False,
            },
        }
        self.note(key, self.objects[key], is_deleted=False)

    def delete(self, key: str) -> None:
        """Delete an object."""
        former = self.objects.pop(key)
        self.revision += 1
        metadata = {**former['metadata'], 'revision': self.revision}
        self.note(key, {**former, 'metadata': metadata}, is_deleted=True)

    def note(self, key: str, one: dict[str, Any], *, is_deleted: bool) -> None:
        """Tell watches of a change."""
        self.log.append((self.revision, key, one, is_deleted))
        self.changed.set()
        self.changed = asyncio.Event()
