"""Client of the platform's object store over HTTP.

GET    /objects/KEY            the body; its version in the ETag
PUT    /objects/KEY            with `If-Match: VERSION`, `If-None-Match: *`
                               or neither
DELETE /objects/KEY
GET    /list?prefix=P          {"revision", "objects": [...]}
GET    /watch?prefix=P&revision=R   the changed objects, in the same form
"""

import base64
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import quote

import aiohttp
import msgspec

from pollenwalk.connection.http_client import HttpClient
from pollenwalk.errors import StoreConflict, StoreUnavailable
from pollenwalk.process.store import ABSENT, WATCH_TIMEOUT_MS, Changes, StoredObject

RESPONSE_TIMEOUT_S = 2
# Limit on a watch request, which the store answers after the next change.
WATCH_TIMEOUT_S = 15
# Statuses that say what has become of a request.
PROCESSED_STATUSES = frozenset(
    (
        HTTPStatus.OK,
        HTTPStatus.CREATED,
        HTTPStatus.NO_CONTENT,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.PRECONDITION_FAILED,
    )
)


class ListedObject(NamedTuple):
    """An object in a listing; `body` is base64."""

    key: str
    body: str
    version: int


class ObjectListing(NamedTuple):
    """The response to a list or a watch request."""

    revision: int
    objects: list[ListedObject]


LISTING_DECODER = msgspec.json.Decoder(ObjectListing)


class HttpStore(HttpClient):
    """A client of the object store; implements `ObjectStore`.

    Every method raises `StoreUnavailable` if no usable response arrives in time.
    """

    async def request(
        self,
        method: str,
        path: str,
        timeout_s: float = RESPONSE_TIMEOUT_S,
        **options: Any,
    ) -> 'StoreResponse':
        """Send a request and return the response.

        Args:
            method: HTTP method.
            path: path and query.
            timeout_s: limit on the whole request.
            **options: further arguments of `aiohttp.ClientSession.request`.

        Raises:
            StoreUnavailable: no response in time, or one that is none of
                PROCESSED_STATUSES.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.open_session().request(
                method,
                f'{self.url}{path}',
                timeout=timeout,
                **options,
            ) as http_response:
                response = StoreResponse(
                    http_response.status,
                    await http_response.read(),
                    http_response.headers.get('ETag', ''),
                    is_framed(http_response),
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreUnavailable(f'{method} {path}: {error}') from error
        if response.status not in PROCESSED_STATUSES:
            raise StoreUnavailable(f'{method} {path}: status {response.status}')
        return response

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if there is none with this key.

        Raises:
            StoreUnavailable: the store did not answer, or in such a way that its
                answer may be incomplete.
        """
        response = await self.request('GET', object_path(key))
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        if not response.framed:
            raise StoreUnavailable(f'{key}: the answer has neither length nor chunks')
        return StoredObject(key, response.body, response.version)

    async def put(self, key: str, body: bytes, version: int | None) -> int:
        """Write an object and return its new version.

        Args:
            key: key of the object.
            body: new content.
            version: version that the object must have, or ABSENT if it must not
                exist; None to write unconditionally.

        Raises:
            StoreConflict: the object has another version.
            StoreUnavailable: the store did not answer.
        """
        headers = {}
        if version == ABSENT:
            headers['If-None-Match'] = '*'
        elif version is not None:
            headers['If-Match'] = f'"{version}"'
        response = await self.request(
            'PUT',
            object_path(key),
            data=body,
            headers=headers,
        )
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            raise StoreConflict(f'{key} does not have the expected version')
        return response.version

    async def delete(self, key: str) -> None:
        """Delete an object; has no effect if there is none."""
        await self.request('DELETE', object_path(key))

    async def scan(self, prefix: str) -> Changes:
        """Return all objects whose keys begin with a prefix."""
        response = await self.request('GET', f'/list?prefix={quote(prefix)}')
        return decode_changes(response)

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait_ms: int = WATCH_TIMEOUT_MS,
    ) -> Changes:
        """Wait for changes after a revision and return them.

        `wait_ms` is part of the interface, but this store has no parameter for
        it. The request fails after WATCH_TIMEOUT_S.
        """
        path = f'/watch?prefix={quote(prefix)}&revision={revision}'
        return decode_changes(await self.request('GET', path, WATCH_TIMEOUT_S))


class StoreResponse(NamedTuple):
    """A response of the object store.

    Attributes:
        status: the HTTP status.
        body: the body; it may be incomplete unless `framed`.
        etag: the ETag header; empty if there is none.
        framed: whether the end of the body was marked.
    """

    status: int
    body: bytes
    etag: str
    framed: bool

    @property
    def version(self) -> int:
        """Return the object's version from the ETag.

        Raises:
            StoreUnavailable: the ETag is not a version.
        """
        text = self.etag.strip('"')
        if not text.isdecimal():
            raise StoreUnavailable(f'status {self.status}, invalid ETag {self.etag!r}')
        return int(text)


def is_framed(response: aiohttp.ClientResponse) -> bool:
    """Return whether a response has a length or chunks, which mark its end."""
    return response.content_length is not None or (
        'Transfer-Encoding' in response.headers
    )


def object_path(key: str) -> str:
    """Return the URL path of an object."""
    return f'/objects/{quote(key)}'


def decode_changes(response: StoreResponse) -> Changes:
    """Decode the response to a list or a watch request.

    Raises:
        StoreUnavailable: the response can't be decoded.
    """
    try:
        listing = LISTING_DECODER.decode(response.body)
        objects = [
            StoredObject(listed.key, base64.b64decode(listed.body), listed.version)
            for listed in listing.objects
        ]
    except (msgspec.DecodeError, ValueError) as error:
        raise StoreUnavailable(f'invalid listing: {error}') from error
    return Changes(listing.revision, objects)
