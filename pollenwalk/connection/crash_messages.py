"""What gateways and keepers tell each other of requests on which hosts crash."""

from typing import NamedTuple


class CrashReport(NamedTuple):
    """One host has crashed while it had a request.

    Attributes:
        request: digest of the request.
        host: id of the host, the time of its start, and the number of the crash.
        cleared: whether the request has run to its end elsewhere since.
        age_ms: time since the crash.
        sent_age_ms: time since the request was sent to the host.
    """

    request: str
    host: str
    cleared: bool
    age_ms: float
    sent_age_ms: float


class CrashNote(NamedTuple):
    """A crash report as a keeper stores it on disk.

    Attributes:
        request: digest of the request.
        host: id of the host, the time of its start, and the number of the crash.
        cleared: whether the request has run to its end elsewhere since.
        at_ms: time of the crash, on the clock of the process that stored it.
        sent_at_ms: time at which the request was sent to the host, on that clock.
    """

    request: str
    host: str
    cleared: bool
    at_ms: float
    sent_at_ms: float
