"""Interfaces through which a sidecar uses the upstream on its host."""

from collections.abc import AsyncIterator
from typing import Any, NamedTuple, Protocol

from pollenwalk.connection.call_messages import Answer, HistoryItem, Tokens


class ChatRequest(NamedTuple):
    """A model call as it is sent to an engine.

    Attributes:
        call: id of the call.
        program: id of the program; the engine caches tokens under this id.
        messages: the history of the program, ending with the new message.
        max_tokens: limit on the generated tokens.
        priority: priority of the call at the engine.
    """

    call: str
    program: str
    messages: list[HistoryItem]
    max_tokens: int
    priority: int


class Engine(Protocol):
    """A model engine.

    Every method raises `ConnectionLost` if the engine does not answer.
    """

    def chat(self, request: ChatRequest) -> AsyncIterator[Tokens | Answer]:
        """Start a call and yield its tokens, then the answer.

        Raises:
            Refusal: the engine refused the call or sent an invalid response.
        """

    def resume(self, call: str, offset: int) -> AsyncIterator[Tokens | Answer]:
        """Resume the stream of a call after the first `offset` tokens.

        Raises:
            Refusal: the engine refused the call or sent an invalid response.
        """

    async def cancel(self, call: str) -> None:
        """Stop generating for a call; has no effect if the call has ended."""

    async def list_cache(self) -> dict[str, int]:
        """Return the number of cached tokens by program.

        Raises:
            Refusal: the engine sent an invalid response.
        """

    async def release_memory(self, program: str) -> None:
        """Free the memory that the engine holds for a program."""


class Service(Protocol):
    """A service that is not a model engine."""

    async def invoke(
        self,
        call: str,
        operation: str,
        argument: dict[str, Any],
    ) -> dict[str, Any]:
        """Run an operation once and return its output.

        Args:
            call: id of the call, sent as the idempotency key.
            operation: name of the operation.
            argument: input of the operation.

        Raises:
            Refusal: the operation failed or its outcome is unknown. The outcome
                is `not_run` only if the service can't have started it.
        """
