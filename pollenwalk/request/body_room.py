"""Whether hosts have room for the body of one call."""

from pollenwalk.connection.request_bodies import RequestBodies
from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.host_table import HostTable

# Retry-After of a call whose body found no room, about one service time.
RETRY_AFTER_MS = 200


class BodyRoom:
    """Tells whether the body of a call may be sent now.

    Attributes:
        bodies: counts the bodies that hosts have not taken or not answered.
        host_table: the known upstream hosts.
        upstream: the upstream of the call.
        size_bytes: size of the call's body.
    """

    def __init__(
        self,
        bodies: RequestBodies,
        host_table: HostTable,
        upstream: str,
        size_bytes: int,
    ) -> None:
        """Create the room for a body of `size_bytes`."""
        self.bodies = bodies
        self.host_table = host_table
        self.upstream = upstream
        self.size_bytes = size_bytes

    @property
    def is_short(self) -> bool:
        """Return whether the call must wait until hosts take other bodies."""
        return not self.bodies.has_memory(self.size_bytes)

    @property
    def full_hosts(self) -> set[str]:
        """Return the ids of the upstream's hosts that must answer other bodies first."""
        full = self.bodies.full_hosts(self.size_bytes)
        if not full:
            return full
        hosts = self.host_table.hosts_of(self.upstream)
        return full & {state.registration.id for state in hosts}

    @property
    def is_missing(self) -> bool:
        """Return whether some hosts can't be chosen for lack of room."""
        return self.is_short or bool(self.full_hosts)

    def fits(self, host: str) -> bool:
        """Return whether a host may be sent the body now."""
        return not self.is_short and host not in self.full_hosts

    def refusal(self) -> Refusal:
        """Return the refusal of a call that has waited in vain and has not run."""
        return Refusal(
            RefusalCode.OVERLOADED,
            'the hosts have not taken or not answered other large bodies',
            retry_after_ms=RETRY_AFTER_MS,
        )
