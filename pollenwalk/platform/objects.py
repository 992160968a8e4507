"""The platform's object store, as the product's store protocol.

A key is `KIND/NAME`; a prefix is `KIND/`. The body of a stored object is its
`spec`, its version the `revision` of its last change.
"""

import socket
from http import HTTPStatus
from typing import Any, NotRequired, TypedDict
from urllib.parse import quote

import aiohttp
import msgspec

from pollenwalk.connection.http_client import HttpClient
from pollenwalk.connection.keepalive import enable_keepalive
from pollenwalk.errors import StoreConflict, StoreHistoryGone, StoreUnavailable
from pollenwalk.process.store import ABSENT, WATCH_TIMEOUT_MS, Changes, StoredObject

OBJECTS = '/v1/objects/'
# Three round trips between regions and the slowest answer that still helps.
ANSWER_TIMEOUT_S = 2.0
MS_PER_SECOND = 1000
UNAVAILABLE = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.REQUEST_TIMEOUT),
)


class WireMetadata(TypedDict):
    """The part of an object that the store fills in."""

    name: str
    revision: int


class WireObject(TypedDict):
    """An object; an unreadable `spec` is left to its kind's decoder."""

    metadata: WireMetadata
    spec: NotRequired[msgspec.Raw]


class WireList(TypedDict):
    """A page of a list; `truncated` says that there are more."""

    items: list[msgspec.Raw]
    truncated: NotRequired[bool]
    store_revision: int


class WireEvent(TypedDict):
    """A change; a `tombstone` is the object as it was deleted."""

    object: NotRequired[msgspec.Raw]
    tombstone: NotRequired[bool]


class WireEvents(TypedDict):
    """The answer to a watch."""

    events: list[WireEvent]
    store_revision: int


OBJECT_DECODER = msgspec.json.Decoder(WireObject)
LIST_DECODER = msgspec.json.Decoder(WireList)
EVENTS_DECODER = msgspec.json.Decoder(WireEvents)


class StoreAnswer(TypedDict):
    """What the store answered."""

    status: int
    body: bytes


class PlatformStore(HttpClient):
    """A client of the store; implements `ObjectStore`."""

    def make_connector(self) -> aiohttp.TCPConnector:
        """Make what opens connections that notice a silent store."""
        return aiohttp.TCPConnector(limit=0, socket_factory=make_socket)

    async def request(
        self,
        method: str,
        path: str,
        document: Any = None,
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> StoreAnswer:
        """Make one call.

        Raises:
            StoreUnavailable: no answer, or one that says so.
            StoreHistoryGone: the watched revision is too old.
        """
        body = None if document is None else msgspec.json.encode(document)
        headers = {'Content-Type': 'application/json'} if body else {}
        try:
            async with self.open_session().request(
                method,
                f'{self.url}{OBJECTS}{path}',
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                answer = StoreAnswer(status=response.status, body=await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreUnavailable(f'{method} {path}: {error!r}') from error
        check_status(answer['status'], method, path)
        return answer

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        answer = await self.request('GET', quote(key))
        if answer['status'] == HTTPStatus.NOT_FOUND:
            return None
        return read_object(key, answer['body'])

    async def put(self, key: str, body: bytes, version: int | None) -> int:
        """Write an object; see `ObjectStore.put`."""
        if version == ABSENT:
            return await self.create(key, body)
        metadata: dict[str, Any] = {'name': key.partition('/')[2]}
        if version is not None:
            metadata['revision'] = version
        document = {'metadata': metadata, 'spec': msgspec.Raw(body)}
        answer = await self.request('PUT', quote(key), document)
        if answer['status'] == HTTPStatus.NOT_FOUND and version is None:
            return await self.create(key, body)
        if answer['status'] != HTTPStatus.OK:
            raise StoreConflict(f'{key} has another version')
        return read_object(key, answer['body']).version

    async def create(self, key: str, body: bytes) -> int:
        """Write an object that must not be there.

        Raises:
            StoreConflict: it is there.
        """
        kind, _, name = key.partition('/')
        document = {'metadata': {'name': name}, 'spec': msgspec.Raw(body)}
        answer = await self.request('POST', quote(kind), document)
        if answer['status'] not in {HTTPStatus.OK, HTTPStatus.CREATED}:
            raise StoreConflict(f'{key} is there already')
        return read_object(key, answer['body']).version

    async def report(self, key: str, status: dict[str, Any]) -> None:
        """Write the status of an object that somebody else owns.

        Raises:
            StoreConflict: the object is gone.
        """
        document = {
            'metadata': {'name': key.partition('/')[2]},
            'status': status,
        }
        answer = await self.request('PUT', f'{quote(key)}/status', document)
        if answer['status'] != HTTPStatus.OK:
            raise StoreConflict(f'{key}: status {answer["status"]}')

    async def delete(self, key: str) -> None:
        """Delete an object."""
        await self.request('DELETE', quote(key))

    async def scan(self, prefix: str) -> Changes:
        """Read all objects of a kind; the revision is that of the first page."""
        kind = prefix.rstrip('/')
        found: list[StoredObject] = []
        revision = 0
        path = quote(kind)
        while path:
            page: WireList = read_page(await self.request('GET', path))
            found.extend(read_items(prefix, page['items']))
            revision = revision or page['store_revision']
            path = next_page(kind, page, found)
        return Changes(revision, found)

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait_ms: int = WATCH_TIMEOUT_MS,
    ) -> Changes:
        """Wait for changes after a revision.

        Raises:
            StoreHistoryGone: the store has forgotten that revision.
        """
        kind = quote(prefix.rstrip('/'))
        answer = await self.request(
            'GET',
            f'{kind}?watch={revision}&wait_ms={wait_ms}',
            timeout_s=wait_ms / MS_PER_SECOND + ANSWER_TIMEOUT_S,
        )
        try:
            page: WireEvents = EVENTS_DECODER.decode(answer['body'])
        except msgspec.DecodeError as error:
            raise StoreUnavailable(f'watch of {kind}: {error}') from error
        changed = [read_event(prefix, event) for event in page['events']]
        return Changes(page['store_revision'], [one for one in changed if one])


def make_socket(address: tuple[Any, ...]) -> socket.socket:
    """Make a socket that notices a silent peer."""
    new_socket = socket.socket(family=address[0], type=address[1], proto=address[2])
    new_socket.setblocking(False)
    enable_keepalive(new_socket)
    return new_socket


def check_status(status: int, method: str, path: str) -> None:
    """Raise for the answers that carry no object."""
    if status == HTTPStatus.GONE:
        raise StoreHistoryGone(f'{method} {path}')
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR or status in UNAVAILABLE:
        raise StoreUnavailable(f'{method} {path}: status {status}')


def read_object(key: str, body: bytes) -> StoredObject:
    """Read one object that was asked for.

    Raises:
        StoreUnavailable: the answer is no object.
    """
    try:
        wire: WireObject = OBJECT_DECODER.decode(body)
    except msgspec.DecodeError as error:
        raise StoreUnavailable(f'{key}: {error}') from error
    return to_stored_object(key, wire)


def to_stored_object(key: str, wire: WireObject) -> StoredObject:
    """Convert an object; one without `spec` has the body `null`."""
    spec = wire.get('spec')
    body = b'null' if spec is None else bytes(spec)
    return StoredObject(key, body, wire['metadata']['revision'])


def read_page(answer: StoreAnswer) -> WireList:
    """Read a page of a list."""
    try:
        return LIST_DECODER.decode(answer['body'])
    except msgspec.DecodeError as error:
        raise StoreUnavailable(f'list: {error}') from error


def next_page(kind: str, page: WireList, found: list[StoredObject]) -> str:
    """Give the path of the page that follows; empty after the last."""
    if not page.get('truncated') or not found:
        return ''
    last = found[-1].key.partition('/')[2]
    return f'{quote(kind)}?after={quote(last)}'


def read_items(prefix: str, items: list[msgspec.Raw]) -> list[StoredObject]:
    """Read the objects of a page; one without a readable name is left out."""
    wires = (read_metadata(raw) for raw in items)
    return [
        to_stored_object(f'{prefix}{wire["metadata"]["name"]}', wire)
        for wire in wires
        if wire
    ]


def read_metadata(raw: msgspec.Raw) -> WireObject | None:
    """Read an object's frame; None where even that can't be read."""
    try:
        return OBJECT_DECODER.decode(raw)
    except msgspec.DecodeError:
        return None


def read_event(prefix: str, event: WireEvent) -> StoredObject | None:
    """Read a change; a deleted object has no body."""
    raw = event.get('object')
    wire = None if raw is None else read_metadata(raw)
    if wire is None:
        return None
    stored = to_stored_object(f'{prefix}{wire["metadata"]["name"]}', wire)
    return stored._replace(body=b'') if event.get('tombstone') else stored
