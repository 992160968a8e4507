"""How a call's answer reaches its caller."""

from typing import Protocol

from pollenwalk.request.http_messages import Headers


class Reply(Protocol):
    """The answer to one request.

    Attributes:
        started: whether the caller has got the status.
    """

    started: bool

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Give a complete answer."""

    async def start(self, status: int, headers: Headers) -> None:
        """Begin an answer whose length isn't known."""

    async def write(self, chunk: bytes) -> None:
        """Give the next bytes."""

    async def finish(self) -> None:
        """End the answer as complete; one that isn't finished is cut."""
