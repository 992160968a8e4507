"""How much the connections of a process may hold, from its machine's limits."""

import os
import resource
from collections.abc import Mapping
from typing import Any, NamedTuple

# Memory of a machine that is not for connections: 35 MB that a process has at the start,
# and the rest for requests in progress, hosts and logs.
OTHER_MEMORY_MB = 48
# Share of the other memory that connections may hold by their count. The allocator and
# objects that are not counted need the rest.
CONNECTION_SHARE = 0.5
BYTES_PER_MB = 1_000_000
# Descriptors that are reserved for files, and their largest share where there are few.
FILE_DESCRIPTORS = 200
MAX_FILE_SHARE = 0.25
# Share of the others that callers may have: each request needs one to a host as well.
CALLER_SHARE = 0.5


class ConnectionLimits(NamedTuple):
    """Limits of the connections of a process.

    Attributes:
        memory_mb: memory of the machine in MB; 0 to ask the operating system.
        max_descriptors: descriptors that the process may have; 0 for what the
            operating system allows. The smaller of both counts.
        head_timeout_ms: time within which the head of a request must be complete.
        body_timeout_ms: longest time without a byte of a body.
        unread_timeout_ms: longest time for which a client takes nothing of an answer.
    """

    memory_mb: int = 0
    max_descriptors: int = 0
    head_timeout_ms: float = 5000.0
    body_timeout_ms: float = 15_000.0
    unread_timeout_ms: float = 30_000.0


def held_limit_bytes(memory_mb: int) -> float:
    """Return how many bytes all connections may hold by their count.

    Args:
        memory_mb: as configured; 0 to ask the operating system.
    """
    free_mb = max((memory_mb or physical_memory_mb()) - OTHER_MEMORY_MB, 1)
    return free_mb * BYTES_PER_MB * CONNECTION_SHARE


def physical_memory_mb() -> float:
    """Return the memory of this machine in MB."""
    pages = os.sysconf('SC_PHYS_PAGES')
    return pages * os.sysconf('SC_PAGE_SIZE') / BYTES_PER_MB


def caller_limit(max_descriptors: int) -> int:
    """Return how many connections callers may have.

    Args:
        max_descriptors: as configured; 0 for what the operating system allows.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = min(max_descriptors or allowed, allowed)
    files = min(FILE_DESCRIPTORS, descriptors * MAX_FILE_SHARE)
    return int((descriptors - files) * CALLER_SHARE)


def read_limits(options: Mapping[str, Any]) -> ConnectionLimits:
    """Return the limits in a section of the settings; the default for what is missing."""
    names = set(ConnectionLimits._fields) & set(options)
    return ConnectionLimits(**{name: options[name] for name in names})
