"""A model engine over the usual chat-completions protocol with SSE.

Beside `POST /v1/chat/completions` it uses what the engines publish:
`GET /v1/requests/ID?offset=N` resumes a stream, `DELETE /v1/requests/ID`
cancels, `GET /v1/cache` lists held programs, `DELETE /v1/cache/PROGRAM`
returns a program's memory.
"""

from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any, TypedDict
from urllib.parse import quote

import aiohttp
import msgspec
from aiohttp.http_exceptions import HttpProcessingError

from pollenwalk.connection.http_client import HttpClient
from pollenwalk.connection.upstream import ChatRequest
from pollenwalk.connection.wire import Answer, Tokens
from pollenwalk.errors import ConnectionLost, Outcome, Refusal, RefusalCode

RESPONSE_TIMEOUT_S = 5
READ_TIMEOUT_S = 30
DATA_PREFIX = b'data:'
DONE_DATA = b'[DONE]'
RETRY_AFTER_MS = 500


class Delta(TypedDict, total=False):
    """One piece of an engine's stream."""

    content: str


class Choice(TypedDict, total=False):
    """One choice of a chunk."""

    delta: Delta


class Usage(TypedDict, total=False):
    """What a call has used."""

    completion_tokens: int
    prompt_tokens: int
    cached_tokens: int


class Chunk(TypedDict, total=False):
    """One event of an engine's stream."""

    choices: list[Choice]
    usage: Usage | None
    offset: int | None


CHUNK_DECODER = msgspec.json.Decoder(Chunk)
CACHE_DECODER = msgspec.json.Decoder(dict[str, int])


CONNECTION_ERRORS = (
    aiohttp.ClientError,
    HttpProcessingError,
    TimeoutError,
    OSError,
    ValueError,
)


class HttpEngine(HttpClient):
    """A client of one engine."""

    async def chat(self, request: ChatRequest) -> AsyncIterator[Tokens | Answer]:
        """Stream tokens and end with the answer."""
        body = {
            'model': 'default',
            'stream': True,
            'messages': [
                {'role': entry.role, 'content': entry.content}
                for entry in request.messages
            ],
            'max_tokens': request.max_tokens,
            'priority': request.priority,
            'request_id': request.call,
            'user': request.program,
        }
        async for item in self.stream_events('POST', '/v1/chat/completions', body):
            yield item

    async def resume(self, call: str, offset: int) -> AsyncIterator[Tokens | Answer]:
        """Go on with a stream that was cut."""
        path = f'/v1/requests/{quote(call, safe="")}?offset={offset}'
        async for item in self.stream_events('GET', path, None):
            yield item

    async def stream_events(
        self,
        method: str,
        path: str,
        body: Any,
    ) -> AsyncIterator[Tokens | Answer]:
        """Read one stream of events."""
        timeout = aiohttp.ClientTimeout(total=None, sock_read=READ_TIMEOUT_S)
        try:
            async with self.open_session().request(
                method,
                f'{self.url}{path}',
                json=body,
                timeout=timeout,
            ) as response:
                check_status(response.status)
                async for item in read_items(response):
                    yield item
        except CONNECTION_ERRORS as error:
            raise ConnectionLost(f'{method} {path}: {error}') from error

    async def cancel(self, call: str) -> None:
        """Stop generating for a call."""
        await self.fetch('DELETE', f'/v1/requests/{quote(call, safe="")}')

    async def list_cache(self) -> dict[str, int]:
        """Give the cached tokens by program."""
        body = await self.fetch('GET', '/v1/cache')
        try:
            return CACHE_DECODER.decode(body)
        except msgspec.DecodeError as error:
            raise invalid_response(error) from error

    async def release_memory(self, program: str) -> None:
        """Return the memory that a program holds."""
        await self.fetch('DELETE', f'/v1/cache/{quote(program, safe="")}')

    async def fetch(self, method: str, path: str) -> bytes:
        """Ask a short question."""
        timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S)
        try:
            async with self.open_session().request(
                method,
                f'{self.url}{path}',
                timeout=timeout,
            ) as response:
                if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
                    raise ConnectionLost(f'{method} {path}: {response.status}')
                return await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ConnectionLost(f'{method} {path}: {error}') from error


async def read_items(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[Tokens | Answer]:
    """Read an engine's events to their end."""
    reader = StreamReader()
    async for line in response.content:
        for item in reader.parse_line(line):
            yield item


class StreamReader:
    """Turns lines of an event stream into tokens and the answer."""

    def __init__(self) -> None:
        """Start before the first line."""
        self.texts: list[str] = []
        self.offset: int | None = None
        self.usage: Usage = {}

    def parse_line(self, line: bytes) -> list[Tokens | Answer]:
        """Read one line.

        Raises:
            Refusal: what the engine sent makes no sense.
        """
        if not line.startswith(DATA_PREFIX):
            return []
        data = line.removeprefix(DATA_PREFIX).strip()
        if data == DONE_DATA:
            return [self.answer()]
        try:
            chunk = CHUNK_DECODER.decode(data)
        except msgspec.DecodeError as error:
            raise invalid_response(error) from error
        return list(self.tokens(chunk))

    def tokens(self, chunk: Chunk) -> list[Tokens]:
        """Give the tokens of a chunk."""
        self.usage = chunk.get('usage') or self.usage
        contents = [
            choice['delta']['content']
            for choice in chunk.get('choices', ())
            if choice.get('delta', {}).get('content')
        ]
        if not contents:
            return []
        if self.offset is None:
            self.offset = chunk.get('offset') or 0
        start = self.offset + len(self.texts)
        self.texts.extend(contents)
        return [Tokens(start, contents)]

    def answer(self) -> Answer:
        """Give the answer; a resumed stream lacks what came before."""
        return Answer(
            {'text': ''.join(self.texts)},
            self.usage.get('completion_tokens', len(self.texts)),
            self.usage.get('prompt_tokens', 0) - self.usage.get('cached_tokens', 0),
        )


def check_status(status: int) -> None:
    """Turn an engine's refusal into ours.

    Raises:
        Refusal: the engine did not run the call.
        ConnectionLost: the engine failed.
    """
    if status == HTTPStatus.OK:
        return
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        raise Refusal(
            RefusalCode.OVERLOADED,
            'the engine is full',
            retry_after_ms=RETRY_AFTER_MS,
        )
    if status < HTTPStatus.INTERNAL_SERVER_ERROR:
        raise Refusal(
            RefusalCode.UPSTREAM_FAILED,
            f'the engine answered {status}',
            Outcome.NOT_RUN,
        )
    raise ConnectionLost(f'the engine answered {status}')


def invalid_response(error: Exception) -> Refusal:
    """Refuse what an engine sent."""
    return Refusal(
        RefusalCode.UPSTREAM_FAILED,
        f'the engine sent garbage: {error}',
        Outcome.UNKNOWN,
    )
