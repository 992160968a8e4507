"""Messages about hosts that limit what they take from all gateways together.

A gateway asks a keeper for a permit before each request to such a host. Keepers lend
each other the right to give permits, and pass on what gateways hear of limits. Reports
of requests on which hosts crash and of hosts that leave go the same way.
"""

from typing import NamedTuple

from pollenwalk.connection.crash_messages import CrashReport


class HostStart(NamedTuple):
    """One start of an upstream host; a host that starts again has another one.

    Attributes:
        id: id of the host.
        zone: availability zone of the host.
        started_ms: Unix time of the start; 0 if the host does not state it.
        software_version: version of the host's software.
    """

    id: str
    zone: str
    started_ms: int
    software_version: str


class LimitNews(NamedTuple):
    """What a host has said of its limit.

    Attributes:
        host: the host.
        per_second: requests a second that the host takes from all gateways
            together; None if it named no limit any more.
        age_ms: time since the host's answer.
    """

    host: HostStart
    per_second: float | None
    age_ms: float


class RequestPermit(NamedTuple):
    """Asks a keeper for a permit to send one request to a host.

    Attributes:
        news: what the gateway knows of the host's limit.
        max_wait_ms: the longest wait after which the permit is still of use.
    """

    news: LimitNews
    max_wait_ms: float


class PermitDecision(NamedTuple):
    """The answer to `RequestPermit`.

    Attributes:
        granted: whether the request may be sent.
        wait_ms: time from now until it may be sent; 0 if it is not granted.
        next_wait_ms: time from now until another permit becomes free here.
        share: part of the host's limit that this keeper gives permits for, 0 to 1.
        news: what the keeper knows of the limit.
    """

    granted: bool
    wait_ms: float
    next_wait_ms: float
    share: float
    news: LimitNews


class TellLimits(NamedTuple):
    """Tells a keeper what has just become known.

    Attributes:
        limits: what hosts have said of their limits.
        crashes: requests on which hosts have crashed.
        leaving: hosts that have said in an answer that they leave.
    """

    limits: list[LimitNews]
    crashes: tuple[CrashReport, ...] = ()
    leaving: tuple[HostStart, ...] = ()


class ExchangeLimits(NamedTuple):
    """Tells a keeper of limits and asks it for those that have changed.

    Attributes:
        limits: what the gateway has heard since its last exchange with the keeper.
        boot_id: the start of the keeper that `since` belongs to; empty for none.
        since: the keeper's revision as of that exchange.
        crashes: what the gateway has heard of crashes since then.
        crashes_since: the keeper's revision of crashes as of that exchange.
    """

    limits: list[LimitNews]
    boot_id: str
    since: int
    crashes: tuple[CrashReport, ...] = ()
    crashes_since: int = 0


class KnownLimits(NamedTuple):
    """The answer to `ExchangeLimits`.

    Attributes:
        limits: the limits that have changed since that revision.
        boot_id: identifies this start of the keeper.
        revision: the keeper's revision now.
        crashes: the crashes that have been reported since that revision of them.
        crashes_revision: the keeper's revision of crashes now.
    """

    limits: list[LimitNews]
    boot_id: str
    revision: int
    crashes: tuple[CrashReport, ...] = ()
    crashes_revision: int = 0


class BorrowShares(NamedTuple):
    """Asks a keeper not to give permits for some hosts for a while.

    Attributes:
        borrower: name of the keeper that will give these permits instead.
        limits: the hosts with their limits.
    """

    borrower: str
    limits: list[LimitNews]


class LentShares(NamedTuple):
    """The answer to `BorrowShares`: for each host, whether the share is lent."""

    lent: list[bool]
