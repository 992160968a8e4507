"""The server's side of one HTTP connection, which holds little for its client.

A request that follows another on the same connection is read only once the answer to
that one was passed to the operating system completely. Beside an incomplete head or body,
at most one read of pipelined bytes is held.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.h11_impl import H11Protocol

from pollenwalk.connection.paced_parser import PacedParser
from pollenwalk.connection.pipelined_requests import LimitedRequest, RequestSlots
from pollenwalk.policy.connection_shedding import ConnectionUse, Phase
from pollenwalk.process.clock import MS_PER_SECOND

# Size of one read while a body is incomplete, and at other times. Each connection may
# hold one read of pipelined bytes; most requests fit into a small one.
READ_BYTES = 16_384
HEAD_READ_BYTES = 4_096
# Bytes of an answer that may wait in the process before its sender waits.
WRITE_HIGH_BYTES = 16_384
WRITE_LOW_BYTES = 4_096
# Approximate size of a connection's objects, and of those of a request in progress.
CONNECTION_BYTES = 8_192
REQUEST_BYTES = 24_576
# A body is held in parts, and once more when it is whole.
BODY_COPIES = 2
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


def begins_nothing() -> bool:
    """Return that no request is read on a connection that has ended."""
    return False


class Guard(Protocol):
    """Follows what all connections of the process hold."""

    def opened(self, connection: 'BoundedConnection') -> None:
        """Take note of a new connection; it may be closed at once."""

    def changed(self, difference_bytes: int) -> None:
        """Take note of a change of what a connection holds."""

    def closed(self, connection: 'BoundedConnection') -> None:
        """Take note of the end of a connection."""


class PacedFlow(FlowControl):
    """Reads from a connection only while little is held for it."""

    def __init__(self, transport: asyncio.Transport, parser: PacedParser) -> None:
        """Create the flow control of a new connection."""
        super().__init__(transport)
        self.transport = transport
        self.parser = parser

    def pause_reading(self) -> None:
        """Stop reading; what the transport does counts, not what was asked of it."""
        self.read_paused = True
        self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on, unless a pipelined request waits for its turn.

        While there is none, reading goes on during a request so that the end of the
        connection is noticed.
        """
        if self.parser.has_whole_request and self.parser.unparsed_bytes:
            self.pause_reading()
            return
        self.read_paused = False
        self.transport.resume_reading()


class BoundedConnection(H11Protocol):
    """One connection of an `HttpServer`.

    Attributes:
        guard: follows what all connections hold.
        held_bytes: what this connection held when it was last counted.
        moved_at_s: when bytes were last received, in the loop's time.
        last_unread_bytes: how many bytes of answers were not taken at the last count.
        unread_at_s: since when that has been so. While an answer is written, some bytes
            may wait at any time; only an amount that does not change shows a client
            that does not read.
        phase: what the connection was doing when it was last counted.
        phase_at_s: when that began.
        awaits_reader: whether the next request waits until the last answer is taken.
        slots: bound the requests of clients that pipeline; None for no bound.
        pipelines: whether bytes of a further request have arrived before a response.
        limited: the request in progress, if there are slots.
        part_bytes: size of the last part of a response, if not all of it was taken. The
            transport keeps the whole part until then.
    """

    def __init__(
        self, guard: Guard, slots: RequestSlots | None = None, **parts: Any
    ) -> None:
        """Create the protocol of a connection that is not made yet."""
        super().__init__(**parts)
        self.guard = guard
        self.conn = PacedParser(
            self.config.h11_max_incomplete_event_size, self.may_begin
        )
        self.held_bytes = 0
        self.moved_at_s = self.loop.time()
        self.last_unread_bytes = 0
        self.unread_at_s = self.moved_at_s
        self.phase = Phase.UNUSED
        self.phase_at_s = self.moved_at_s
        self.awaits_reader = False
        self.slots = slots
        self.pipelines = False
        self.limited: LimitedRequest | None = None
        self.part_bytes = 0
        self.inner_app = self.app
        self.app = self.run_app

    async def run_app(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Run the application for a request."""

        async def send_counted(event: dict[str, Any]) -> None:  # noqa: WPS430
            await send(event)
            self.count_part(len(event.get('body', b'')))

        if self.slots is None:
            await self.inner_app(scope, receive, send_counted)
            return
        request = LimitedRequest(self.slots, self, receive)
        self.limited = request
        try:
            await self.inner_app(scope, request.receive, send_counted)
        finally:
            request.end()
            if self.limited is request:
                self.limited = None

    def count_part(self, size_bytes: int) -> None:
        """Count a part of a response of which not all was taken."""
        if size_bytes > WRITE_HIGH_BYTES and not self.transport.is_closing():
            self.part_bytes = size_bytes
            self.count()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the connection; one on which nothing is sent counts as idle."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(WRITE_HIGH_BYTES, WRITE_LOW_BYTES)
        self.flow = PacedFlow(transport, self.conn)
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )
        self.count()
        self.guard.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the connection."""
        super().connection_lost(exc)
        if self.limited is not None:
            self.limited.end()
        self._unset_keepalive_if_required()
        # The parser refers to the connection: a cycle would keep both until the next
        # garbage collection.
        self.conn.may_begin = begins_nothing
        self.guard.changed(-self.held_bytes)
        self.held_bytes = 0
        self.guard.closed(self)

    def data_received(self, received: bytes) -> None:
        """Read what was received."""
        self.moved_at_s = self.loop.time()
        super().data_received(received)
        self.count()

    def on_response_complete(self) -> None:
        """Go on with the next request, and count what is held."""
        self.conn.body_bytes = 0
        super().on_response_complete()
        self.count()

    def may_begin(self) -> bool:
        """Return whether the last answer has left the process.

        If not, the next request is read when it has.
        """
        if not self.unread_bytes:
            return True
        if not self.awaits_reader:
            self.awaits_reader = True
            # The transport calls `resume_writing` once its buffer is empty.
            self.transport.set_write_buffer_limits(0)
        return False

    def pause_writing(self) -> None:
        """Let senders wait."""
        super().pause_writing()
        self.count()

    def resume_writing(self) -> None:
        """Let senders go on, and the next request if it waited for this."""
        self.unread_at_s = self.loop.time()
        super().resume_writing()
        if self.awaits_reader:
            self.loop.call_soon(self.begin_next)
        self.count()

    def begin_next(self) -> None:
        """Read the request that waited for its turn."""
        self.awaits_reader = False
        if self.transport.is_closing():
            return
        self.transport.set_write_buffer_limits(WRITE_HIGH_BYTES, WRITE_LOW_BYTES)
        self.flow.resume_reading()
        self.handle_events()
        self.count()

    @property
    def unread_bytes(self) -> int:
        """Return how many bytes of answers the operating system has not taken."""
        return self.transport.get_write_buffer_size()

    @property
    def needs_slot(self) -> bool:
        """Return whether the request in progress has a slot or waits for one."""
        return self.limited is not None and self.limited.needs_slot

    @property
    def blocks_others(self) -> bool:
        """Return whether the request in progress has a slot that others wait for."""
        return self.limited is not None and self.limited.blocks_others

    @property
    def read_bytes(self) -> int:
        """Return how much to read: the rest of a long body, or what a head may need."""
        if self.phase != Phase.BODY:
            return HEAD_READ_BYTES
        return min(max(self.conn.missing_bytes, HEAD_READ_BYTES), READ_BYTES)

    @property
    def is_running(self) -> bool:
        """Return whether a request was read and is not answered yet."""
        return self.cycle is not None and not self.cycle.response_complete

    @property
    def ahead_bytes(self) -> int:
        """Return how many bytes of pipelined requests wait."""
        is_ahead = self.conn.has_whole_request or self.awaits_reader
        return self.conn.unparsed_bytes if is_ahead else 0

    def note_pipelining(self) -> None:
        """Take note of a client that sends requests ahead."""
        if self.pipelines or not self.ahead_bytes:
            return
        self.pipelines = True
        if self.limited is not None:
            self.limited.client_pipelines()

    def count(self) -> None:
        """Count anew what the connection holds."""
        self.update_phase()
        self.note_pipelining()
        unread_bytes = self.unread_bytes
        if not unread_bytes:
            self.part_bytes = 0
        if unread_bytes != self.last_unread_bytes:
            self.last_unread_bytes = unread_bytes
            self.unread_at_s = self.loop.time()
        held_bytes = (
            CONNECTION_BYTES
            + self.conn.unparsed_bytes
            + self.conn.body_bytes * BODY_COPIES
            + max(unread_bytes, self.part_bytes)
        )
        if self.is_running:
            held_bytes += REQUEST_BYTES
        difference_bytes = held_bytes - self.held_bytes
        self.held_bytes = held_bytes
        self.guard.changed(difference_bytes)

    def update_phase(self) -> None:
        """Take note of what the connection is doing now."""
        phase = self.current_phase()
        if phase != self.phase:
            self.phase = phase
            self.phase_at_s = self.loop.time()

    def current_phase(self) -> Phase:
        """Return what the connection is doing."""
        if self.conn.is_between_requests:
            if self.conn.unparsed_bytes and not self.awaits_reader:
                return Phase.HEAD
            return Phase.IDLE if self.conn.requests else Phase.UNUSED
        return Phase.RUNNING if self.conn.has_whole_request else Phase.BODY

    def use(self) -> ConnectionUse:
        """Return what the connection holds now."""
        self.count()
        now_s = self.loop.time()
        return ConnectionUse(
            self.held_bytes,
            self.unread_bytes,
            self.ahead_bytes,
            self.phase,
            (now_s - self.phase_at_s) * MS_PER_SECOND,
            (now_s - self.moved_at_s) * MS_PER_SECOND,
            (now_s - self.unread_at_s) * MS_PER_SECOND,
        )


class SharedReads(asyncio.BufferedProtocol):
    """Passes what arrives on a connection on, read into a buffer that all share.

    The event loop fills the buffer and reports it in one step, so that no two reads
    meet. Otherwise each read could return up to 256 KiB.
    """

    def __init__(self, connection: BoundedConnection, shared: memoryview) -> None:
        """Create the outer protocol of a connection."""
        self.connection = connection
        self.shared = shared

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Pass this on."""
        self.connection.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass this on."""
        self.connection.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return as much of the shared buffer as may be read now."""
        return self.shared[: self.connection.read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was read."""
        self.connection.data_received(bytes(self.shared[:nbytes]))

    def eof_received(self) -> None:
        """Let the transport close the connection."""

    def pause_writing(self) -> None:
        """Pass this on."""
        self.connection.pause_writing()

    def resume_writing(self) -> None:
        """Pass this on."""
        self.connection.resume_writing()
