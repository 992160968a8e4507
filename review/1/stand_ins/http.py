"""HTTP/1.1 in the little that the stand-ins need, on asyncio streams."""

import asyncio
from typing import NamedTuple

HEAD_END = b'\r\n\r\n'
CLIENT_TIMEOUT_S = 6.0


class Request(NamedTuple):
    """A request as a server received it; names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Answer(NamedTuple):
    """An answer as a client received it; status 0 if the connection broke off."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    first, *lines = head.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines if line)
    return first, {name.strip().lower(): text.strip() for name, _, text in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a whole request; None once the caller has gone."""
    try:
        head = await reader.readuntil(HEAD_END)
        first, headers = parse_head(head)
        body = await reader.readexactly(int(headers.get('content-length', '0')))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, target, _ = first.split(' ')
    return Request(method, target, headers, body)


def encode_head(first: str, headers: dict[str, str]) -> bytes:
    """Return the head of a message."""
    lines = [first, *(f'{name}: {text}' for name, text in headers.items()), '', '']
    return '\r\n'.join(lines).encode('latin-1')


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a whole answer."""
    length = {'Content-Length': str(len(body))}
    return encode_head(f'HTTP/1.1 {status} X', {**headers, **length}) + body


def encode_chunk(raw: bytes) -> bytes:
    """Return one chunk of a body; an empty one ends it."""
    return f'{len(raw):x}\r\n'.encode() + raw + b'\r\n'


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks to its end."""
    body = bytearray()
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return bytes(body)
        body += chunk[:-2]


class Connection:
    """A client's connection, which may carry several requests one after the other."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wrap an open connection."""
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address: str) -> 'Connection':
        """Connect to an address."""
        host, _, port = address.rpartition(':')
        return cls(*await asyncio.open_connection(host, int(port)))

    async def request(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b'',
        timeout_s: float = CLIENT_TIMEOUT_S,
    ) -> Answer:
        """Send one request and read the answer.

        A connection that breaks off or times out gives status 0, or the status that
        was read with `whole` False.
        """
        status, found = 0, {}
        length = {'Content-Length': str(len(body))} if body else {}
        head = encode_head(f'{method} {target} HTTP/1.1', {**headers, **length})
        try:
            async with asyncio.timeout(timeout_s):
                self.writer.write(head + body)
                first, found = parse_head(await self.reader.readuntil(HEAD_END))
                status = int(first.split(' ')[1])
                if 'chunked' in found.get('transfer-encoding', ''):
                    answered = await read_chunks(self.reader)
                else:
                    size = int(found.get('content-length', '0'))
                    answered = await self.reader.readexactly(size)
                return Answer(status, found, answered, True)
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            return Answer(status, found, b'', False)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def exchange(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
) -> Answer:
    """Send one request on a new connection and read the answer."""
    try:
        connection = await Connection.open(address)
    except OSError:
        return Answer(0, {}, b'', False)
    answer = await connection.request(method, target, headers, body)
    connection.close()
    return answer
