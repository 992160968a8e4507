"""The platform's object API over HTTP.

GET    /objects/KEY            the body; its version in the ETag
PUT    /objects/KEY            with `If-Match: VERSION`, `If-None-Match: *`
                               or neither
DELETE /objects/KEY
GET    /list?prefix=P          {"revision", "objects": [...]}
GET    /watch?prefix=P&revision=R   the same, once something has changed
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

ANSWER_TIMEOUT_S = 2
WATCH_TIMEOUT_S = 15


class ListedObject(NamedTuple):
    """An object in a list; the body is base64."""

    key: str
    body: str
    version: int


class Listing(NamedTuple):
    """The answer to a list or a watch."""

    revision: int
    objects: list[ListedObject]


LISTING_DECODER = msgspec.json.Decoder(Listing)


class HttpStore(HttpClient):
    """A client of the object API."""

    async def request(
        self,
        method: str,
        path: str,
        timeout_s: float = ANSWER_TIMEOUT_S,
        **options: Any,
    ) -> 'StoreAnswer':
        """Ask the API.

        Raises:
            StoreUnavailable: no answer, or one that says so.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.open_session().request(
                method,
                f'{self.url}{path}',
                timeout=timeout,
                **options,
            ) as response:
                answer = StoreAnswer(
                    response.status,
                    await response.read(),
                    response.headers.get('ETag', ''),
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreUnavailable(f'{method} {path}: {error}') from error
        if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR or (
            answer.status == HTTPStatus.TOO_MANY_REQUESTS
        ):
            raise StoreUnavailable(f'{method} {path}: status {answer.status}')
        return answer

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        answer = await self.request('GET', object_path(key))
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        return StoredObject(key, answer.body, answer.version)

    async def put(self, key: str, body: bytes, version: int | None) -> int:
        """Write an object, on a condition unless `version` is None."""
        headers = {}
        if version == ABSENT:
            headers['If-None-Match'] = '*'
        elif version is not None:
            headers['If-Match'] = f'"{version}"'
        answer = await self.request(
            'PUT',
            object_path(key),
            data=body,
            headers=headers,
        )
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            raise StoreConflict(f'{key} has another version')
        return answer.version

    async def delete(self, key: str) -> None:
        """Delete an object."""
        await self.request('DELETE', object_path(key))

    async def scan(self, prefix: str) -> Changes:
        """Read all objects below a prefix."""
        answer = await self.request('GET', f'/list?prefix={quote(prefix)}')
        return as_changes(answer)

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait_ms: int = WATCH_TIMEOUT_MS,
    ) -> Changes:
        """Wait for changes after a revision."""
        path = f'/watch?prefix={quote(prefix)}&revision={revision}'
        return as_changes(await self.request('GET', path, WATCH_TIMEOUT_S))


class StoreAnswer(NamedTuple):
    """What the API answered."""

    status: int
    body: bytes
    etag: str

    @property
    def version(self) -> int:
        """Read the version off the ETag.

        Raises:
            StoreUnavailable: the answer makes no sense.
        """
        text = self.etag.strip('"')
        if not text.isdecimal():
            raise StoreUnavailable(f'status {self.status} with ETag {self.etag!r}')
        return int(text)


def object_path(key: str) -> str:
    """Give the path of an object."""
    return f'/objects/{quote(key)}'


def as_changes(answer: StoreAnswer) -> Changes:
    """Read a list or a watch.

    Raises:
        StoreUnavailable: the answer makes no sense.
    """
    try:
        listing = LISTING_DECODER.decode(answer.body)
        objects = [
            StoredObject(one.key, base64.b64decode(one.body), one.version)
            for one in listing.objects
        ]
    except (msgspec.DecodeError, ValueError) as error:
        raise StoreUnavailable(f'the answer makes no sense: {error}') from error
    return Changes(listing.revision, objects)
