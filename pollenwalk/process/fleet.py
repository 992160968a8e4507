"""The upstream hosts as an entry knows them, from their sidecars' reports.

Reports lag, so what this entry has sent since a report is added to it. A host
that falls silent is left out, and a leaving one at its first word.
"""

from collections.abc import Iterator
from typing import NamedTuple

from pollenwalk.connection.wire import Report
from pollenwalk.policy.placement import HostView
from pollenwalk.process.clock import Clock

SILENT_AFTER_INTERVALS = 3.5
INITIAL_REPORT_INTERVAL_MS = 1000


class Location(NamedTuple):
    """Where a process runs."""

    zone: str
    region: str


class UpstreamHost:
    """One upstream host: its last report and this entry's own calls there.

    Own calls are known exactly. Those of other entries are what the host had
    at its last word beyond our own at that moment.
    """

    def __init__(self, report: Report, reported_ms: float) -> None:
        """Start from the first report."""
        self.report = report
        self.reported_ms = reported_ms
        self.own_calls: dict[str, None] = {}
        self.other_calls = report.running + report.queued
        self.paused_until_ms = 0.0

    def update(self, report: Report, reported_ms: float) -> None:
        """Replace the report unless it is older than the present one."""
        same_boot = report.boot_id == self.report.boot_id
        if same_boot and report.number < self.report.number:
            return
        left = self.report.leaving and same_boot
        self.report = report._replace(leaving=report.leaving or left)
        self.reported_ms = reported_ms
        self.paused_until_ms = 0.0
        self.update_load(report.running + report.queued)

    def update_load(self, ahead: int) -> None:
        """Note how many calls the host has in all."""
        self.other_calls = max(ahead - len(self.own_calls), 0)

    def to_view(self, region: str) -> HostView:
        """Give what placement needs."""
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
    """All upstream hosts that report to this entry."""

    def __init__(self, clock: Clock, regions: dict[str, str]) -> None:
        """Start empty; `regions` maps each zone to its region."""
        self.clock = clock
        self.regions = regions
        self.hosts: dict[str, UpstreamHost] = {}
        self.report_interval_ms = INITIAL_REPORT_INTERVAL_MS
        self.leaving_addresses: frozenset[str] = frozenset()

    def record_report(self, report: Report) -> None:
        """Note a report."""
        now_ms = self.clock.now_ms()
        host = self.hosts.get(report.sidecar)
        if host is None:
            self.hosts[report.sidecar] = UpstreamHost(report, now_ms)
        else:
            host.update(report, now_ms)

    def available_hosts(self, upstream: str) -> list[HostView]:
        """Give the hosts of an upstream that may take new work."""
        now_ms = self.clock.now_ms()
        return [
            host.to_view(self.regions.get(host.report.zone, ''))
            for _, host in sorted(self.hosts.items())
            if host.report.upstream == upstream and self.is_available(host, now_ms)
        ]

    def available_hosts_of(self, upstreams: list[str]) -> Iterator[HostView]:
        """Give the hosts of several upstreams that may take new work."""
        for upstream in upstreams:
            yield from self.available_hosts(upstream)

    def is_available(self, host: UpstreamHost, now_ms: float) -> bool:
        """Tell whether a host is heard, stays, and did not just refuse."""
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
        """Note a call on its way to a host."""
        self.hosts[sidecar].own_calls[call] = None

    def remove_call(self, sidecar: str, call: str) -> None:
        """Note that a call is back."""
        host = self.hosts.get(sidecar)
        if host is not None:
            host.own_calls.pop(call, None)

    def update_load(self, sidecar: str, ahead: int) -> None:
        """Note the load that came with an answer."""
        host = self.hosts.get(sidecar)
        if host is not None:
            host.update_load(ahead)

    def mark_leaving(self, sidecar: str) -> None:
        """Note a host's own word that it leaves."""
        host = self.hosts.get(sidecar)
        if host is not None:
            host.report = host.report._replace(leaving=True)

    def update_leaving_addresses(self, addresses: list[str]) -> None:
        """Note the hosts that the platform says are leaving, by IP address.

        A host that is no longer named is live again.
        """
        self.leaving_addresses = frozenset(addresses)

    def pause_host(self, sidecar: str, pause_ms: float) -> None:
        """Leave a host out for a while after a refusal or a lost path."""
        host = self.hosts.get(sidecar)
        if host is not None:
            host.paused_until_ms = self.clock.now_ms() + pause_ms

    def drop_silent(self, after_ms: float) -> None:
        """Drop hosts that have been silent for long."""
        limit_ms = self.clock.now_ms() - after_ms
        self.hosts = {
            sidecar: host
            for sidecar, host in self.hosts.items()
            if host.reported_ms > limit_ms
        }
