"""Program admission: whether a new program may begin under the present load.

If every program were admitted under overload, all of them would end late. So a
program is refused before any work is done for it. Programs that have begun are
not checked again.
"""

import random
from collections.abc import Sequence

from pollenwalk.policy.placement import HostView

# Waiting calls per slot up to which a program of the middle priority level is
# admitted by an entry.
WAITING_PER_SLOT = 1.0
# Lower bound of that number for the least urgent levels.
MIN_WAITING_PER_SLOT = 0.25
# Added for each level below the middle one, which is more urgent, and subtracted
# for each level above it.
WAITING_PER_LEVEL = 0.125
MIDDLE_LEVEL = 5
# The longest expected wait for a slot at which a program of the most urgent
# priority is admitted by a gateway, as a share of the route's target time.
MAX_WAIT_SHARE = 1.0
# Retry-After is drawn between these shares of the caller's remaining time: late
# enough for a slot to become free, early enough to be served before the deadline.
MIN_RETRY_SHARE = 0.25
MAX_RETRY_SHARE = 0.32


def has_capacity(hosts: Sequence[HostView], level: int) -> bool:
    """Return whether an upstream has capacity for one more program.

    Args:
        hosts: the upstream's hosts.
        level: the program's priority level; lower levels are admitted at a
            higher load.

    Returns:
        False if too many calls wait for slots of the hosts; True if the hosts
        have no slots at all.
    """
    slots = sum(host.slots for host in hosts)
    if not slots:
        return True
    waiting = sum(max(host.estimated_calls - host.slots, 0) for host in hosts)
    allowed_per_slot = WAITING_PER_SLOT + WAITING_PER_LEVEL * (MIDDLE_LEVEL - level)
    return waiting < max(allowed_per_slot, MIN_WAITING_PER_SLOT) * slots


def is_wait_acceptable(wait_ms: float, target_ms: float, priority: int) -> bool:
    """Return whether a program may begin at a gateway, which places calls itself.

    Limits the load in bursts slightly above the capacity of the hosts. If all
    programs were admitted then, each of their calls would wait and all of them
    would end late.

    Args:
        wait_ms: expected round trip and wait for a slot at the best host.
        target_ms: time within which the first call should be answered.
        priority: priority of the route; 0 is the most urgent and accepts the
            longest wait.
    """
    return wait_ms <= target_ms * MAX_WAIT_SHARE / (1 + priority)


def draw_retry_after_ms(remaining_ms: float, rng: random.Random) -> float:
    """Return after how many ms a caller whose program was refused should retry.

    Args:
        remaining_ms: time until the caller's deadline.
        rng: spreads the retries of callers that were refused together.
    """
    return remaining_ms * rng.uniform(MIN_RETRY_SHARE, MAX_RETRY_SHARE)
