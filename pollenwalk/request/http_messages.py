"""The decoded request of a caller and the head of an upstream host's answer."""

import enum
from http import HTTPStatus
from typing import NamedTuple

Headers = list[tuple[bytes, bytes]]
# The statuses of final answers, 200 to 599. Any other comes from a server in trouble, and
# leaves open whether the request has run.
FINAL_STATUSES = range(HTTPStatus.OK, HTTPStatus.INTERNAL_SERVER_ERROR + 100)


class PromptPart(NamedTuple):
    """A part of a prompt that several requests may share.

    Attributes:
        id: identifies the part in all requests that share it.
        tokens: number of tokens of the part.
    """

    id: str
    tokens: int


class RequestMetadata(NamedTuple):
    """What the headers of a request say about it.

    Attributes:
        id: id of the request; a caller uses a new one for each attempt.
        deadline_ms: how long the caller waits after the request's arrival; None
            if not stated.
        program: id of the program that the request belongs to; empty for none.
        session: id of the sequence of turns within the program; empty for none.
        program_remaining_ms: time until the whole program should be done; None
            if not stated.
        budget: tokens that all turns of the program may generate; None if not
            stated.
        prompt_tokens: tokens of the whole prompt; 0 if not stated.
        max_tokens: the most tokens that this turn may generate; 0 if not stated.
        expected_tokens: the caller's estimate of the tokens generated; 0 if not
            stated.
        prompt_parts: parts of the prompt in order.
        previous: id of the turn that this one continues; empty for none.
        resumes: whether the request resumes an interrupted stream.
        resumed_attempt: id of the caller's attempt that brought the first event of
            that stream; empty if not stated.
        api_key: key that identifies the caller's organisation; empty if not stated.
        affinity: the object that the request works on; empty if not stated.
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
    resumed_attempt: str = ''
    api_key: str = ''
    affinity: str = ''


class Request(NamedTuple):
    """A caller's request with its whole body.

    Attributes:
        method: HTTP method as sent.
        target: path and query as sent, byte for byte.
        path: path without the query, for finding the route.
        host: value of the Host header; empty if there is none.
        headers: headers to forward, without hop-by-hop and reserved ones.
        body: the whole body.
        metadata: what the headers say about the request.
        arrived_ms: when the request arrived, on the process's clock.
    """

    method: bytes
    target: bytes
    path: str
    host: str
    headers: Headers
    body: bytes
    metadata: RequestMetadata
    arrived_ms: float


class Framing(enum.StrEnum):
    """How the end of an answer's body is marked."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION_END = 'connection_end'


class NamedLimit(NamedTuple):
    """The limit that a host in need names in an answer.

    Attributes:
        per_second: requests a second that the host takes from all gateways
            together; None if it can't be read.
        text: the limit as the host wrote it.
    """

    per_second: float | None
    text: str


class AnswerHead(NamedTuple):
    """Status and headers of an upstream host's answer.

    Attributes:
        status: HTTP status.
        headers: headers to forward, without hop-by-hop ones.
        request: id of the request that the answer is for; empty if not stated.
        signed: whether the answer has the header with a host's signature, whose
            value is not checked.
        refused: whether the host states that it did not run the request, or that
            the request was meant for another host.
        misdirected: whether the request was meant for another host, which had the
            address before.
        encoded: whether the body has a content encoding; a plain one is expected.
        load: calls running at the host, calls waiting there, and its slots; None
            if not stated.
        slowness: how long work takes at the host now, as a multiple of the usual
            time; None if not stated.
        keep_alive_ms: how long the connection may stay idle; None if not stated.
        retry_after_ms: time after which the host may be tried again, as it states;
            None if not stated.
        limit: the limit that the host names; None if it names none.
        leaving: whether the host says that it leaves.
        framing: how the end of the body is marked.
        is_event_stream: whether the body is a stream of events; also true if the
            answer states no content type.
    """

    status: int
    headers: Headers
    request: str = ''
    signed: bool = False
    refused: bool = False
    misdirected: bool = False
    encoded: bool = False
    load: tuple[int, int, int] | None = None
    slowness: float | None = None
    keep_alive_ms: float | None = None
    retry_after_ms: float | None = None
    limit: NamedLimit | None = None
    leaving: bool = False
    framing: Framing = Framing.LENGTH
    is_event_stream: bool = True

    @property
    def speaks_for_host(self) -> bool:
        """Return whether the answer is the word of the host that was meant."""
        return not self.misdirected and (self.signed or self.refused)
