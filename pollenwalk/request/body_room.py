"""Whether hosts have room for the body of one call."""

from pollenwalk.connection.request_bodies import RequestBodies
from pollenwalk.errors import Refusal, RefusalCode

# Retry-After of a call whose body found no room, about one service time.
RETRY_AFTER_MS = 200


class BodyRoom:
    """Tells whether the body of a call may be sent now.

    Attributes:
        bodies: counts the bodies that hosts have not taken.
        size_bytes: size of the call's body.
    """

    def __init__(self, bodies: RequestBodies, size_bytes: int) -> None:
        """Create the room for a body of `size_bytes`."""
        self.bodies = bodies
        self.size_bytes = size_bytes

    @property
    def is_short(self) -> bool:
        """Return whether the call must wait until hosts take other bodies."""
        return not self.bodies.has_memory(self.size_bytes)

    def refusal(self) -> Refusal:
        """Return the refusal of a call that has waited in vain and has not run."""
        return Refusal(
            RefusalCode.OVERLOADED,
            'the hosts have not taken the bodies of other requests',
            retry_after_ms=RETRY_AFTER_MS,
        )
