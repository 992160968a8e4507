"""Client of a model engine: chat completions over HTTP with server-sent events.

The client uses these requests of the engines:

    POST   /v1/chat/completions          starts a call and streams its tokens
    GET    /v1/requests/ID?offset=N      resumes the stream of a call
    DELETE /v1/requests/ID               cancels a call
    GET    /v1/cache                     lists the programs that are cached
    DELETE /v1/cache/PROGRAM             frees the memory of a program
"""

from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any, TypedDict
from urllib.parse import quote

import aiohttp
import msgspec
from aiohttp.http_exceptions import HttpProcessingError

from pollenwalk.connection.call_messages import Answer, Tokens
from pollenwalk.connection.http_client import HttpClient, read_body
from pollenwalk.connection.upstream import ChatRequest
from pollenwalk.errors import ConnectionLost, Outcome, Refusal, RefusalCode

# Limit on a whole request that is not streamed.
RESPONSE_TIMEOUT_S = 5
# Limit on the time between two reads of a stream.
READ_TIMEOUT_S = 30
LINE_BREAK = b'\n'
DATA_PREFIX = b'data:'
DONE_DATA = b'[DONE]'
# Time after which a caller may repeat a call that the engine refused because it
# is overloaded.
RETRY_AFTER_MS = 500


class Delta(TypedDict, total=False):
    """The text that a chunk adds to the answer."""

    content: str


class Choice(TypedDict, total=False):
    """An entry of `choices` in a chunk."""

    delta: Delta


class Usage(TypedDict, total=False):
    """The token counts of a call."""

    completion_tokens: int
    prompt_tokens: int
    cached_tokens: int


class Chunk(TypedDict, total=False):
    """The data of an event in an engine's stream.

    `offset` is the number of tokens that come before the chunk. It is read from
    the first chunk that has tokens, where 0 is assumed if it is missing, and
    ignored in later chunks.
    """

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
    """A client of one engine; implements `Engine`."""

    async def chat(self, request: ChatRequest) -> AsyncIterator[Tokens | Answer]:
        """Start a call and yield its tokens, then the answer.

        Raises:
            ConnectionLost: the engine failed or the stream was interrupted.
            Refusal: the engine refused the call or sent an invalid response.
        """
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
        """Resume the stream of a call after the first `offset` tokens.

        Raises:
            ConnectionLost: the engine failed or the stream was interrupted.
            Refusal: the engine refused the call or sent an invalid response.
        """
        path = f'/v1/requests/{quote(call, safe="")}?offset={offset}'
        async for item in self.stream_events('GET', path, None):
            yield item

    async def stream_events(
        self,
        method: str,
        path: str,
        body: Any,
    ) -> AsyncIterator[Tokens | Answer]:
        """Send a request and yield the items of the event stream in its response.

        Raises:
            ConnectionLost: the engine failed or the stream was interrupted.
            Refusal: the engine refused the call or sent an invalid response.
        """
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
        """Stop generating for a call.

        Raises:
            ConnectionLost: the engine failed or did not answer.
        """
        await self.fetch('DELETE', f'/v1/requests/{quote(call, safe="")}')

    async def list_cache(self) -> dict[str, int]:
        """Return the number of cached tokens by program.

        Raises:
            ConnectionLost: the engine failed or did not answer.
            Refusal: the engine sent an invalid response.
        """
        body = await self.fetch('GET', '/v1/cache')
        try:
            return CACHE_DECODER.decode(body)
        except msgspec.DecodeError as error:
            raise invalid_response(error) from error

    async def release_memory(self, program: str) -> None:
        """Free the memory that the engine holds for a program.

        Raises:
            ConnectionLost: the engine failed or did not answer.
        """
        await self.fetch('DELETE', f'/v1/cache/{quote(program, safe="")}')

    async def fetch(self, method: str, path: str) -> bytes:
        """Send a request that is not streamed and return the response body.

        A status below 500 is not checked, so that cancelling or freeing what
        the engine no longer knows is no error.

        Raises:
            ConnectionLost: no response in time, or a status of 500 or higher.
        """
        timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S)
        try:
            async with self.open_session().request(
                method,
                f'{self.url}{path}',
                timeout=timeout,
            ) as response:
                if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
                    raise ConnectionLost(f'{method} {path}: {response.status}')
                return await read_body(response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ConnectionLost(f'{method} {path}: {error}') from error


async def read_items(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[Tokens | Answer]:
    """Yield the tokens of an engine's event stream, then the answer.

    A last line without its line break is incomplete and is ignored, so that the
    stream ends without an answer.

    Raises:
        Refusal: the data of an event is invalid.
    """
    parser = EngineStreamParser()
    async for line in response.content:
        if not line.endswith(LINE_BREAK):
            return
        for item in parser.parse_line(line):
            yield item


class EngineStreamParser:
    """Converts the lines of an event stream into tokens and the answer.

    Attributes:
        texts: the tokens parsed so far.
        offset: number of tokens before `texts`; None before the first token.
        usage: the latest token counts; empty before the first.
    """

    def __init__(self) -> None:
        """Create a parser for one stream."""
        self.texts: list[str] = []
        self.offset: int | None = None
        self.usage: Usage = {}

    def parse_line(self, line: bytes) -> list[Tokens | Answer]:
        """Parse a line and return the items in it, which are none or one.

        Raises:
            Refusal: the data in the line is invalid.
        """
        if not line.startswith(DATA_PREFIX):
            return []
        data = line.removeprefix(DATA_PREFIX).strip()
        if data == DONE_DATA:
            return [self.make_answer()]
        try:
            chunk = CHUNK_DECODER.decode(data)
        except msgspec.DecodeError as error:
            raise invalid_response(error) from error
        return list(self.parse_chunk(chunk))

    def parse_chunk(self, chunk: Chunk) -> list[Tokens]:
        """Return the tokens of a chunk and update the token counts."""
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

    def make_answer(self) -> Answer:
        """Return the answer with the text and the token counts of this stream.

        After a resumption, the text lacks the tokens before the offset.
        """
        return Answer(
            {'text': ''.join(self.texts)},
            self.usage.get('completion_tokens', len(self.texts)),
            self.usage.get('prompt_tokens', 0) - self.usage.get('cached_tokens', 0),
        )


def check_status(status: int) -> None:
    """Raise an error if an engine answers with a status other than 200.

    Raises:
        Refusal: a status from 400 to 499: the engine did not run the call.
        ConnectionLost: another status: the engine failed.
    """
    if status == HTTPStatus.OK:
        return
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        raise Refusal(
            RefusalCode.OVERLOADED,
            'the engine is overloaded',
            retry_after_ms=RETRY_AFTER_MS,
        )
    if HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR:
        raise Refusal(
            RefusalCode.UPSTREAM_FAILED,
            f'the engine answered with status {status}',
            Outcome.NOT_RUN,
        )
    raise ConnectionLost(f'the engine answered with status {status}')


def invalid_response(error: Exception) -> Refusal:
    """Return the refusal of a call whose response can't be decoded."""
    return Refusal(
        RefusalCode.UPSTREAM_FAILED,
        f'the engine sent an invalid response: {error}',
        Outcome.UNKNOWN,
    )
