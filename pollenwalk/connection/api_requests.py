"""Reading and checking of requests to the callers' API."""

from typing import Any, NotRequired, TypedDict

import msgspec
from starlette.requests import Request

from pollenwalk.connection.program_messages import BeginProgram
from pollenwalk.errors import Refusal, RefusalCode

MAX_BODY_BYTES = 1_000_000
# Time from its arrival within which a call has to be answered: the default, and
# the maximum that a caller may ask for.
DEFAULT_DEADLINE_MS = 120_000
MAX_DEADLINE_MS = 3_600_000
KEY_HEADER = 'idempotency-key'
CALLER_HEADER = 'x-pollenwalk-caller'
ANONYMOUS = 'anonymous'


class BeginBody(TypedDict):
    """Body of `POST /v1/programs`."""

    program: str
    budget: NotRequired[int | None]
    deadline_ms: NotRequired[int | None]
    parent: NotRequired[str | None]


class CallBody(TypedDict):
    """Body of `POST /v1/programs/{program}/calls`."""

    sequence: int
    upstream: str
    operation: str
    input: dict[str, Any]
    deadline_ms: NotRequired[int]


async def read_body(request: Request) -> bytes:
    """Read the body of a request.

    Raises:
        Refusal: the body exceeds MAX_BODY_BYTES.
    """
    parts = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise Refusal(
                RefusalCode.TOO_LARGE,
                f'the body is larger than {MAX_BODY_BYTES} bytes',
            )
        parts.append(part)
    return b''.join(parts)


async def read_json(request: Request, body_type: Any) -> Any:
    """Read a JSON body and convert it to a `TypedDict`.

    Raises:
        Refusal: the body is too large, is not valid JSON, or has missing,
            unknown or wrongly typed fields.
    """
    text = await read_body(request)
    try:
        body = msgspec.json.decode(text, type=dict[str, Any])
        fields = msgspec.convert(body, body_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise Refusal(RefusalCode.MALFORMED, f'body: {error}') from error
    unknown = sorted(body.keys() - body_type.__annotations__.keys())
    if unknown:
        raise Refusal(
            RefusalCode.MALFORMED,
            f'body: unknown field {unknown[0]!r}',
        )
    return fields


def caller_of(request: Request) -> str:
    """Return the caller's name from its header, or ANONYMOUS."""
    return request.headers.get(CALLER_HEADER, ANONYMOUS)


def offset_of(request: Request) -> int:
    """Return the number of tokens that the caller already has, 0 by default.

    Raises:
        Refusal: the query parameter `offset` is not a non-negative integer.
    """
    text = request.query_params.get('offset', '0')
    if not text.isdecimal():
        raise Refusal(
            RefusalCode.MALFORMED, f'offset: {text!r} is not a non-negative integer'
        )
    return int(text)


def check_deadline(deadline_ms: int) -> float:
    """Return the time until a call's deadline, in ms, if it is within bounds.

    Raises:
        Refusal: the deadline is out of bounds.
    """
    if not 1 <= deadline_ms <= MAX_DEADLINE_MS:
        raise Refusal(
            RefusalCode.MALFORMED,
            f'deadline_ms must be from 1 to {MAX_DEADLINE_MS}',
        )
    return float(deadline_ms)


def check_begin(message: BeginProgram) -> None:
    """Check the budget and the deadline of a program to begin.

    Raises:
        Refusal: one of them is less than 1.
    """
    for name, number in (
        ('budget', message.budget),
        ('deadline_ms', message.deadline_ms),
    ):
        if number is not None and number < 1:
            raise Refusal(RefusalCode.MALFORMED, f'{name} must be at least 1')
