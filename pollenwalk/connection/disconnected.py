"""Finds clients that have disconnected while nothing is read from them.

An event loop that does not read from a connection does not report its end either.
"""

import asyncio
import select
from collections.abc import Iterable

# The client has closed its side, or reset the connection.
END_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def descriptor_of(transport: asyncio.Transport) -> int:
    """Return the descriptor of an open connection."""
    return transport.get_extra_info('socket').fileno()


def find_disconnected(descriptors: Iterable[int]) -> set[int]:
    """Return which of some open connections their clients have closed.

    Bytes before the end may be unread. An end that is behind bytes that do not fit into
    the receive buffer is not known to the system yet.

    Args:
        descriptors: the descriptors of the connections.
    """
    poll = select.poll()
    for descriptor in descriptors:
        poll.register(descriptor, select.POLLRDHUP)
    return {found for found, events in poll.poll(0) if events & END_EVENTS}
