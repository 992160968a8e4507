"""A caller's request, decoded, and what its answer may say."""

from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]


class PromptPart(NamedTuple):
    """A part of a prompt that several requests may share."""

    id: str
    tokens: int


class RequestMetadata(NamedTuple):
    """What a request says of itself.

    Attributes:
        id: of this attempt of the caller; every attempt has its own.
        deadline_ms: how long the caller waits; None where it doesn't say.
        program: the program that the request belongs to; empty for none.
        session: the line of turns within the program.
        program_remaining_ms: time until the whole program should be done.
        budget: tokens that all turns of the program may generate.
        prompt_tokens: of the whole prompt.
        max_tokens: the most that this turn generates.
        expected_tokens: the caller's guess of what it generates.
        prompt_parts: of the prompt, in order.
        previous: the turn that this one continues; empty for none.
        resumes: whether it goes on with an interrupted stream.
    """

    id: str
    deadline_ms: float | None = None
    program: str = ''
    session: str = ''
    program_remaining_ms: float | None = None
    budget: int | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    previous: str = ''
    resumes: bool = False


class Request(NamedTuple):
    """A caller's request, read whole.

    Attributes:
        method: as sent.
        target: path and query, byte for byte.
        path: for finding the route.
        host: the host name that was asked for.
        headers: to pass on, without those of one connection.
        body: whole.
        metadata: what the headers say.
        arrived_ms: on the process's clock.
    """

    method: bytes
    target: bytes
    path: str
    host: str
    headers: Headers
    body: bytes
    metadata: RequestMetadata
    arrived_ms: float


class AnswerHead(NamedTuple):
    """The beginning of an upstream host's answer.

    Attributes:
        status: HTTP status.
        headers: to pass on, without those of one connection.
        request: the request that it says it answers; empty if none.
        signed: whether it bears the host's signature.
        refused: whether the host says that it did not run the request.
        encoded: whether the body is not the plain one that was asked for.
        load: calls running and waiting at the host and its slots, if told.
        keep_alive_ms: how long the connection may stay idle; None if not told.
        retry_after_ms: when the host asks to be tried again, if told.
    """

    status: int
    headers: Headers
    request: str = ''
    signed: bool = False
    refused: bool = False
    encoded: bool = False
    load: tuple[int, int, int] | None = None
    keep_alive_ms: float | None = None
    retry_after_ms: float | None = None
