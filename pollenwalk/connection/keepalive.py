"""TCP keep-alive settings that detect an unreachable peer within seconds."""

import socket

# The kernel closes a connection whose peer is unreachable and sent no reset
# after PROBE_IDLE_S + PROBE_INTERVAL_S * PROBE_COUNT, which is below the
# contact time of the deployments (4 s).
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
# The kernel closes a connection if the peer does not acknowledge sent bytes
# within this time.
UNACKNOWLEDGED_TIMEOUT_MS = 2500


def enable_keepalive(sock: socket.socket) -> None:
    """Make the kernel probe idle peers and close connections that are dead.

    Also disables Nagle's algorithm.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_TIMEOUT_MS,
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
