"""The interface for sending a call's answer to its caller."""

from typing import Protocol

from pollenwalk.request.http_messages import Headers


class Reply(Protocol):
    """The answer to one request of a caller.

    Attributes:
        started: whether sending the answer has begun.
    """

    started: bool

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer with a Content-Length header."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers of an answer whose length is not known."""

    async def write(self, chunk: bytes) -> None:
        """Send the next bytes of the body."""

    async def finish(self) -> None:
        """End an answer that was started.

        Without this call, the caller sees that the answer broke off.
        """
