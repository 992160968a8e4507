"""A client of the platform's object store.

A key is `KIND/NAME` and a prefix is `KIND/`. The body of a `StoredObject` is the
object's `spec`, and its version is the `revision` of the object's last change.
"""

import asyncio
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import msgspec

from pollenwalk.connection.plain_http import (
    HttpAnswer,
    HttpRequest,
    PlainHttpClient,
)
from pollenwalk.errors import (
    PollenwalkError,
    StoreConflict,
    StoreHistoryGone,
    StoreUnavailable,
)
from pollenwalk.platform.pages import (
    WireList,
    decode_event,
    decode_events,
    decode_items,
    decode_list,
    decode_object,
)
from pollenwalk.process.store import ABSENT, WATCH_TIMEOUT_MS, Changes, StoredObject

OBJECTS = '/v1/objects/'
# Covers three round trips between regions and the slowest answer that is still
# useful.
RESPONSE_TIMEOUT_S = 2.0
MS_PER_SECOND = 1000
# Statuses below 500 by which the store says that it can't answer now.
UNAVAILABLE = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.REQUEST_TIMEOUT),
)


class PlatformStore:
    """A client of the platform's object store; implements `ObjectStore`.

    Attributes:
        url: `http://ip:port` of the store; may be changed at any time.
        client: sends the requests.
    """

    def __init__(self, url: str) -> None:
        """Create a client without connecting yet."""
        self.url = url
        self.client = PlainHttpClient()

    async def close(self) -> None:
        """Close all connections."""
        self.client.close()

    async def request(
        self,
        method: str,
        path: str,
        document: Any = None,
        timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> HttpAnswer:
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
        body = b'' if document is None else msgspec.json.encode(document)
        request = HttpRequest(self.url, method, f'{OBJECTS}{path}', body)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self.client.request(request)
        except (PollenwalkError, OSError) as error:
            raise StoreUnavailable(f'{method} {path}: {error!r}') from error
        check_status(answer.status, method, path)
        return answer

    async def get(self, key: str) -> StoredObject | None:
        """Read one object; None if it does not exist."""
        answer = await self.request('GET', quote(key))
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        return decode_object(key, answer.body)

    async def put(self, key: str, body: bytes, version: int | None) -> int:
        """Write an object and return its new version; see `ObjectStore.put`."""
        if version == ABSENT:
            return await self.create(key, body)
        metadata: dict[str, Any] = {'name': key.partition('/')[2]}
        if version is not None:
            metadata['revision'] = version
        document = {'metadata': metadata, 'spec': msgspec.Raw(body)}
        answer = await self.request('PUT', quote(key), document)
        if answer.status == HTTPStatus.NOT_FOUND and version is None:
            return await self.create(key, body)
        if answer.status != HTTPStatus.OK:
            raise StoreConflict(f'{key} has another version')
        return decode_object(key, answer.body).version

    async def create(self, key: str, body: bytes) -> int:
        """Create an object and return its version.

        Raises:
            StoreConflict: the object exists already.
        """
        kind, _, name = key.partition('/')
        document = {'metadata': {'name': name}, 'spec': msgspec.Raw(body)}
        answer = await self.request('POST', quote(kind), document)
        if answer.status not in {HTTPStatus.OK, HTTPStatus.CREATED}:
            raise StoreConflict(f'{key} exists already')
        return decode_object(key, answer.body).version

    async def write_status(self, key: str, status: dict[str, Any]) -> None:
        """Write the status of an object whose `spec` another process writes.

        Raises:
            StoreConflict: the store refused it, as after the object's deletion.
        """
        document = {
            'metadata': {'name': key.partition('/')[2]},
            'status': status,
        }
        answer = await self.request('PUT', f'{quote(key)}/status', document)
        if answer.status != HTTPStatus.OK:
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

        Raises:
            StoreUnavailable: a page can't be read, so that the next one can't be
                asked for.
        """
        kind = prefix.rstrip('/')
        found: list[StoredObject] = []
        revision = 0
        path = quote(kind)
        while path:
            answer = await self.request('GET', path)
            page = decode_list(answer.body)
            objects = decode_items(prefix, page['items'])
            found.extend(objects)
            revision = revision or page['store_revision']
            path = next_page_path(kind, page, objects)
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
            timeout_s=wait_ms / MS_PER_SECOND + RESPONSE_TIMEOUT_S,
        )
        page = decode_events(kind, answer.body)
        changed = [decode_event(prefix, event) for event in page['events']]
        return Changes(page['store_revision'], [stored for stored in changed if stored])


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


def next_page_path(kind: str, page: WireList, objects: list[StoredObject]) -> str:
    """Return the path of the next page; empty after the last page.

    Args:
        kind: the kind of the listed objects.
        page: the page that was read last.
        objects: the objects of that page whose metadata could be read.

    Raises:
        StoreUnavailable: more pages follow, but no entry of this one names the
            place from which to go on.
    """
    if not page.get('truncated'):
        return ''
    if not objects:
        raise StoreUnavailable(f'no entry of a page of {kind} can be read')
    last = objects[-1].key.partition('/')[2]
    return f'{quote(kind)}?after={quote(last)}'
