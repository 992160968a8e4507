"""Whether a new program may begin now, or had better come back.

Under overload everybody is late if everybody is let in. A program is refused
before any work is done for it; one that has begun is finished.
"""

from collections.abc import Sequence

from pollenwalk.policy.placement import HostView

WAITING_PER_SLOT = 1.0
LEAST_PER_SLOT = 0.25
MORE_PER_LEVEL = 0.125
MIDDLE_LEVEL = 5


def has_room(hosts: Sequence[HostView], level: int) -> bool:
    """Tell whether an upstream can take one more program.

    Args:
        hosts: the upstream's hosts.
        level: the program's priority class; a lower one finds room for longer.

    Returns:
        False when its hosts have too many calls waiting for their slots.
    """
    slots = sum(host.slots for host in hosts)
    if not slots:
        return True
    waiting = sum(max(host.ahead - host.slots, 0) for host in hosts)
    wished = WAITING_PER_SLOT + MORE_PER_LEVEL * (MIDDLE_LEVEL - level)
    return waiting < max(wished, LEAST_PER_SLOT) * slots
