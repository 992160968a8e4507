"""Bounds on the request bodies that hosts have not taken.

Bodies up to SMALL_BODY_BYTES are not counted, so that they never wait. Their number is
limited with that of the clients' connections, which count them as well.
"""

import math

# Most bodies are smaller. A connection has written that much before its sender waits.
SMALL_BODY_BYTES = 65_536


class RequestBodies:
    """Counts the bodies of all requests that have been sent to hosts.

    Attributes:
        unsent_limit_bytes: the most that may wait in the process.
        unsent_bytes: what of bodies waits in the process until hosts take it.
    """

    def __init__(self, unsent_limit_bytes: float = math.inf) -> None:
        """Start without requests."""
        self.unsent_limit_bytes = unsent_limit_bytes
        self.unsent_bytes = 0

    def has_memory(self, size_bytes: int) -> bool:
        """Return whether a body may be sent as far as memory is concerned.

        A body that exceeds the limit alone may be sent while no other one waits.
        """
        if size_bytes <= SMALL_BODY_BYTES or not self.unsent_bytes:
            return True
        return self.unsent_bytes + size_bytes <= self.unsent_limit_bytes

    def send(self, size_bytes: int) -> 'SentBody':
        """Count a body that is sent to a host from now on."""
        return SentBody(self, 0 if size_bytes <= SMALL_BODY_BYTES else size_bytes)


class SentBody:
    """The body of one request at a host.

    Attributes:
        bodies: counts it together with others.
        unsent_bytes: what of it the host has not taken, as far as is known.
    """

    def __init__(self, bodies: RequestBodies, size_bytes: int) -> None:
        """Count a body of which nothing was taken."""
        self.bodies = bodies
        self.unsent_bytes = 0
        self.resize(size_bytes)

    def keep_unsent(self, unsent_bytes: int) -> None:
        """Set what of the body the host has not taken; it is never more than before."""
        self.resize(min(unsent_bytes, self.unsent_bytes))

    def resize(self, unsent_bytes: int) -> None:
        """Set what is counted."""
        self.bodies.unsent_bytes += unsent_bytes - self.unsent_bytes
        self.unsent_bytes = unsent_bytes

    def end(self) -> None:
        """Stop counting the body, which the host has answered or will not get."""
        self.resize(0)
