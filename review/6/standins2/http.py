"""Reading of HTTP/1.1 messages, and clients that send one request each."""

import asyncio
import os
from typing import NamedTuple

Headers = dict[str, str]


class Head(NamedTuple):
    """The first line and the headers of a message; names are in lower case."""

    line: str
    headers: Headers


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a message."""
    raw = await reader.readuntil(b'\r\n\r\n')
    line, *rest = raw.decode('latin-1').split('\r\n')
    pairs = (field.partition(':') for field in rest if field)
    return Head(line, {name.strip().lower(): text.strip() for name, _, text in pairs})


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Read a body that is sent with a length or in chunks."""
    if headers.get('transfer-encoding') != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', 0)))
    parts = []
    async for part in read_chunks(reader):
        parts.append(part)
    return b''.join(parts)


async def read_chunks(reader: asyncio.StreamReader):
    """Yield the chunks of a body."""
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return
        yield part[:-2]


class Answer:
    """What a client has got for one request.

    Attributes:
        status: the status; 0 if there was no answer.
        body: the body as far as it came.
        whole: whether it came to its end.
    """

    def __init__(self) -> None:
        """Start without anything."""
        self.status = 0
        self.body = b''
        self.whole = False


class Client:
    """Sends requests one after the other, on a connection that it keeps.

    Attributes:
        streams: the open connection; None for none.
    """

    def __init__(self, address: str) -> None:
        """Send to one front machine."""
        self.ip, _, port = address.rpartition(':')
        self.port = int(port)
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self, path: str, headers: Headers, body: bytes, wait_s: float = 6.0
    ) -> Answer:
        """Send a POST request and read the answer."""
        answer = Answer()
        try:
            async with asyncio.timeout(wait_s):
                await self.exchange(answer, path, headers, body)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            answer.whole = False
            self.close()
        return answer

    async def exchange(
        self, answer: Answer, path: str, headers: Headers, body: bytes
    ) -> None:
        """Send a request and read the answer into `answer`."""
        if self.streams is None:
            self.streams = await asyncio.open_connection(self.ip, self.port)
        reader, writer = self.streams
        fields = {
            'Host': 'shop.example',
            'X-Pollenwalk-Deadline-Ms': '3000',
            'Content-Length': str(len(body)),
            **headers,
        }
        head = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
        writer.write(f'POST {path} HTTP/1.1\r\n{head}\r\n'.encode() + body)
        received = await read_head(reader)
        answer.status = int(received.line.split()[1])
        if received.headers.get('transfer-encoding') == 'chunked':
            async for part in read_chunks(reader):
                answer.body += part
        else:
            answer.body = await read_body(reader, received.headers)
        answer.whole = True
        if received.headers.get('connection') == 'close':
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None


def new_id() -> str:
    """Return the id of a new client attempt."""
    return os.urandom(8).hex()


def turn_headers(program: str, attempt: str, previous: str = '') -> Headers:
    """Return the headers of a turn, as the pages show them."""
    headers = {
        'X-Pollenwalk-Request-Id': attempt,
        'X-Pollenwalk-Program-Id': program,
        'X-Pollenwalk-Session-Id': f'{program}s',
        'X-Pollenwalk-Program-Deadline-Ms': '60000',
        'X-Pollenwalk-Token-Budget': '100000',
        'X-Pollenwalk-Token-Usage': '1840,280',
    }
    if previous:
        headers['X-Pollenwalk-Previous-Turn'] = previous
    return headers
