"""What a sidecar needs of the upstream beside it."""

from collections.abc import AsyncIterator
from typing import Any, NamedTuple, Protocol

from pollenwalk.connection.wire import Answer, HistoryItem, Tokens


class ChatRequest(NamedTuple):
    """One model call as an engine takes it."""

    call: str
    program: str
    messages: list[HistoryItem]
    max_tokens: int
    priority: int


class Engine(Protocol):
    """A model engine.

    Every method raises `ConnectionLost` when the engine gives no answer.
    """

    def chat(self, request: ChatRequest) -> AsyncIterator[Tokens | Answer]:
        """Stream tokens and end with the answer.

        Raises:
            Refusal: the engine refused, or what it sent makes no sense.
        """

    def resume(self, call: str, offset: int) -> AsyncIterator[Tokens | Answer]:
        """Go on with a stream that was cut."""

    async def cancel(self, call: str) -> None:
        """Stop generating for a call; one that has ended is no error."""

    async def list_cache(self) -> dict[str, int]:
        """Give the cached tokens by program."""

    async def release_memory(self, program: str) -> None:
        """Return the memory that a program holds."""


class Service(Protocol):
    """A plain service."""

    async def invoke(
        self,
        call: str,
        operation: str,
        argument: dict[str, Any],
    ) -> dict[str, Any]:
        """Run an operation once.

        Raises:
            Refusal: with `not_run` only when the service can't have begun.
        """
