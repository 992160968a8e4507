"""Free ports of the loopback interface."""

import random
import socket

# Below the ports that the system gives to outgoing connections, so that a process that
# is restarted finds its port free.
PORTS = (12_000, 32_000)
TAKEN: set[int] = set()


def free_port() -> int:
    """Return a free port that was not returned before."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        if port not in TAKEN:
            TAKEN.add(port)
            return port
