"""When a request is given up because hosts crash on it.

Answers a request that crashes whatever host runs it and comes again at any gateway:
each run takes a host and all other calls there away. A host that crashes cuts innocent
calls as well, and a caller sees no difference. But an innocent call ends at its next
host as a rule, while the one to blame never ends anywhere. So only crashes without a
complete run in between count. Many hosts that crash at once are one event. A request that
is given up is tried again a few times, as nothing else could show that it is innocent.
"""

from collections.abc import Iterable
from typing import NamedTuple

# Crashes in a row after which a request is given up.
MAX_CRASHES = 3
# Times after the last crash at which a request that was given up is sent once more, as it may
# be innocent or hosts may run another version. The platform allows three such sends.
RETRIAL_AFTER_MS = (30_000.0, 120_000.0, 300_000.0)
# Hosts that crash within this time have one cause, unless the request was sent to one
# after another had crashed.
SAME_EVENT_MS = 100.0


class CrashTime(NamedTuple):
    """When a host crashed while it had a request.

    Attributes:
        sent_at_ms: time at which the request was sent to the host.
        at_ms: time of the crash.
    """

    sent_at_ms: float
    at_ms: float


def count_successive(crashes: Iterable[CrashTime]) -> int:
    """Return how many crashes came one after the other.

    A request may come again in parallel, so a crash need not follow on a send after the
    crash before.
    """
    successive = 0
    last_ms = float('-inf')
    for crash in sorted(crashes, key=lambda one: one.at_ms):
        is_later = crash.at_ms >= last_ms + SAME_EVENT_MS
        if is_later or crash.sent_at_ms >= last_ms:
            successive += 1
            last_ms = crash.at_ms
    return successive


def is_given_up(crashes: int, since_last_ms: float = 0) -> bool:
    """Return whether a request is not sent to a host now.

    Args:
        crashes: how many successive hosts have crashed while they had the request,
            since it last ran to its end.
        since_last_ms: time since the last of these crashes.
    """
    if crashes < MAX_CRASHES:
        return False
    retrials = RETRIAL_AFTER_MS[crashes - MAX_CRASHES :]
    return not retrials or since_last_ms < retrials[0]


def needs_idle_host(crashes: int) -> bool:
    """Return whether a request should run alone.

    A host on which it may crash should have no other calls then, if there is such a
    host.
    """
    return crashes > 0


def may_be_to_blame(began: bool, other_calls: float) -> bool:
    """Return whether a host may have crashed on a call.

    Args:
        began: whether the host had begun to answer the call. One that waited for a
            slot did no harm, but a host may also crash before it begins to answer.
        other_calls: estimated number of other calls that the host had.
    """
    return began or other_calls < 1
