"""How much a gateway may buffer for hosts, from its machine's memory."""

from typing import NamedTuple

from pollenwalk.connection.connection_limits import (
    BYTES_PER_MB,
    OTHER_MEMORY_MB,
    physical_memory_mb,
)

# Shares of the memory above OTHER_MEMORY_MB. Together with CONNECTION_SHARE, which
# clients' connections may hold, they make up the whole. The larger one is 33.6 MB on a
# machine of 128 MB, a little more than the 32 MiB that were allowed on any machine.
RESPONSE_SHARE = 0.42
UNSENT_SHARE = 0.08


class HostBufferLimits(NamedTuple):
    """What may be held for hosts.

    Attributes:
        response_bytes: what of responses may be held.
        unsent_bytes: what of request bodies may wait until hosts take it.
    """

    response_bytes: float
    unsent_bytes: float


def host_buffer_limits(memory_mb: float) -> HostBufferLimits:
    """Return the limits of a machine.

    Args:
        memory_mb: as configured; 0 to ask the operating system.
    """
    free_mb = max((memory_mb or physical_memory_mb()) - OTHER_MEMORY_MB, 1)
    free_bytes = free_mb * BYTES_PER_MB
    return HostBufferLimits(free_bytes * RESPONSE_SHARE, free_bytes * UNSENT_SHARE)
