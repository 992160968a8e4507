"""Whether a new program may begin now, or had better come back.

Under overload everybody is late if everybody is let in. A program is refused
before any work is done for it; one that has begun is finished.
"""

import random
from collections.abc import Sequence

from pollenwalk.policy.placement import HostView

WAITING_PER_SLOT = 1.0
LEAST_PER_SLOT = 0.25
MORE_PER_LEVEL = 0.125
MIDDLE_LEVEL = 5
# The wait that a program of the most urgent class accepts for its first call,
# as a share of the time within which that call should begin to be answered.
WAIT_SHARE = 1.0
# Returns are spread over this part of a caller's time: late enough for room,
# early enough to be served.
FIRST_RETURN_SHARE = 0.25
LAST_RETURN_SHARE = 0.32


def has_capacity(hosts: Sequence[HostView], level: int) -> bool:
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
    waiting = sum(max(host.estimated_calls - host.slots, 0) for host in hosts)
    wished = WAITING_PER_SLOT + MORE_PER_LEVEL * (MIDDLE_LEVEL - level)
    return waiting < max(wished, LEAST_PER_SLOT) * slots


def is_wait_acceptable(wait_ms: float, target_ms: float, priority: int) -> bool:
    """Tell whether a program may begin at a gateway that places calls itself.

    Answers bursts a little beyond what the hosts can run: where all programs
    are let in, each of their calls waits and all of them end late.

    Args:
        wait_ms: expected before a slot is free at the best host.
        target_ms: within which the first call should be answered.
        priority: of the route, 0 the most urgent, which waits the longest.
    """
    return wait_ms <= target_ms * WAIT_SHARE / (1 + priority)


def retry_delay_ms(remaining_ms: float, rng: random.Random) -> float:
    """Tell a caller that was turned back when to come again.

    Args:
        remaining_ms: the time that the caller has left.
        rng: spreads the callers.
    """
    return remaining_ms * rng.uniform(FIRST_RETURN_SHARE, LAST_RETURN_SHARE)
