"""Fleet load: which overloaded gateways may send their callers to others.

Answers the load of a whole fleet whose processors are the bottleneck, as in a burst that
all availability zones get at once. If each gateway decided alone, all would send their
callers away in turn: those that stay get all callers and follow, connections are closed
and opened all the time, and the load balancer, which finds too few ready gateways,
uses all of them anyway. So one keeper hears from all gateways and lets one leave only if
those that would get its callers have room, and few at a time. Whoever may not leave
refuses new programs instead.

A load balancer spreads a zone's callers over its ready gateways. It ignores who is ready
once fewer than half of the zone are, and uses the nearest zones if none is.
"""

from collections.abc import Iterable
from typing import NamedTuple

from pollenwalk.connection.load_messages import FleetState, GatewayLoad
from pollenwalk.policy.own_load import AWAY_MS, OVERLOAD_DELAY_MS

# Gateways may be away in turn all the time; so that callers hardly notice, an eighth of
# the fleet at most.
MAX_AWAY_SHARE = 0.125
# Average delay from which a gateway has no room for callers of others.
FULL_DELAY_MS = OVERLOAD_DELAY_MS / 2
# A gateway that has not reported for this long is no longer counted.
REPORT_TRUST_MS = 3000.0


class ReportedLoad(NamedTuple):
    """What a keeper knows of one gateway.

    Attributes:
        load: its latest report.
        at_ms: when that arrived.
        away_until_ms: until when it may be away.
    """

    load: GatewayLoad
    at_ms: float
    away_until_ms: float


class FleetLoad:
    """Hears of the load of all gateways and decides which of them may leave.

    Attributes:
        regions: the region of each availability zone.
        reports: the gateways by name.
    """

    def __init__(self, regions: dict[str, str]) -> None:
        """Know no gateway yet."""
        self.regions = regions
        self.reports: dict[str, ReportedLoad] = {}

    def record(self, load: GatewayLoad, now_ms: float) -> FleetState:
        """Record a gateway's load, and decide whether the gateway may leave."""
        former = self.reports.get(load.name)
        away_until_ms = former.away_until_ms if former else now_ms
        self.remove_silent(now_ms)
        receivers = self.receivers_of(load, now_ms)
        has_room = have_room(receivers)
        may_leave = (
            load.wants_to_leave and has_room and not self.is_limit_reached(now_ms)
        )
        if may_leave:
            away_until_ms = now_ms + AWAY_MS
        self.reports[load.name] = ReportedLoad(load, now_ms, away_until_ms)
        return FleetState(may_leave, has_room)

    def remove_silent(self, now_ms: float) -> None:
        """Forget the gateways that have not reported for a while."""
        self.reports = {
            name: report
            for name, report in self.reports.items()
            if now_ms - report.at_ms < REPORT_TRUST_MS
        }

    def is_limit_reached(self, now_ms: float) -> bool:
        """Return whether no further gateway may be away."""
        away = sum(report.away_until_ms > now_ms for report in self.reports.values())
        return away >= max(1, int(len(self.reports) * MAX_AWAY_SHARE))

    def receivers_of(self, load: GatewayLoad, now_ms: float) -> list[GatewayLoad]:
        """Return the gateways that would get a gateway's callers if it left.

        The list is empty if there are none, or if the load balancer would go on to
        send callers to that gateway.
        """
        others = [report for name, report in self.reports.items() if name != load.name]
        ready = [report.load for report in others if report.away_until_ms <= now_ms]
        in_zone = [one for one in ready if one.zone == load.zone]
        if in_zone:
            zone_size = 1 + sum(other.load.zone == load.zone for other in others)
            return in_zone if 2 * len(in_zone) >= zone_size else []
        region = self.regions.get(load.zone)
        in_region = [one for one in ready if self.regions.get(one.zone) == region]
        return in_region or ready


def have_room(gateways: Iterable[GatewayLoad]) -> bool:
    """Return whether gateways can take the callers of another one together.

    An idle gateway counts as room for one, a busier one as a part of it.
    """
    return sum(max(1 - one.delay_ms / FULL_DELAY_MS, 0) for one in gateways) >= 1
