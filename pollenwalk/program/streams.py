"""Where streams began, as keepers remember it for the gateways that resume them.

A stream may go on only at the upstream and at the software version of the host
that began it, as what two versions generate does not fit together.
"""

from typing import NamedTuple


class StreamOrigin(NamedTuple):
    """The host that sent the first event of a stream.

    Attributes:
        request: id of the request that the event answered.
        upstream: name of the host's upstream.
        software_version: version of the host's software.
        retention_ms: how long the stream can be resumed from now on.
    """

    request: str
    upstream: str
    software_version: str
    retention_ms: float


class FindStreamOrigin(NamedTuple):
    """Asks a keeper where the stream of a request began."""

    request: str


class FoundStreamOrigin(NamedTuple):
    """Where a stream began; `origin` is None if the keeper does not know."""

    origin: StreamOrigin | None
