"""Clients of the entries for stand-in callers."""

import random
from collections.abc import Sequence
from typing import Any, NamedTuple, Protocol

import aiohttp
import msgspec

from pollenwalk.errors import ConnectionLost, Outcome, Refusal, RefusalCode

TIMEOUT_S = 150
EVENT_DATA = b'data: '
EVENT_NAME = b'event: '


class CallSpec(NamedTuple):
    """One call as a caller makes it."""

    program: str
    key: str
    sequence: int
    upstream: str
    operation: str
    argument: dict[str, Any]


class BeginSpec(NamedTuple):
    """A program's beginning as a caller makes it."""

    declaration: str
    caller: str
    key: str
    budget: int | None = None
    parent: str | None = None


class EntryClient(Protocol):
    """A client of the entries.

    Its methods raise `Refusal`, or `ConnectionLost` if there is no answer.
    """

    async def begin(self, spec: BeginSpec) -> dict[str, Any]:
        """Begin a program."""

    async def call(self, spec: CallSpec) -> dict[str, Any]:
        """Make a call and give its whole answer."""

    async def view(self, program: str) -> dict[str, Any]:
        """Read a program."""

    async def end(self, program: str) -> dict[str, Any]:
        """End a program."""


class HttpEntryClient:
    """The callers' API of several entries, as behind a balancer."""

    def __init__(self, urls: Sequence[str], rng: random.Random) -> None:
        """Pick an entry by `rng` for each request."""
        self.urls = list(urls)
        self.rng = rng
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            connector=aiohttp.TCPConnector(limit=0),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def ask(self, method: str, path: str, **options: Any) -> dict[str, Any]:
        """Make one request at one entry."""
        url = self.rng.choice(self.urls)
        try:
            async with self.session.request(
                method,
                f'{url}{path}',
                **options,
            ) as response:
                body = await response.read()
                return read_answer(response.status, body)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ConnectionLost(f'{method} {path}: {error}') from error

    async def begin(self, spec: BeginSpec) -> dict[str, Any]:
        """Begin a program."""
        body = {'program': spec.declaration}
        if spec.budget is not None:
            body['budget'] = spec.budget
        if spec.parent is not None:
            body['parent'] = spec.parent
        headers = {'Idempotency-Key': spec.key, 'X-Pollenwalk-Caller': spec.caller}
        return await self.ask('POST', '/v1/programs', json=body, headers=headers)

    async def call(self, spec: CallSpec) -> dict[str, Any]:
        """Make a call and read its events to the end."""
        headers = {'Idempotency-Key': spec.key, 'Accept': 'text/event-stream'}
        body = {
            'sequence': spec.sequence,
            'upstream': spec.upstream,
            'operation': spec.operation,
            'input': spec.argument,
        }
        path = f'/v1/programs/{spec.program}/calls'
        url = self.rng.choice(self.urls)
        try:
            async with self.session.post(
                f'{url}{path}',
                json=body,
                headers=headers,
            ) as response:
                if response.content_type != 'text/event-stream':
                    return read_answer(response.status, await response.read())
                return await read_events(response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ConnectionLost(f'call {spec.key}: {error}') from error

    async def view(self, program: str) -> dict[str, Any]:
        """Read a program."""
        return await self.ask('GET', f'/v1/programs/{program}')

    async def end(self, program: str) -> dict[str, Any]:
        """End a program."""
        return await self.ask('DELETE', f'/v1/programs/{program}')


async def read_events(response: aiohttp.ClientResponse) -> dict[str, Any]:
    """Read a stream of events up to the answer."""
    name = ''
    texts: list[str] = []
    async for line in response.content:
        if line.startswith(EVENT_NAME):
            name = line.removeprefix(EVENT_NAME).strip().decode()
        elif line.startswith(EVENT_DATA):
            body = msgspec.json.decode(line.removeprefix(EVENT_DATA))
            if name == 'tokens':
                texts[body['offset'] :] = body['texts']
            elif name == 'answer':
                return {**body, 'streamed': ''.join(texts)}
            else:
                raise to_refusal(body)
    raise ConnectionLost('the stream ended without an answer')


def read_answer(status: int, body: bytes) -> dict[str, Any]:
    """Read a JSON answer or raise the refusal that it is."""
    try:
        answer = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        raise ConnectionLost(f'status {status}: {body[:100]!r}') from error
    if status >= 400:
        raise to_refusal(answer)
    return answer


def to_refusal(answer: dict[str, Any]) -> Refusal:
    """Rebuild a refusal from a problem document."""
    return Refusal(
        RefusalCode(answer['code']),
        answer['title'],
        Outcome(answer['outcome']),
        answer['retry_after_ms'],
    )
