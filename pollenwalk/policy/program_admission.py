"""Program admission: whether a new program may begin under the present load.

If every program were admitted under overload, all of them would end late. So a
program is refused before any work is done for it. Programs that have begun are
not checked again.
"""

import random
from collections.abc import Sequence

from pollenwalk.policy.placement import HostView

# An entry admits a program of the middle priority level while fewer calls than
# this wait per slot.
MAX_WAITING_PER_SLOT = 1.0
# Lower bound of that limit, for the least urgent levels.
LOWEST_MAX_WAITING_PER_SLOT = 0.25
# Difference between the limits of two successive levels. A lower level is more
# urgent and has the higher limit.
WAITING_STEP_PER_LEVEL = 0.125
MIDDLE_LEVEL = 5
# The longest expected wait at which a gateway admits a program of the most urgent
# priority, as a share of the route's latency target. Its first call should begin
# to be answered within that target.
MAX_WAIT_SHARE = 1.0
# The longest wait for a permit of a call that begins no program, as a share of its
# remaining time: the rest is for the run, or for another attempt. The share is that
# of the most urgent priority; one step less urgent gives up some of it, so that
# urgent calls find permits when the others find none.
MAX_PERMIT_WAIT_SHARE = 0.5
PERMIT_WAIT_STEP_PER_LEVEL = 0.1
MIN_PERMIT_WAIT_SHARE = 0.1
# Retry-After is drawn between these shares of the caller's remaining time: late
# enough for a slot to become free, early enough to be served before the deadline.
MIN_RETRY_SHARE = 0.25
MAX_RETRY_SHARE = 0.32
# The same for a caller that was refused only because this gateway is overloaded: another
# gateway may have room at once.
MIN_ELSEWHERE_RETRY_MS = 50.0
MAX_ELSEWHERE_RETRY_MS = 150.0


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
    allowed_per_slot = MAX_WAITING_PER_SLOT + WAITING_STEP_PER_LEVEL * (
        MIDDLE_LEVEL - level
    )
    return waiting < max(allowed_per_slot, LOWEST_MAX_WAITING_PER_SLOT) * slots


def is_wait_acceptable(wait_ms: float, target_ms: float, priority: int) -> bool:
    """Return whether a program may begin at a gateway, which places calls itself.

    Limits the load in bursts slightly above the capacity of the hosts. If all
    programs were admitted then, each of their calls would wait and all of them
    would end late.

    Args:
        wait_ms: expected round trip and wait for a slot at the best host.
        target_ms: latency target of the route, within which the first call
            should begin to be answered.
        priority: priority of the route; 0 is the most urgent and accepts the
            longest wait.
    """
    return wait_ms <= max_program_wait_ms(target_ms, priority)


def max_program_wait_ms(target_ms: float, priority: int) -> float:
    """Return the longest wait in ms at which a gateway admits a new program."""
    return target_ms * MAX_WAIT_SHARE / (1 + priority)


def max_permit_wait_ms(remaining_ms: float, priority: int) -> float:
    """Return the longest wait for a permit of a call that begins no program.

    Calls of begun programs may take permits far ahead, which new programs may not.
    So new ones are refused first when a host's limit is used up.

    Args:
        remaining_ms: time until the call's deadline.
        priority: priority of the route; 0 is the most urgent.
    """
    share = MAX_PERMIT_WAIT_SHARE - PERMIT_WAIT_STEP_PER_LEVEL * priority
    return max(remaining_ms, 0) * max(share, MIN_PERMIT_WAIT_SHARE)


def draw_retry_after_ms(remaining_ms: float, rng: random.Random) -> float:
    """Return a random Retry-After in ms for a caller whose program was refused.

    Args:
        remaining_ms: time until the caller's deadline.
        rng: spreads the retries of callers that were refused together.
    """
    return remaining_ms * rng.uniform(MIN_RETRY_SHARE, MAX_RETRY_SHARE)


def draw_elsewhere_retry_ms(rng: random.Random) -> float:
    """Return a random Retry-After in ms for a caller that should try another gateway."""
    return rng.uniform(MIN_ELSEWHERE_RETRY_MS, MAX_ELSEWHERE_RETRY_MS)
