"""The registration of an upstream host."""

from typing import NamedTuple

from pollenwalk.connection.limit_messages import HostStart


class UpstreamHost(NamedTuple):
    """An upstream host as it registered itself after a start.

    Attributes:
        id: id of this start of the host; calls sent to the host carry it.
        upstream: name of the declared upstream that the host serves.
        address: `ip:port`; other hosts may reuse it later.
        zone: availability zone of the host.
        slots: number of calls that the host runs concurrently.
        leaving: whether the host accepts no new calls.
        warm_up_ms: time for which the host will still be slow after its start.
        started_ms: Unix time of the start; 0 if the host does not state it.
        software_version: version of the host's software; empty if the host does
            not state it.
    """

    id: str
    upstream: str
    address: str
    zone: str
    slots: int
    leaving: bool
    warm_up_ms: float
    started_ms: int
    software_version: str = ''

    @property
    def start(self) -> HostStart:
        """Return what tells this start of the host from others."""
        return HostStart(self.id, self.zone, self.started_ms, self.software_version)
