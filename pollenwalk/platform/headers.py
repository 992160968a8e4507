"""The platform's headers, decoded once and written in one place."""

from collections.abc import Iterable

from pollenwalk.request.http_messages import (
    AnswerHead,
    Headers,
    PromptPart,
    RequestMetadata,
)

MS_PER_SECOND = 1000
PREFIX = b'x-pollenwalk-'
REQUEST_ID = b'x-pollenwalk-request-id'
DEADLINE = b'x-pollenwalk-deadline-ms'
PROGRAM = b'x-pollenwalk-program-id'
SESSION = b'x-pollenwalk-session-id'
PROGRAM_DEADLINE = b'x-pollenwalk-program-deadline-ms'
BUDGET = b'x-pollenwalk-token-budget'
# The prompt's tokens and the most that are generated, separated by a comma.
TOKENS = b'x-pollenwalk-token-usage'
LENGTH_HINT = b'x-pollenwalk-length-hint'
PARTS = b'x-pollenwalk-prompt-prefix'
PREVIOUS = b'x-pollenwalk-previous-turn'
LAST_EVENT = b'last-event-id'
EXPECT_INSTANCE = b'x-pollenwalk-expect-instance'
PRIORITY = b'x-pollenwalk-request-priority'
SIGNATURE = b'x-pollenwalk-server-signature'
NOT_EXECUTED = b'x-pollenwalk-not-executed'
# Running and waiting requests and the number of slots.
LOAD = b'x-pollenwalk-server-load'
RETRY_AFTER = b'retry-after'
KEEP_ALIVE = b'keep-alive'
ENCODING = b'content-encoding'

HOP_BY_HOP = frozenset(
    (
        b'connection',
        KEEP_ALIVE,
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    ),
)
# Only this system may set these.
RESERVED = frozenset(
    (
        DEADLINE,
        EXPECT_INSTANCE,
        PRIORITY,
        b'x-pollenwalk-expect-version',
        b'x-pollenwalk-hold',
        b'x-pollenwalk-pin-ms',
        b'x-pollenwalk-kv-backup',
        b'kv-from',
        b'kv-fetch',
    ),
)
MISDIRECTED = 421


def read_request_metadata(headers: Iterable[tuple[bytes, bytes]]) -> RequestMetadata:
    """Decode what a request says of itself; bad numbers count as absent."""
    found = {name: field.decode('latin-1').strip() for name, field in headers}
    prompt, most = read_pair(found.get(TOKENS, ''))
    return RequestMetadata(
        id=found.get(REQUEST_ID, ''),
        deadline_ms=read_float(found.get(DEADLINE)),
        program=found.get(PROGRAM, ''),
        session=found.get(SESSION, ''),
        program_remaining_ms=read_float(found.get(PROGRAM_DEADLINE)),
        budget=read_int(found.get(BUDGET)),
        prompt_tokens=prompt,
        max_tokens=most,
        expected_tokens=read_int(found.get(LENGTH_HINT)) or 0,
        prompt_parts=read_parts(found.get(PARTS, '')),
        previous=found.get(PREVIOUS, ''),
        resumes=LAST_EVENT in found,
    )


def read_float(text: str | None) -> float | None:
    """Read a number."""
    try:
        return None if text is None else float(text)
    except ValueError:
        return None


def read_int(text: str | None) -> int | None:
    """Read a whole number."""
    number = read_float(text)
    return None if number is None else int(number)


def read_pair(text: str) -> tuple[int, int]:
    """Read two whole numbers."""
    first, _, second = text.partition(',')
    return read_int(first) or 0, read_int(second) or 0


def read_parts(text: str) -> tuple[PromptPart, ...]:
    """Read the parts of a prompt."""
    pairs = (part.strip().partition(':') for part in text.split(',') if part)
    return tuple(PromptPart(name, read_int(size) or 0) for name, _, size in pairs)


def connection_options(headers: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """Give the headers that a `Connection` header claims for itself."""
    named = b','.join(field for name, field in headers if name == b'connection')
    return frozenset(one.strip().lower() for one in named.split(b','))


def end_to_end_headers(headers: Headers) -> Headers:
    """Leave out what concerns one connection."""
    dropped = HOP_BY_HOP | connection_options(headers)
    return [(name, field) for name, field in headers if name not in dropped]


def forwardable_headers(headers: Headers) -> Headers:
    """Leave out what concerns one connection and what only we may set."""
    return [
        (name, field)
        for name, field in end_to_end_headers(headers)
        if name not in RESERVED
    ]


def added_headers(
    host: str,
    deadline_ms: float,
    priority: int | None,
) -> Headers:
    """Write what we add to a request for one upstream host.

    Args:
        host: the id of the start that is meant.
        deadline_ms: how long the host may work on it.
        priority: from 0, most urgent, to 9; None for the usual one.
    """
    added = [
        (EXPECT_INSTANCE, host.encode('latin-1')),
        (DEADLINE, str(max(int(deadline_ms), 1)).encode()),
    ]
    if priority is not None:
        added.append((PRIORITY, str(priority).encode()))
    return added


def resume_header(last_event: str) -> tuple[bytes, bytes]:
    """Ask for what follows an event."""
    return LAST_EVENT, last_event.encode('latin-1')


def retry_header(retry_after_ms: float) -> tuple[bytes, bytes]:
    """Say when to come back."""
    return RETRY_AFTER, f'{retry_after_ms / MS_PER_SECOND:.3f}'.encode()


def read_answer_head(status: int, headers: Headers) -> AnswerHead:
    """Decode the beginning of an upstream host's answer."""
    found = {name: field.decode('latin-1').strip() for name, field in headers}
    retry_s = read_float(found.get(RETRY_AFTER))
    return AnswerHead(
        status=status,
        headers=end_to_end_headers(headers),
        request=found.get(REQUEST_ID, ''),
        signed=SIGNATURE in found,
        refused=NOT_EXECUTED in found or status == MISDIRECTED,
        encoded=ENCODING in found,
        load=read_load(found.get(LOAD, '')),
        keep_alive_ms=read_keep_alive(found.get(KEEP_ALIVE, '')),
        retry_after_ms=None if retry_s is None else retry_s * MS_PER_SECOND,
    )


def read_load(text: str) -> tuple[int, int, int] | None:
    """Read a host's load."""
    numbers = [read_int(part) for part in text.split(',')]
    if len(numbers) != 3 or None in numbers:
        return None
    running, waiting, slots = (number or 0 for number in numbers)
    return running, waiting, slots


def read_keep_alive(text: str) -> float | None:
    """Read how long a connection may stay idle, in ms."""
    for part in text.split(','):
        name, _, seconds = part.strip().partition('=')
        number = read_float(seconds) if name.lower() == 'timeout' else None
        if number is not None:
            return number * MS_PER_SECOND
    return None
