"""Which client's connection is closed first when memory or descriptors run short.

Chosen are clients that hold resources without need: they do not read their answers,
send pipelined requests, do not complete a head, or open connections that they do not
use. A caller that sends one request, reads its answer and reuses its connection
within the usual time is never chosen, except that memory may be taken back from a
request that is still being received: it has not run, and that, where the memory of the
machine would not suffice otherwise, long responses are closed that are being taken.
"""

import math
from collections.abc import Iterable
from enum import IntEnum, StrEnum
from typing import NamedTuple

# Time without progress after which a client counts as slow. Clients give up a request
# that was not read within 1 s, so an ordinary one has sent its head by then.
SLOW_MS = 1000.0
# Responses of which less than this waits are ordinary, however little memory is left.
LONG_RESPONSE_BYTES = 65_536
# Clients reuse connections that were idle for up to four fifths of 15 s.
REUSE_MS = 12_000.0


class Phase(StrEnum):
    """What a connection is doing.

    Attributes:
        UNUSED: no byte of a request has arrived since it was opened.
        IDLE: its last request was answered; no byte of the next has arrived.
        HEAD: the head of a request is incomplete.
        BODY: the body of a request is incomplete.
        RUNNING: a request was read and is not answered yet.
    """

    UNUSED = 'unused'
    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    RUNNING = 'running'


class Offence(IntEnum):
    """Why a connection may be closed; the first is closed first."""

    UNREAD = 1
    SENT_AHEAD = 2
    SLOW_HEAD = 3
    SLOW_BODY = 4
    UNUSED = 5
    LONG_IDLE = 6
    RECEIVING = 7


# How long an ordinary connection may be in a phase; for a body, without progress.
PHASE_LIMITS = {
    Phase.UNUSED: (SLOW_MS, Offence.UNUSED),
    Phase.IDLE: (REUSE_MS, Offence.LONG_IDLE),
    Phase.HEAD: (SLOW_MS, Offence.SLOW_HEAD),
    Phase.BODY: (SLOW_MS, Offence.SLOW_BODY),
    Phase.RUNNING: (math.inf, None),
}


class ConnectionUse(NamedTuple):
    """What one connection holds.

    Attributes:
        held_bytes: all bytes held for it, `unread_bytes` and `ahead_bytes` included.
        unread_bytes: bytes of answers that its client has not taken.
        ahead_bytes: bytes of requests that were sent before the last answer.
        phase: what it is doing.
        phase_ms: time since the phase began.
        unmoved_ms: time since the last byte was received.
        unread_ms: time for which as many bytes of answers as now were not taken.
    """

    held_bytes: int
    unread_bytes: int
    ahead_bytes: int
    phase: Phase
    phase_ms: float
    unmoved_ms: float
    unread_ms: float


def offence_of(use: ConnectionUse, for_memory: bool) -> Offence | None:
    """Return why a connection may be closed; None if it is an ordinary caller's.

    Args:
        use: what the connection holds.
        for_memory: whether memory is short; otherwise descriptors are.
    """
    is_slow = use.unmoved_ms >= SLOW_MS
    if use.unread_bytes and use.unread_ms >= SLOW_MS:
        return Offence.UNREAD
    if use.ahead_bytes:
        return Offence.SENT_AHEAD
    if use.phase == Phase.BODY and not is_slow:
        return Offence.RECEIVING if for_memory else None
    waited_ms = use.unmoved_ms if use.phase == Phase.BODY else use.phase_ms
    limit_ms, offence = PHASE_LIMITS[use.phase]
    return offence if waited_ms >= limit_ms else None


def order_of_closing(uses: Iterable[ConnectionUse], for_memory: bool) -> list[int]:
    """Return the indices of the connections that may be closed, the first one first.

    Among those with the same offence, the one that holds most goes first, then the one
    that has not moved for longest.

    Args:
        uses: what each connection holds.
        for_memory: whether memory is short; otherwise descriptors are.
    """
    ranked = []
    for index, use in enumerate(uses):
        offence = offence_of(use, for_memory)
        if offence is not None:
            ranked.append((offence, -use.held_bytes, -use.unmoved_ms, index))
    return [entry[-1] for entry in sorted(ranked)]


def order_of_long_responses(uses: Iterable[ConnectionUse]) -> list[int]:
    """Return the indices of the connections on which a long response waits.

    The one whose client has taken nothing for longest is the first, as this is the most
    likely one not to read.

    Args:
        uses: what each connection holds.
    """
    ranked = [
        (-use.unread_ms, -use.held_bytes, index)
        for index, use in enumerate(uses)
        if use.unread_bytes >= LONG_RESPONSE_BYTES
    ]
    return [entry[-1] for entry in sorted(ranked)]
