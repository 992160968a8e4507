"""What gateways and keepers tell each other of calls that may run only one at a time.

A call on which a host has crashed may crash the next one too. Until it has run to its
end, one attempt of it at a time is sent, by all gateways together.
"""

from typing import NamedTuple

from pollenwalk.connection.crash_messages import CrashReport


class RequestTrial(NamedTuple):
    """Asks a keeper whether a call on which hosts have crashed may be sent now.

    Attributes:
        request: digest of the call, as in `CrashReport`.
        attempt: tells the attempt of the call from all others.
        duration_ms: the longest time for which it may run.
    """

    request: str
    attempt: str
    duration_ms: float


class TrialDecision(NamedTuple):
    """The answer to `RequestTrial`.

    Attributes:
        granted: whether the call may be sent.
        wait_ms: time until the present attempt must have ended; 0 if it is granted.
        crashes: what the keeper knows of crashes on the call.
    """

    granted: bool
    wait_ms: float
    crashes: tuple[CrashReport, ...]


class EndTrial(NamedTuple):
    """Tells a keeper that an attempt has ended.

    Attributes:
        request: digest of the call.
        attempt: the attempt.
        crashes: what the gateway knows of crashes on the call.
    """

    request: str
    attempt: str
    crashes: tuple[CrashReport, ...]
