"""Bounds on the request bodies that hosts have not taken or not answered.

A host that reads slowly, or crashes when the requests that it holds exceed its memory,
is not sent more large bodies at once than it is known to bear.

Bodies up to SMALL_BODY_BYTES are not counted, so that they never wait. Their number is
limited with that of the clients' connections, which count them as well.
"""

import math
from collections.abc import Callable

# Most bodies are smaller. A connection has written that much before its sender waits.
SMALL_BODY_BYTES = 65_536
# The bound for one host is not lower, however short the longest body is.
MIN_HOST_BYTES = 4_194_304


def unlimited() -> float:
    """Return that a host is sent any number of bytes."""
    return math.inf


class RequestBodies:
    """Counts the bodies of all requests that have been sent to hosts.

    Attributes:
        unsent_limit_bytes: the most that may wait in the process.
        host_limit_bytes: returns the most that one host may have not answered.
        unsent_bytes: what of bodies waits in the process until hosts take it.
        unanswered_bytes: what each host has not answered, by its id; without those that
            have answered all.
    """

    def __init__(
        self,
        unsent_limit_bytes: float = math.inf,
        host_limit_bytes: Callable[[], float] | None = None,
    ) -> None:
        """Start without requests."""
        self.unsent_limit_bytes = unsent_limit_bytes
        self.host_limit_bytes = host_limit_bytes or unlimited
        self.unsent_bytes = 0
        self.unanswered_bytes: dict[str, int] = {}

    def has_memory(self, size_bytes: int) -> bool:
        """Return whether a body may be sent as far as memory is concerned.

        A body that exceeds the limit alone may be sent while no other one waits.
        """
        if size_bytes <= SMALL_BODY_BYTES or not self.unsent_bytes:
            return True
        return self.unsent_bytes + size_bytes <= self.unsent_limit_bytes

    def full_hosts(self, size_bytes: int) -> set[str]:
        """Return the ids of the hosts that must answer others before a body.

        A host that has no other one takes a body of any size.
        """
        if size_bytes <= SMALL_BODY_BYTES:
            return set()
        most_bytes = self.host_limit_bytes() - size_bytes
        return {host for host, has in self.unanswered_bytes.items() if has > most_bytes}

    def send(self, host: str, size_bytes: int) -> 'SentBody':
        """Count a body that is sent to a host from now on."""
        counted_bytes = 0 if size_bytes <= SMALL_BODY_BYTES else size_bytes
        return SentBody(self, host, counted_bytes)

    def add(self, host: str, size_bytes: int) -> None:
        """Add to what a host has not answered; a negative size was answered."""
        total_bytes = self.unanswered_bytes.pop(host, 0) + size_bytes
        if total_bytes:
            self.unanswered_bytes[host] = total_bytes


class SentBody:
    """The body of one request at a host.

    Attributes:
        bodies: counts it together with others.
        host: id of the host.
        unanswered_bytes: its size; 0 once the host has begun to answer.
        unsent_bytes: what of it the host has not taken, as far as is known.
    """

    def __init__(self, bodies: RequestBodies, host: str, size_bytes: int) -> None:
        """Count a body of which nothing was taken."""
        self.bodies = bodies
        self.host = host
        self.unanswered_bytes = size_bytes
        bodies.add(host, size_bytes)
        self.unsent_bytes = 0
        self.resize(size_bytes)

    def keep_unsent(self, unsent_bytes: int) -> None:
        """Set what of the body the host has not taken; it is never more than before."""
        self.resize(min(unsent_bytes, self.unsent_bytes))

    def resize(self, unsent_bytes: int) -> None:
        """Set what is counted."""
        self.bodies.unsent_bytes += unsent_bytes - self.unsent_bytes
        self.unsent_bytes = unsent_bytes

    def mark_answered(self) -> None:
        """Stop counting the body as unanswered."""
        self.bodies.add(self.host, -self.unanswered_bytes)
        self.unanswered_bytes = 0

    def end(self) -> None:
        """Stop counting the body, which the host has answered or will not get."""
        self.mark_answered()
        self.resize(0)
