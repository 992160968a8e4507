"""The page that explains where a request would go, beside another page."""

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

from pollenwalk.connection.gateway_app import read_request
from pollenwalk.connection.plain_page import Page, PlainPage, Receive, Send
from pollenwalk.request.http_messages import Request

EXPLAIN_PATH = '/explain-route'
# Query parameter with the path and the query of the request to explain. Its host and
# other headers are those of the question.
TARGET = 'target'


class ExplainPage:
    """Serves EXPLAIN_PATH, and all other paths by another page.

    Attributes:
        other: the other page.
        explain: returns the explanation of a request.
        now_ms: returns the time on the process's clock.
    """

    def __init__(
        self,
        other: Any,
        explain: Callable[[Request], dict[str, Any]],
        now_ms: Callable[[], float],
    ) -> None:
        """Serve explanations beside `other`, an ASGI application."""
        self.other = other
        self.explain = explain
        self.now_ms = now_ms

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answer a request."""
        if scope['type'] != 'http' or scope['path'] != EXPLAIN_PATH:
            await self.other(scope, receive, send)
            return
        page = PlainPage(EXPLAIN_PATH, lambda: self.answer(scope))
        await page(scope, receive, send)

    def answer(self, scope: dict[str, Any]) -> Page:
        """Return the explanation as JSON, or what is wrong with the question."""
        query = parse_qs(scope['query_string'].decode('latin-1'))
        target = query.get(TARGET, [''])[0].encode()
        if not target.startswith(b'/'):
            reason = f'the query needs {TARGET}=PATH, and PATH begins with a slash'
            return json_page({'error': reason}, HTTPStatus.BAD_REQUEST)
        path, _, rest = target.partition(b'?')
        asked = {**scope, 'raw_path': path, 'query_string': rest}
        return json_page(self.explain(read_request(asked, b'', self.now_ms())))


def json_page(fields: dict[str, Any], status: int = HTTPStatus.OK) -> Page:
    """Return a page with a JSON object."""
    return Page(status, json.dumps(fields).encode(), 'application/json')
