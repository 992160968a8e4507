"""Limit on the size of the headers of requests to the callers' API."""

from starlette.types import ASGIApp, Receive, Scope, Send

from pollenwalk.connection.api_responses import refusal_response
from pollenwalk.errors import Refusal, RefusalCode

# Limit on the names and values of a request's headers. The HTTP server has a
# higher limit, so that most requests above this one get a problem document.
MAX_HEADER_BYTES = 16_384


class HeaderLimit:
    """ASGI middleware that refuses requests with too large headers."""

    def __init__(self, app: ASGIApp) -> None:
        """Wrap `app`."""
        self.app = app

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Pass on a request unless its headers exceed MAX_HEADER_BYTES."""
        size = sum(len(name) + len(text) for name, text in scope.get('headers', ()))
        if size <= MAX_HEADER_BYTES:
            await self.app(scope, receive, send)
            return
        refusal = Refusal(
            RefusalCode.TOO_LARGE,
            f'the headers are larger than {MAX_HEADER_BYTES} bytes',
        )
        await refusal_response(refusal)(scope, receive, send)
