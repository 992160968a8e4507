"""Tells a keeper how loaded this gateway is, and heeds what it decides for the fleet."""

from pollenwalk.connection.load_messages import CountedFleetState, GatewayLoad
from pollenwalk.policy.idle_connections import GatewayCount
from pollenwalk.policy.own_load import OwnLoad
from pollenwalk.process.clock import Clock
from pollenwalk.process.host_table import HostTable
from pollenwalk.process.keeper_group import answer_or_none
from pollenwalk.process.keeper_links import KeeperLinks

# Interval of the reports, and of those of a gateway that wants to leave.
REPORT_INTERVAL_MS = 1000.0
URGENT_INTERVAL_MS = 250.0


class LoadReporter:
    """Reports the load of one gateway to the keeper that all gateways choose.

    While no keeper answers, the gateway does not leave: it can't know whether others
    have room.

    Attributes:
        own_load: the load of the gateway.
        host_table: the upstream hosts that it knows.
        name: name of the gateway.
        zone: its availability zone.
        gateway_count: learns how many gateways report.
    """

    def __init__(
        self,
        links: KeeperLinks,
        clock: Clock,
        own_load: OwnLoad,
        host_table: HostTable,
        name: str,
        gateway_count: GatewayCount,
    ) -> None:
        """Create a reporter that has not reported yet."""
        self.links = links
        self.host_table = host_table
        self.clock = clock
        self.own_load = own_load
        self.name = name
        self.zone = links.zone
        self.gateway_count = gateway_count

    async def run(self) -> None:
        """Report at regular intervals, at shorter ones while the gateway wants to leave."""
        while True:
            await self.report()
            left_ms = REPORT_INTERVAL_MS
            while left_ms > 0 and not self.own_load.wants_to_leave:
                step_ms = left_ms if self.own_load.is_relaxed else URGENT_INTERVAL_MS
                await self.clock.sleep_ms(step_ms)
                left_ms -= step_ms
            if self.own_load.wants_to_leave:
                await self.clock.sleep_ms(URGENT_INTERVAL_MS)

    async def report(self) -> None:
        """Report the load once; heed the answer if there is one."""
        link = self.links.first()
        if link is None:
            return
        load = GatewayLoad(
            self.name,
            self.zone,
            self.own_load.delay_ms,
            self.own_load.wants_to_leave,
            reads_count=True,
        )
        counted: CountedFleetState | None = await answer_or_none(
            self.links.request(link, load)
        )
        if counted is None:
            return
        now_ms = self.clock.now_ms()
        self.gateway_count.record(counted.gateways, now_ms)
        self.own_load.apply_fleet_state(counted.state, now_ms)
        for host in counted.state.leaving:
            self.host_table.record_leaving(host)
