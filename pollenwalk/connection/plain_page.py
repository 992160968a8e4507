"""ASGI applications that answer every GET of one path in the same way."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, NamedTuple

Send = Callable[[dict[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[dict[str, Any]]]


class Page(NamedTuple):
    """The answer to a request.

    Attributes:
        status: HTTP status.
        body: the body.
        content_type: media type of the body.
    """

    status: int = HTTPStatus.OK
    body: bytes = b''
    content_type: str = 'text/plain'


class PlainPage:
    """Serves one path; all other paths are not found.

    Attributes:
        path: the path.
        show: returns the answer.
    """

    def __init__(self, path: str, show: Callable[[], Page]) -> None:
        """Serve what `show` returns."""
        self.path = path
        self.show = show

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answer a request; ignore other events."""
        if scope['type'] != 'http':
            return
        page = Page(HTTPStatus.NOT_FOUND)
        if scope['path'] == self.path:
            page = self.show()
        headers = [
            (b'content-type', page.content_type.encode()),
            (b'content-length', str(len(page.body)).encode()),
        ]
        await send(
            {
                'type': 'http.response.start',
                'status': int(page.status),
                'headers': headers,
            }
        )
        await send({'type': 'http.response.body', 'body': page.body})
