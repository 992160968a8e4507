"""Messages about running processes and their configuration, most sent by datagram."""

from typing import Any, NamedTuple


class Report(NamedTuple):
    """Load report of a sidecar, sent by datagram.

    Attributes:
        sidecar: name of the sidecar.
        boot_id: id of this start of the sidecar.
        upstream: name of the upstream that it serves.
        address: `ip:port` of the sidecar.
        zone: availability zone of the sidecar.
        number: number of the report; later reports have higher numbers.
        running: number of running calls.
        queued: number of calls waiting for a slot.
        slots: number of calls that may run concurrently.
        leaving: whether the sidecar accepts no new calls.
        version: version of the upstream's declaration in use.
        digest: digest of the `Entries` message received last.
    """

    sidecar: str
    boot_id: str
    upstream: str
    address: str
    zone: str
    number: int
    running: int
    queued: int
    slots: int
    leaving: bool
    version: int
    digest: str


class Beat(NamedTuple):
    """Heartbeat of an entry, sent by datagram.

    It is also sent as a request, to check whether a process answers; its number
    is then 0.

    Attributes:
        incarnation: incarnation of the sender; empty if it is a command.
        number: number of the heartbeat, which increases with each.
    """

    incarnation: str
    number: int


class Entries(NamedTuple):
    """The entries that a sidecar has to report to, and the interval.

    The sidecar's reports state the `digest` that it received last. The message
    is sent again only if that differs from the current one.
    """

    addresses: list[str]
    interval_ms: int
    digest: str


class UpstreamConfig(NamedTuple):
    """The accepted declaration of an upstream, sent to its sidecars.

    It is sent when it is accepted, and in response to each report that states
    an older version.
    """

    name: str
    version: int
    spec: dict[str, Any]
