"""Tells a keeper how loaded this gateway is, and heeds what it decides for the fleet."""

from pollenwalk.connection.load_messages import FleetState, GatewayLoad
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
    """

    def __init__(
        self,
        links: KeeperLinks,
        clock: Clock,
        own_load: OwnLoad,
        host_table: HostTable,
        name: str,
    ) -> None:
        """Create a reporter that has not reported yet."""
        self.links = links
        self.host_table = host_table
        self.clock = clock
        self.own_load = own_load
        self.name = name
        self.zone = links.zone

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
        )
        state: FleetState | None = await answer_or_none(self.links.request(link, load))
        if state is None:
            return
        self.own_load.apply_fleet_state(state, self.clock.now_ms())
        for host in state.leaving:
            self.host_table.record_leaving(host)
