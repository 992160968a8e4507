"""Ports for servers of tests and demos, on the loopback interface.

The system also gives ports of its ephemeral range to outgoing connections, so a port of
that range that is free now may be taken when a server binds it. Ports are chosen
outside the range. Each process claims blocks of them, so that concurrent test runs have
different ones.
"""

import socket
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

LOOPBACK = '127.0.0.1'
EPHEMERAL_RANGE = Path('/proc/sys/net/ipv4/ip_local_port_range')
# Ports below are those of usual services.
FIRST_PORT = 10_000
LAST_PORT = 65_535
# Ports that a process claims at once; most test files need fewer.
BLOCK_PORTS = 100
PROTOCOLS = (socket.SOCK_STREAM, socket.SOCK_DGRAM)


class PortRange(NamedTuple):
    """A range of ports.

    Attributes:
        first: the first port.
        last: the last port.
    """

    first: int
    last: int


def ephemeral_range() -> PortRange:
    """Return the ports that the system gives to outgoing connections."""
    first, last = EPHEMERAL_RANGE.read_text('ascii').split()
    return PortRange(int(first), int(last))


def server_blocks(ephemeral: PortRange) -> list[PortRange]:
    """Return the blocks of ports that processes may claim.

    Args:
        ephemeral: the ports that must not be used.
    """
    sides = (
        PortRange(FIRST_PORT, min(ephemeral.first - 1, LAST_PORT)),
        PortRange(max(ephemeral.last + 1, FIRST_PORT), LAST_PORT),
    )
    return [
        PortRange(first, first + BLOCK_PORTS - 1)
        for side in sides
        for first in range(side.first, side.last - BLOCK_PORTS + 2, BLOCK_PORTS)
    ]


def is_free(port: int) -> bool:
    """Return whether a port can be bound for both TCP and UDP."""
    for protocol in PROTOCOLS:
        with socket.socket(socket.AF_INET, protocol) as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True


def claim(block: PortRange) -> socket.socket | None:
    """Claim a block for as long as the process lives; None if another one has it.

    The claim is an abstract socket address. It is valid in the network namespace in
    which the ports are, and the system removes it with the process.
    """
    holder = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        holder.bind(f'\0pollenwalk-ports-{block.first}')
    except OSError:
        holder.close()
        return None
    return holder


class PortBlocks:
    """Gives the ports of the blocks that this process has claimed, one by one.

    Attributes:
        claims: the claimed blocks, with the sockets that hold the claims.
        unclaimed: the blocks that were not tried yet.
        left: ports that were not given yet, in order.
    """

    def __init__(self, blocks: list[PortRange], process_id: int) -> None:
        """Create a source of ports that has claimed nothing.

        Args:
            blocks: the blocks that may be claimed.
            process_id: id of the process, from which follows where it begins.
        """
        self.claims: dict[PortRange, socket.socket] = {}
        # Successive runs begin at different blocks, as ports of the last one may
        # still be in the state TIME_WAIT.
        start = process_id % max(len(blocks), 1)
        self.unclaimed = iter([*blocks[start:], *blocks[:start]])
        self.left: Iterator[int] = iter(())

    def take(self) -> int:
        """Return a free port that was not given before.

        Once all blocks are used up, the ports of this process's own are given again.

        Raises:
            OSError: no port is free.
        """
        port = self.next_free()
        while port is None and self.claim_next():
            port = self.next_free()
        if port is None:
            self.left = ports_of(self.claims)
            port = self.next_free()
        if port is None:
            raise OSError('no port outside the ephemeral range is free')
        return port

    def next_free(self) -> int | None:
        """Return the next port that is free; None if none is left."""
        return next((port for port in self.left if is_free(port)), None)

    def claim_next(self) -> bool:
        """Claim one more block; return whether there was one."""
        for block in self.unclaimed:
            holder = claim(block)
            if holder is not None:
                self.claims[block] = holder
                self.left = ports_of([block])
                return True
        return False


def ports_of(blocks: list[PortRange] | dict[PortRange, socket.socket]) -> Iterator[int]:
    """Return all ports of some blocks, in order."""
    return (port for one in blocks for port in range(one.first, one.last + 1))
