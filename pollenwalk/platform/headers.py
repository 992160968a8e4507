"""The platform's HTTP headers: their names, decoding and encoding."""

import math
import re
from collections.abc import Iterable, Mapping

from pollenwalk.request.http_messages import (
    AnswerHead,
    Framing,
    Headers,
    NamedLimit,
    PromptPart,
    RequestMetadata,
)

MS_PER_SECOND = 1000
HEADER_PREFIX = b'x-pollenwalk-'
REQUEST_ID = b'x-pollenwalk-request-id'
DEADLINE = b'x-pollenwalk-deadline-ms'
PROGRAM_ID = b'x-pollenwalk-program-id'
SESSION_ID = b'x-pollenwalk-session-id'
PROGRAM_DEADLINE = b'x-pollenwalk-program-deadline-ms'
TOKEN_BUDGET = b'x-pollenwalk-token-budget'
# The prompt's tokens and the most tokens to generate, separated by a comma.
TOKEN_USAGE = b'x-pollenwalk-token-usage'
# The caller's estimate of the number of tokens that will be generated.
LENGTH_HINT = b'x-pollenwalk-length-hint'
# Parts of the prompt, as `id:tokens` separated by commas.
PROMPT_PARTS = b'x-pollenwalk-prompt-prefix'
# The object that a request works on, for routes whose hosts keep objects at hand.
AFFINITY_KEY = b'x-pollenwalk-affinity-key'
PREVIOUS_TURN = b'x-pollenwalk-previous-turn'
LAST_EVENT_ID = b'last-event-id'
# Id of the request that brought the first event of the stream that is resumed.
RESUMES = b'resumes'
EXPECT_INSTANCE = b'x-pollenwalk-expect-instance'
PRIORITY = b'x-pollenwalk-request-priority'
# The caller's API key, which is not sent to hosts.
CREDENTIAL = b'x-pollenwalk-credential'
# Name of the organisation that the caller's key belongs to.
ORGANISATION = b'x-pollenwalk-tenant'
SIGNATURE = b'x-pollenwalk-server-signature'
NOT_EXECUTED = b'x-pollenwalk-not-executed'
# Running requests, waiting requests and slots of a host, separated by commas. Some hosts
# add how long work takes there now, in percent of the usual.
SERVER_LOAD = b'x-pollenwalk-server-load'
LOAD_FIGURES = (3, 4)
# Requests a second that a host in need takes from all gateways together.
SERVER_LIMIT = b'server-limit'
# A host that leaves sets it to LEAVING in all its answers.
SERVER_LEAVING = b'server-leaving'
LEAVING = b'1'
RETRY_AFTER = b'retry-after'
KEEP_ALIVE = b'keep-alive'
CONTENT_ENCODING = b'content-encoding'
CONTENT_TYPE = b'content-type'
CONTENT_LENGTH = b'content-length'
TRANSFER_ENCODING = b'transfer-encoding'
# Media type of a stream of server-sent events.
EVENT_STREAM = 'text/event-stream'

HOP_BY_HOP = frozenset(
    (
        b'connection',
        KEEP_ALIVE,
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        TRANSFER_ENCODING,
        b'upgrade',
        CONTENT_LENGTH,
        b'expect',
    ),
)
# Only pollenwalk may set these; they are removed from callers' requests.
RESERVED = frozenset(
    (
        DEADLINE,
        EXPECT_INSTANCE,
        PRIORITY,
        CREDENTIAL,
        ORGANISATION,
        b'x-pollenwalk-expect-version',
        b'x-pollenwalk-hold',
        b'x-pollenwalk-pin-ms',
        b'x-pollenwalk-kv-backup',
        b'kv-from',
        b'kv-fetch',
    ),
)
# Visible ASCII characters, no more than hosts accept in one header.
HEADER_WORD = re.compile(r'[!-~]{1,256}')
DECIMAL_NUMBER = re.compile(r'[0-9]+(\.[0-9]*)?|\.[0-9]+')
# Limits above this are no bound in practice, and too long a number has no value.
MAX_LIMIT_PER_S = 1e6
PERCENT = 100
# Figures outside of these percentages tell nothing of a host's pace.
MIN_SLOWNESS_PERCENT = 10
MAX_SLOWNESS_PERCENT = 10_000
# HTTP status by which a host refuses a request that was meant for another host.
MISDIRECTED = 421


def read_request_metadata(headers: Iterable[tuple[bytes, bytes]]) -> RequestMetadata:
    """Decode the headers of a caller's request; malformed numbers are ignored."""
    received = list(headers)
    found = {name: field.decode('latin-1').strip() for name, field in received}
    prompt_tokens, max_tokens = read_pair(found.get(TOKEN_USAGE, ''))
    return RequestMetadata(
        id=found.get(REQUEST_ID, ''),
        deadline_ms=read_float(found.get(DEADLINE)),
        program=found.get(PROGRAM_ID, ''),
        session=found.get(SESSION_ID, ''),
        program_remaining_ms=read_float(found.get(PROGRAM_DEADLINE)),
        budget=read_int(found.get(TOKEN_BUDGET)),
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        expected_tokens=read_int(found.get(LENGTH_HINT)) or 0,
        prompt_parts=read_parts(found.get(PROMPT_PARTS, '')),
        previous=found.get(PREVIOUS_TURN, ''),
        resumes=LAST_EVENT_ID in found,
        resumed_attempt=found.get(RESUMES, ''),
        api_key=read_api_key(received),
        affinity=found.get(AFFINITY_KEY, ''),
    )


def read_api_key(headers: Headers) -> str:
    """Return the caller's API key; empty if there is none, or more than one."""
    keys = {
        field.decode('latin-1').strip() for name, field in headers if name == CREDENTIAL
    }
    return keys.pop() if len(keys) == 1 else ''


def read_float(text: str | None) -> float | None:
    """Return the number that a header holds; None if it is absent or not finite."""
    try:
        number = math.nan if text is None else float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def read_int(text: str | None) -> int | None:
    """Return a number without its fraction; None if it is absent or not finite."""
    number = read_float(text)
    return None if number is None else int(number)


def read_pair(text: str) -> tuple[int, int]:
    """Return two whole numbers separated by a comma; 0 for a missing one."""
    first, _, second = text.partition(',')
    return read_int(first) or 0, read_int(second) or 0


def read_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt, from `id:tokens` separated by commas."""
    pairs = (part.strip().partition(':') for part in text.split(',') if part)
    return tuple(PromptPart(name, read_int(size) or 0) for name, _, size in pairs)


def connection_options(headers: Iterable[tuple[bytes, bytes]]) -> frozenset[bytes]:
    """Return the names of the headers that `Connection` headers list."""
    listed = b','.join(field for name, field in headers if name == b'connection')
    return frozenset(name.strip().lower() for name in listed.split(b','))


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without those that concern one connection only."""
    dropped = HOP_BY_HOP | connection_options(headers)
    return [(name, field) for name, field in headers if name not in dropped]


def forwardable_headers(headers: Headers) -> Headers:
    """Return the headers of a caller's request that are sent to a host."""
    return [
        (name, field)
        for name, field in end_to_end_headers(headers)
        if name not in RESERVED
    ]


def is_header_word(text: str) -> bool:
    """Return whether a header can carry a text that has no spaces."""
    return bool(HEADER_WORD.fullmatch(text))


def added_headers(
    host: str,
    deadline_ms: float,
    priority: int | None,
    organisation: str = '',
) -> Headers:
    """Return the headers that are added to a request for one upstream host.

    Args:
        host: the `UpstreamHost.id` that the request is meant for.
        deadline_ms: how long the host may work on the request.
        priority: from 0, the most urgent, to 9; None for the host's default.
        organisation: name of the caller's organisation; empty for none.
    """
    added = [
        (EXPECT_INSTANCE, host.encode('ascii')),
        (DEADLINE, str(max(int(deadline_ms), 1)).encode()),
    ]
    if priority is not None:
        added.append((PRIORITY, str(priority).encode()))
    if organisation:
        added.append((ORGANISATION, organisation.encode('ascii')))
    return added


def resume_header(last_event_id: str) -> tuple[bytes, bytes]:
    """Return the header that asks for the events after `last_event_id`."""
    return LAST_EVENT_ID, last_event_id.encode('latin-1')


def retry_header(retry_after_ms: float) -> tuple[bytes, bytes]:
    """Return the header with the time, in seconds, after which to try again."""
    return RETRY_AFTER, f'{retry_after_ms / MS_PER_SECOND:.3f}'.encode()


def read_answer_head(status: int, headers: Headers) -> AnswerHead:
    """Decode the status and the headers of an upstream host's answer."""
    found = {name: field.decode('latin-1').strip() for name, field in headers}
    retry_s = read_float(found.get(RETRY_AFTER))
    media_type = found.get(CONTENT_TYPE, EVENT_STREAM).partition(';')[0]
    return AnswerHead(
        status=status,
        headers=end_to_end_headers(headers),
        request=found.get(REQUEST_ID, ''),
        signed=SIGNATURE in found,
        refused=NOT_EXECUTED in found or status == MISDIRECTED,
        misdirected=status == MISDIRECTED,
        encoded=CONTENT_ENCODING in found,
        load=read_load(found.get(SERVER_LOAD, '')),
        slowness=read_slowness(found.get(SERVER_LOAD, '')),
        keep_alive_ms=read_keep_alive(found.get(KEEP_ALIVE, '')),
        retry_after_ms=None if retry_s is None else retry_s * MS_PER_SECOND,
        limit=read_limit(headers),
        leaving=is_leaving(headers),
        framing=read_framing(found),
        is_event_stream=media_type.strip().lower() == EVENT_STREAM,
    )


def read_framing(found: Mapping[bytes, str]) -> Framing:
    """Return how an answer with these headers marks the end of its body."""
    if TRANSFER_ENCODING in found:
        return Framing.CHUNKS
    return Framing.LENGTH if CONTENT_LENGTH in found else Framing.CONNECTION_END


def read_load(text: str) -> tuple[int, int, int] | None:
    """Return a host's running and waiting requests and its slots.

    None if the header is absent or malformed.
    """
    parts = text.split(',')
    numbers = [read_int(part) for part in parts[:3]]
    if len(parts) not in LOAD_FIGURES or None in numbers:
        return None
    running, waiting, slots = (number or 0 for number in numbers)
    return running, waiting, slots


def read_slowness(text: str) -> float | None:
    """Return how long work takes at a host, as a multiple of the usual time.

    None if the figure is absent, malformed or absurd.
    """
    parts = text.split(',')
    percent = read_float(parts[-1]) if len(parts) == max(LOAD_FIGURES) else None
    if percent is None or not MIN_SLOWNESS_PERCENT <= percent <= MAX_SLOWNESS_PERCENT:
        return None
    return percent / PERCENT


def read_limit(headers: Headers) -> NamedLimit | None:
    """Return the limit that a host names; None if it names none.

    Of several numbers, the least holds; text between them is ignored.
    """
    fields = [
        field.decode('latin-1') for name, field in headers if name == SERVER_LIMIT
    ]
    if not fields:
        return None
    numbers = [
        min(float(part.strip()), MAX_LIMIT_PER_S)
        for part in ','.join(fields).split(',')
        if DECIMAL_NUMBER.fullmatch(part.strip())
    ]
    return NamedLimit(min(numbers, default=None), ','.join(fields))


def is_leaving(headers: Headers) -> bool:
    """Return whether a host says that it leaves, in at least one of the fields."""
    return any(
        name == SERVER_LEAVING and field.strip() == LEAVING for name, field in headers
    )


def read_keep_alive(text: str) -> float | None:
    """Return how long a connection may stay idle, in ms; None if not given."""
    for part in text.split(','):
        name, _, seconds = part.strip().partition('=')
        number = read_float(seconds) if name.lower() == 'timeout' else None
        if number is not None:
            return number * MS_PER_SECOND
    return None
