"""The upstream hosts known to an entry, from the reports of their sidecars.

Reports lag behind, so this entry counts its own calls at each host; only the
calls of other entries are estimated, from the last report or answer. A host
gets no new calls once its reports stop, or as soon as it says that it is leaving.
"""

from collections.abc import Iterator
from typing import NamedTuple

from pollenwalk.connection.fleet_messages import Report
from pollenwalk.policy.placement import HostView
from pollenwalk.process.clock import Clock

# Report intervals without a report after which a host gets no new calls.
SILENT_AFTER_INTERVALS = 3.5
INITIAL_REPORT_INTERVAL_MS = 1000


class Location(NamedTuple):
    """The zone and region that a process runs in."""

    zone: str
    region: str


class ReportedHost:
    """An upstream host known from its sidecar's reports, and this entry's calls there.

    Attributes:
        report: the last report.
        reported_ms: when it arrived, on the process's clock.
        own_calls: ids of the calls that this entry has at the host now.
        other_calls: estimated number of calls of other entries: those that the
            host had beyond this entry's, at its last report or answer.
        paused_until_ms: the host gets no new calls before this time.
    """

    def __init__(self, report: Report, reported_ms: float) -> None:
        """Create a host from its first report."""
        self.report = report
        self.reported_ms = reported_ms
        self.own_calls: dict[str, None] = {}
        self.other_calls = report.running + report.queued
        self.paused_until_ms = 0.0

    def update(self, report: Report, reported_ms: float) -> None:
        """Replace the report unless a later one of the same start is known.

        A host that has said that it is leaving stays so until it restarts.
        """
        same_boot = report.boot_id == self.report.boot_id
        if same_boot and report.number < self.report.number:
            return
        was_leaving = self.report.leaving and same_boot
        self.report = report._replace(leaving=report.leaving or was_leaving)
        self.reported_ms = reported_ms
        self.paused_until_ms = 0.0
        self.update_load(report.running + report.queued)

    def update_load(self, total_calls: int) -> None:
        """Update the estimate from the number of all calls at the host."""
        self.other_calls = max(total_calls - len(self.own_calls), 0)

    def to_view(self, region: str) -> HostView:
        """Return what the placement policy needs to know about the host.

        Args:
            region: region of the host's zone.
        """
        report = self.report
        return HostView(
            report.sidecar,
            report.address,
            report.zone,
            region,
            report.slots,
            report.running + report.queued,
            self.other_calls + len(self.own_calls),
        )


class Fleet:
    """All upstream hosts that report to this entry.

    Attributes:
        regions: the region of each zone.
        hosts: the hosts, by the id of their sidecar.
        report_interval_ms: interval at which the sidecars are told to report.
        leaving_addresses: IP addresses of the hosts that the platform lists as
            leaving.
    """

    def __init__(self, clock: Clock, regions: dict[str, str]) -> None:
        """Create an empty fleet; `regions` maps each zone to its region."""
        self.clock = clock
        self.regions = regions
        self.hosts: dict[str, ReportedHost] = {}
        self.report_interval_ms = INITIAL_REPORT_INTERVAL_MS
        self.leaving_addresses: frozenset[str] = frozenset()

    def record_report(self, report: Report) -> None:
        """Add the reporting host, or update it."""
        now_ms = self.clock.now_ms()
        host = self.hosts.get(report.sidecar)
        if host is None:
            self.hosts[report.sidecar] = ReportedHost(report, now_ms)
        else:
            host.update(report, now_ms)

    def available_hosts(self, upstream: str) -> list[HostView]:
        """Return the hosts of an upstream that may get new calls."""
        now_ms = self.clock.now_ms()
        return [
            host.to_view(self.regions.get(host.report.zone, ''))
            for _, host in sorted(self.hosts.items())
            if host.report.upstream == upstream and self.is_available(host, now_ms)
        ]

    def available_hosts_of(self, upstreams: list[str]) -> Iterator[HostView]:
        """Yield the hosts of any of the upstreams that may get new calls."""
        for upstream in upstreams:
            yield from self.available_hosts(upstream)

    def is_available(self, host: ReportedHost, now_ms: float) -> bool:
        """Return whether a host may get new calls.

        It must have reported recently, have slots, not be leaving and not be
        paused.
        """
        if host.report.address.rpartition(':')[0] in self.leaving_addresses:
            return False
        if (
            host.report.leaving
            or not host.report.slots
            or now_ms < host.paused_until_ms
        ):
            return False
        return (
            now_ms - host.reported_ms
            <= self.report_interval_ms * SILENT_AFTER_INTERVALS
        )

    def add_call(self, sidecar: str, call: str) -> None:
        """Count a call that is being sent to a host."""
        self.hosts[sidecar].own_calls[call] = None

    def remove_call(self, sidecar: str, call: str) -> None:
        """Stop counting a call that has ended at a host."""
        host = self.hosts.get(sidecar)
        if host is not None:
            host.own_calls.pop(call, None)

    def update_load(self, sidecar: str, total_calls: int) -> None:
        """Update a host's load from the number of calls in an answer."""
        host = self.hosts.get(sidecar)
        if host is not None:
            host.update_load(total_calls)

    def mark_leaving(self, sidecar: str) -> None:
        """Mark a host that has said itself that it is leaving."""
        host = self.hosts.get(sidecar)
        if host is not None:
            host.report = host.report._replace(leaving=True)

    def update_leaving_addresses(self, addresses: list[str]) -> None:
        """Replace the IP addresses of the hosts that the platform lists as leaving.

        A host that is no longer listed may get calls again.
        """
        self.leaving_addresses = frozenset(addresses)

    def pause_host(self, sidecar: str, pause_ms: float) -> None:
        """Send a host no new calls for `pause_ms`, or until its next report.

        Used after a refusal or a lost connection.
        """
        host = self.hosts.get(sidecar)
        if host is not None:
            host.paused_until_ms = self.clock.now_ms() + pause_ms

    def drop_silent(self, after_ms: float) -> None:
        """Drop hosts that have not reported for `after_ms`."""
        limit_ms = self.clock.now_ms() - after_ms
        self.hosts = {
            sidecar: host
            for sidecar, host in self.hosts.items()
            if host.reported_ms > limit_ms
        }
