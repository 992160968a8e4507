"""A client that sends one request on a new connection."""

import asyncio
import contextlib

import h11

READ_BYTES = 65_536
HOST = 'shop.example'
Headers = list[tuple[str, str]]


class Answer:
    """What a client saw of the answer to one request.

    Attributes:
        status: the HTTP status; 0 for no answer.
        body: the bytes of the body that arrived.
        whole: whether the body came to its end.
        error: why the connection failed; empty if it did not.
    """

    def __init__(self) -> None:
        """Start without an answer."""
        self.status = 0
        self.body = b''
        self.whole = False
        self.error = ''

    def __str__(self) -> str:
        """Return the answer in one line."""
        end = 'whole' if self.whole else f'not whole {self.error}'
        code = self.body[:60].decode('latin-1') if self.status >= 400 else ''
        return f'{self.status} {end}, {len(self.body)} bytes {code}'.rstrip()

    @property
    def events(self) -> int:
        """Return how many events with data arrived."""
        return sum(line.startswith(b'data:') for line in self.body.split(b'\n'))


async def call(
    address: str,
    method: str,
    target: str,
    headers: Headers | None = None,
    body: bytes = b'',
    timeout_s: float = 5.0,
) -> Answer:
    """Send a request and read the whole answer."""
    answer = Answer()
    ip, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            connection = h11.Connection(h11.CLIENT)
            writer.write(request_bytes(connection, method, target, headers or [], body))
            await read_answer(connection, reader, answer)
    except (OSError, h11.ProtocolError, TimeoutError) as error:
        answer.error = repr(error)
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
    return answer


def request_bytes(
    connection: h11.Connection, method: str, target: str, headers: Headers, body: bytes
) -> bytes:
    """Return a whole request."""
    fields = [('Host', HOST), ('Content-Length', str(len(body))), *headers]
    events = (
        h11.Request(method=method, target=target, headers=fields),
        h11.Data(data=body),
        h11.EndOfMessage(),
    )
    return b''.join(connection.send(event) or b'' for event in events)


async def read_answer(
    connection: h11.Connection, reader: asyncio.StreamReader, answer: Answer
) -> None:
    """Read an answer up to its end, or to that of the connection."""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            answer.status = event.status_code
        elif isinstance(event, h11.Data):
            answer.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            answer.whole = True
            return
        elif isinstance(event, h11.ConnectionClosed):
            return


def turn_headers(
    request: str, program: str, session: str, usage: str, budget: int
) -> Headers:
    """Return the headers of a program's turn.

    Args:
        request: id of the request.
        program: id of the program.
        session: id of the line of turns.
        usage: tokens of the prompt and the most tokens that the turn generates.
        budget: tokens that all turns of the program may generate.
    """
    return [
        ('X-Pollenwalk-Request-Id', request),
        ('X-Pollenwalk-Program-Id', program),
        ('X-Pollenwalk-Session-Id', session),
        ('X-Pollenwalk-Program-Deadline-Ms', '30000'),
        ('X-Pollenwalk-Token-Usage', usage),
        ('X-Pollenwalk-Token-Budget', str(budget)),
        ('X-Pollenwalk-Deadline-Ms', '3000'),
    ]
