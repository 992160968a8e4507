"""What is known of one upstream host."""

from typing import NamedTuple


class UpstreamHost(NamedTuple):
    """One start of an upstream host, as it registered itself.

    Attributes:
        id: names this start in every call that is sent to it.
        upstream: the declared upstream that it serves.
        address: `ip:port`; addresses are used again by other hosts.
        zone: its availability zone.
        slots: calls that it runs at a time.
        leaving: whether it takes no new calls.
        warm_up_ms: how much longer it is slow after its start.
        born_ms: Unix time of its start; 0 where it doesn't say.
    """

    id: str
    upstream: str
    address: str
    zone: str
    slots: int
    leaving: bool
    warm_up_ms: float
    started_ms: int
