"""Bounds on what the connections of all HTTP servers of a process hold."""

import asyncio
from collections.abc import Callable

from loguru import logger

from pollenwalk.connection.bounded_connection import BoundedConnection
from pollenwalk.connection.connection_limits import (
    ConnectionLimits,
    caller_limit,
    held_limit_bytes,
)
from pollenwalk.connection.disconnected import descriptor_of, find_disconnected
from pollenwalk.policy.connection_shedding import (
    SLOW_MS,
    ConnectionUse,
    Phase,
    offence_of,
    order_of_closing,
    order_of_long_responses,
)

# Interval of checks of the time limits.
SWEEP_S = 1.0
# Shortest time between two looks at all connections for the worst ones.
SEARCH_INTERVAL_S = 0.1
# After memory was taken back, this share of the bound is held at most.
RELIEVED_SHARE = 0.9
# Responses that are being taken are closed beyond this share of the bound. The rest of
# the memory is for what is buffered for hosts.
MAX_EXCESS = 1.25


def is_unread(use: ConnectionUse) -> bool:
    """Return whether a client does not read its response."""
    return bool(use.unread_bytes) and use.unread_ms >= SLOW_MS


class Candidates:
    """Connections of one server that may be closed to free descriptors, worst last."""

    def __init__(self) -> None:
        """Create an empty list that has not been looked up yet."""
        self.found: list[BoundedConnection] = []
        self.searched_at_s = 0.0

    def take(self, siblings: list[BoundedConnection]) -> BoundedConnection | None:
        """Return the worst connection that may be closed; None if there is none.

        Args:
            siblings: the open connections of the server, which are looked at once in
                SEARCH_INTERVAL_S at most, however many clients connect.
        """
        now_s = asyncio.get_running_loop().time()
        if not self.found and now_s >= self.searched_at_s + SEARCH_INTERVAL_S:
            self.searched_at_s = now_s
            order = order_of_closing([one.use() for one in siblings], for_memory=False)
            self.found = [siblings[index] for index in reversed(order)]
        open_connections = set(siblings)
        while self.found:
            worst = self.found.pop()
            if worst in open_connections and offence_of(worst.use(), for_memory=False):
                return worst
        return None


class ConnectionGuard:
    """Follows the connections of a process and closes those that hold too much.

    Attributes:
        limits: the limits.
        held_bytes: what all connections hold.
        connections: all open connections, without those that are being closed.
        is_short: whether too much is held though no connection may be closed for it.
        is_relief_urgent: whether memory is taken back in the next step of the loop.
        is_exhausted: whether the last attempt has left more than MAX_EXCESS allows.
        count_closed: called with the cause of each connection that was closed.
    """

    def __init__(
        self,
        limits: ConnectionLimits | None = None,
        count_closed: Callable[[str], None] | None = None,
    ) -> None:
        """Create a guard of no connections."""
        self.limits = limits or ConnectionLimits()
        self.count_closed = count_closed or (lambda cause: None)
        self.limit_bytes = held_limit_bytes(self.limits.memory_mb)
        self.held_bytes = 0
        self.connections: set[BoundedConnection] = set()
        self.candidates: dict[object, Candidates] = {}
        self.is_short = False
        self.is_relief_urgent = False
        self.is_exhausted = False
        self.relieved_at_s = 0.0
        self.relief: asyncio.TimerHandle | None = None
        self.sweep_timer: asyncio.TimerHandle | None = None

    def opened(self, connection: BoundedConnection) -> None:
        """Take note of a new connection; close the worst one if there are too many."""
        if self.sweep_timer is None:
            self.sweep_timer = connection.loop.call_later(SWEEP_S, self.sweep)
        siblings = [one for one in connection.connections if one in self.connections]
        self.connections.add(connection)
        if self.is_short:
            self.close(connection, 'memory')
        elif len(siblings) >= caller_limit(self.limits.max_descriptors):
            candidates = self.candidates.setdefault(
                connection.server_state, Candidates()
            )
            self.close(candidates.take(siblings) or connection, 'descriptors')

    def changed(self, difference_bytes: int) -> None:
        """Count what a connection holds more; take memory back if it is too much."""
        self.held_bytes += difference_bytes
        if self.held_bytes <= self.limit_bytes or self.is_relief_urgent:
            return
        is_urgent = self.held_bytes > self.limit_bytes * MAX_EXCESS
        is_urgent = is_urgent and not self.is_exhausted
        if self.relief is None or is_urgent:
            self.schedule_relief(is_urgent)

    def schedule_relief(self, is_urgent: bool) -> None:
        """Take memory back soon, or at once if that is urgent."""
        if self.relief is not None:
            self.relief.cancel()
        loop = asyncio.get_running_loop()
        at_s = max(self.relieved_at_s + SEARCH_INTERVAL_S, loop.time())
        self.is_relief_urgent = is_urgent
        self.relief = loop.call_at(loop.time() if is_urgent else at_s, self.relieve)

    def closed(self, connection: BoundedConnection) -> None:
        """Forget a connection."""
        self.connections.discard(connection)

    def relieve(self) -> None:
        """Close the worst connections until less is held."""
        self.relieved_at_s = asyncio.get_running_loop().time()
        connections = list(self.connections)
        # Counting anew may find that clients have taken their answers.
        uses = [connection.use() for connection in connections]
        self.relief = None
        self.is_relief_urgent = False
        self.is_short = self.held_bytes > self.limit_bytes
        if not self.is_short:
            return
        left_bytes = self.held_bytes
        for index in order_of_closing(uses, for_memory=True):
            if left_bytes <= self.limit_bytes * RELIEVED_SHARE:
                break
            left_bytes -= uses[index].held_bytes
            self.close(connections[index], 'memory')
        left_bytes = self.close_long_responses(connections, uses, left_bytes)
        self.is_short = left_bytes > self.limit_bytes

    def close_long_responses(
        self,
        connections: list[BoundedConnection],
        uses: list[ConnectionUse],
        left_bytes: int,
    ) -> int:
        """Close responses that are being taken, until the machine's memory suffices.

        Args:
            connections: the connections that were looked at.
            uses: what each of them holds.
            left_bytes: what all hold that are not closed yet.

        Returns:
            What the others hold afterwards.
        """
        for index in order_of_long_responses(uses):
            if left_bytes <= self.limit_bytes * MAX_EXCESS:
                break
            if connections[index] in self.connections:
                left_bytes -= uses[index].held_bytes
                self.close(connections[index], 'memory')
        self.is_exhausted = left_bytes > self.limit_bytes * MAX_EXCESS
        return left_bytes

    def sweep(self) -> None:
        """Close connections that have exceeded a time limit."""
        self.sweep_timer = None
        self.is_short = self.is_short and self.held_bytes > self.limit_bytes
        self.close_disconnected()
        for connection in list(self.connections):
            use = connection.use()
            cause = self.exceeded_limit(use)
            if not cause and connection.blocks_others and is_unread(use):
                cause = 'slot_unread'
            if cause:
                self.close(connection, cause)
        if self.connections:
            loop = asyncio.get_running_loop()
            self.sweep_timer = loop.call_later(SWEEP_S, self.sweep)

    def close_disconnected(self) -> None:
        """Close connections that hold or await a slot and whose client has left."""
        by_descriptor = {
            descriptor_of(one.transport): one
            for one in self.connections
            if one.needs_slot and not one.transport.is_closing()
        }
        for descriptor in find_disconnected(by_descriptor):
            self.close(by_descriptor[descriptor], 'client_left')

    def exceeded_limit(self, use: ConnectionUse) -> str:
        """Return which time limit a connection has exceeded; empty if none."""
        if use.unread_bytes and use.unread_ms > self.limits.unread_timeout_ms:
            return 'unread_timeout'
        if use.phase == Phase.HEAD and use.phase_ms > self.limits.head_timeout_ms:
            return 'head_timeout'
        if use.phase == Phase.BODY and use.unmoved_ms > self.limits.body_timeout_ms:
            return 'body_timeout'
        return ''

    def close(self, connection: BoundedConnection, cause: str) -> None:
        """Close a connection at once, with whatever its client has not taken."""
        logger.info(
            'connection_closed',
            cause=cause,
            peer=connection.client,
            phase=str(connection.phase),
            held_bytes=connection.held_bytes,
            unread_bytes=connection.unread_bytes,
            connections=len(self.connections),
            all_held_bytes=self.held_bytes,
        )
        self.count_closed(cause)
        self.connections.discard(connection)
        connection.transport.abort()
