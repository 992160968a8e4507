"""A client of the platform's object store.

A key is `KIND/NAME` and a prefix is `KIND/`. The body of a `StoredObject` is the
object's `spec`, and its version is the `revision` of the object's last change.
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
# Covers three round trips between regions and the slowest answer that is still
# useful.
ANSWER_TIMEOUT_S = 2.0
MS_PER_SECOND = 1000
# Statuses below 500 by which the store says that it can't answer now.
UNAVAILABLE = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.REQUEST_TIMEOUT),
)


class WireMetadata(TypedDict):
    """The metadata of an object; the store sets the revision."""

    name: str
    revision: int


class WireObject(TypedDict):
    """An object; its `spec` stays encoded for the decoder of its kind."""

    metadata: WireMetadata
    spec: NotRequired[msgspec.Raw]


class WireList(TypedDict):
    """One page of a list; if `truncated` is set, more pages follow."""

    items: list[msgspec.Raw]
    truncated: NotRequired[bool]
    store_revision: int


class WireEvent(TypedDict):
    """A changed object; if `tombstone` is set, the object was deleted."""

    object: NotRequired[msgspec.Raw]
    tombstone: NotRequired[bool]


class WireEvents(TypedDict):
    """The answer to a watch: the changes after the watched revision."""

    events: list[WireEvent]
    store_revision: int


OBJECT_DECODER = msgspec.json.Decoder(WireObject)
LIST_DECODER = msgspec.json.Decoder(WireList)
EVENTS_DECODER = msgspec.json.Decoder(WireEvents)


class StoreAnswer(TypedDict):
    """The HTTP status and the body of the store's answer."""

    status: int
    body: bytes


class PlatformStore(HttpClient):
    """A client of the platform's object store; implements `ObjectStore`."""

    def make_connector(self) -> aiohttp.TCPConnector:
        """Make a connector whose connections detect a store that has gone silent."""
        return aiohttp.TCPConnector(limit=0, socket_factory=make_socket)

    async def request(
        self,
        method: str,
        path: str,
        document: Any = None,
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> StoreAnswer:
        """Send a request to the store and read the whole answer.

        Args:
            method: the HTTP method.
            path: the path below `OBJECTS`, with the query.
            document: the body, which is sent as JSON; None for no body.
            timeout_s: the longest time for the whole request.

        Raises:
            StoreUnavailable: no answer came, or its status says that the
                store is unavailable.
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
        """Read one object; None if it does not exist."""
        answer = await self.request('GET', quote(key))
        if answer['status'] == HTTPStatus.NOT_FOUND:
            return None
        return decode_object(key, answer['body'])

    async def put(self, key: str, body: bytes, version: int | None) -> int:
        """Write an object and return its new version; see `ObjectStore.put`."""
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
        return decode_object(key, answer['body']).version

    async def create(self, key: str, body: bytes) -> int:
        """Create an object and return its version.

        Raises:
            StoreConflict: the object exists already.
        """
        kind, _, name = key.partition('/')
        document = {'metadata': {'name': name}, 'spec': msgspec.Raw(body)}
        answer = await self.request('POST', quote(kind), document)
        if answer['status'] not in {HTTPStatus.OK, HTTPStatus.CREATED}:
            raise StoreConflict(f'{key} exists already')
        return decode_object(key, answer['body']).version

    async def report(self, key: str, status: dict[str, Any]) -> None:
        """Write the status of an object whose `spec` another process writes.

        Raises:
            StoreConflict: the store refused it, as after the object's deletion.
        """
        document = {
            'metadata': {'name': key.partition('/')[2]},
            'status': status,
        }
        answer = await self.request('PUT', f'{quote(key)}/status', document)
        if answer['status'] != HTTPStatus.OK:
            raise StoreConflict(
                f'{key}: writing its status was answered with {answer["status"]}'
            )

    async def delete(self, key: str) -> None:
        """Delete an object; it is no error if it does not exist."""
        await self.request('DELETE', quote(key))

    async def scan(self, prefix: str) -> Changes:
        """Read all objects of a kind, page by page.

        The revision is that of the first page, so that a watch from there
        misses no change that was made while the other pages were read.
        """
        kind = prefix.rstrip('/')
        found: list[StoredObject] = []
        revision = 0
        path = quote(kind)
        while path:
            page: WireList = decode_page(await self.request('GET', path))
            found.extend(decode_items(prefix, page['items']))
            revision = revision or page['store_revision']
            path = next_page_path(kind, page, found)
        return Changes(revision, found)

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait_ms: int = WATCH_TIMEOUT_MS,
    ) -> Changes:
        """Wait for changes after a revision.

        Args:
            prefix: the prefix of the watched objects.
            revision: the last revision that is known.
            wait_ms: how long the store waits for a change.

        Returns:
            The changed objects, none if nothing changed in that time, and the
            revision to watch from next.

        Raises:
            StoreHistoryGone: the store no longer has the changes since then.
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
        changed = [decode_event(prefix, event) for event in page['events']]
        return Changes(page['store_revision'], [stored for stored in changed if stored])


def make_socket(address: tuple[Any, ...]) -> socket.socket:
    """Make a socket that detects a peer that has gone silent."""
    new_socket = socket.socket(family=address[0], type=address[1], proto=address[2])
    new_socket.setblocking(False)
    enable_keepalive(new_socket)
    return new_socket


def check_status(status: int, method: str, path: str) -> None:
    """Check that the store has processed a request.

    Raises:
        StoreHistoryGone: the watched revision is too old.
        StoreUnavailable: the store can't answer now.
    """
    if status == HTTPStatus.GONE:
        raise StoreHistoryGone(f'{method} {path}')
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR or status in UNAVAILABLE:
        raise StoreUnavailable(f'{method} {path}: status {status}')


def decode_object(key: str, body: bytes) -> StoredObject:
    """Decode the answer to a request for one object.

    Raises:
        StoreUnavailable: the answer is not an object.
    """
    try:
        wire: WireObject = OBJECT_DECODER.decode(body)
    except msgspec.DecodeError as error:
        raise StoreUnavailable(f'{key}: {error}') from error
    return to_stored_object(key, wire)


def to_stored_object(key: str, wire: WireObject) -> StoredObject:
    """Convert a decoded object; one without `spec` gets the body `null`."""
    spec = wire.get('spec')
    body = b'null' if spec is None else bytes(spec)
    return StoredObject(key, body, wire['metadata']['revision'])


def decode_page(answer: StoreAnswer) -> WireList:
    """Decode one page of a list.

    Raises:
        StoreUnavailable: the answer is not a page.
    """
    try:
        return LIST_DECODER.decode(answer['body'])
    except msgspec.DecodeError as error:
        raise StoreUnavailable(f'list: {error}') from error


def next_page_path(kind: str, page: WireList, found: list[StoredObject]) -> str:
    """Return the path of the next page; empty after the last page.

    Args:
        kind: the kind of the listed objects.
        page: the page that was read last.
        found: all objects that were read so far.
    """
    if not page.get('truncated') or not found:
        return ''
    last = found[-1].key.partition('/')[2]
    return f'{quote(kind)}?after={quote(last)}'


def decode_items(prefix: str, items: list[msgspec.Raw]) -> list[StoredObject]:
    """Decode the objects of a page; those with unreadable metadata are left out."""
    wires = (decode_metadata(raw) for raw in items)
    return [
        to_stored_object(f'{prefix}{wire["metadata"]["name"]}', wire)
        for wire in wires
        if wire
    ]


def decode_metadata(raw: msgspec.Raw) -> WireObject | None:
    """Decode an object but not its `spec`; None if its metadata is unreadable."""
    try:
        return OBJECT_DECODER.decode(raw)
    except msgspec.DecodeError:
        return None


def decode_event(prefix: str, event: WireEvent) -> StoredObject | None:
    """Decode a change; None if it is unreadable. Deleted objects have no body."""
    raw = event.get('object')
    wire = None if raw is None else decode_metadata(raw)
    if wire is None:
        return None
    stored = to_stored_object(f'{prefix}{wire["metadata"]["name"]}', wire)
    return stored._replace(body=b'') if event.get('tombstone') else stored
