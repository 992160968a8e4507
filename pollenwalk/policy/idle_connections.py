"""Idle connections: how many of them a gateway may keep to one host.

A host accepts `max_conns` connections from all gateways together and resets those
beyond, which breaks the requests on them. So the gateways share what the host's
running requests don't need.
"""

import math

# Gateways that are assumed until their number has been reported for SETTLE_MS. Too many
# cost new connections for some seconds, too few requests that a full host resets.
ASSUMED_GATEWAYS = 8
# A lower number counts only after it was reported for this long: a keeper that has just
# begun to receive reports (one a second from each gateway) does not know all gateways.
SETTLE_MS = 5000.0
# After a longer time without a report, the time above begins anew.
MAX_GAP_MS = 2500.0


def idle_limit(max_connections: int, slots: int, gateways: int) -> float:
    """Return how many idle connections a gateway may keep to a host; at least 1.

    Args:
        max_connections: the most that the host accepts from all gateways; 0 if the
            configuration does not say.
        slots: number of requests that the host runs at the same time, whose
            connections are not idle.
        gateways: number of gateways.

    Returns:
        The number; infinite if the host has no known maximum.
    """
    if not max_connections:
        return math.inf
    return max((max_connections - slots) // max(gateways, 1), 1)


class GatewayCount:
    """The number of gateways, from what keepers report.

    A higher number counts at once, as too low a number breaks requests and too high
    a number only costs connections that are opened again. Without reports the last
    number stays.

    Attributes:
        number: the number of gateways.
        reported_at_ms: time of the last report.
        lower_since_ms: time since which all reports were lower; None if the last was not.
        highest_lower: the highest of these reports.
    """

    def __init__(self) -> None:
        """Assume a number until one has been reported."""
        self.number = ASSUMED_GATEWAYS
        self.reported_at_ms = -math.inf
        self.lower_since_ms: float | None = None
        self.highest_lower = 0

    def record(self, reported: int, now_ms: float) -> None:
        """Record a report of the number of gateways."""
        is_late = now_ms - self.reported_at_ms > MAX_GAP_MS
        self.reported_at_ms = now_ms
        if reported >= self.number:
            self.settle(reported)
            return
        if is_late or self.lower_since_ms is None:
            self.lower_since_ms = now_ms
            self.highest_lower = 0
        self.highest_lower = max(self.highest_lower, reported)
        if now_ms - self.lower_since_ms >= SETTLE_MS:
            self.settle(self.highest_lower)

    def settle(self, number: int) -> None:
        """Count with a number from now on."""
        self.number = number
        self.lower_since_ms = None
