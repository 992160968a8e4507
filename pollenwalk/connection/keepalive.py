"""Socket options that show a silent peer within seconds."""

import socket

# A peer that is cut off without a reset is noticed after
# PROBE_IDLE_S + PROBE_INTERVAL_S * PROBE_COUNT, below the contact time of
# the deployments (4 s).
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
# Bytes that the peer has not acknowledged for so long end the connection.
UNACKNOWLEDGED_MS = 2500


def enable_keepalive(sock: socket.socket) -> None:
    """Make the kernel probe the peer and give up on it early."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_MS,
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
