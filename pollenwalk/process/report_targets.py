"""Which entries a sidecar reports to, and how often.

A few entries of its own region, chosen by rendezvous so that few change when
an entry comes or goes. While there are few entries all are told, which also
lets the regions see each other's hosts.
"""

import hashlib

from pollenwalk.connection.wire import Entries, Report
from pollenwalk.process.directory import Directory, EntryRecord, rendezvous

FEW = 8
TARGETS = 4
SHORTEST_MS = 1000
LONGEST_MS = 10_000
REPORTS_PER_SECOND = 13
STEP_MS = 1000
DIGEST_BYTES = 4


class ReportTargets:
    """Answers reports with the entries to report to."""

    def __init__(self, directory: Directory, regions: dict[str, str]) -> None:
        """Choose among the entries of `directory`."""
        self.directory = directory
        self.regions = regions
        self.chosen: dict[str, list[str]] = {}
        self.counted = -1

    def entries(self, report: Report, hosts: int) -> Entries:
        """Choose for one sidecar.

        Args:
            report: its report.
            hosts: how many sidecars report to this entry.

        Returns:
            What to send it, unless the report's digest is the same.
        """
        if self.counted != self.directory.change_count:
            self.chosen.clear()
            self.counted = self.directory.change_count
        addresses = self.chosen.get(report.sidecar)
        if addresses is None:
            addresses = self.choose(report)
            self.chosen[report.sidecar] = addresses
        interval_ms = interval(hosts)
        text = f'{interval_ms} {addresses}'.encode()
        digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()
        return Entries(addresses, interval_ms, digest)

    def choose(self, report: Report) -> list[str]:
        """Rank the entries for one sidecar."""
        live = {record.incarnation: record for record in self.directory.live_entries()}
        if len(live) <= FEW:
            return sorted(record.address for record in live.values())
        region = self.regions.get(report.zone, '')
        near = {name: one for name, one in live.items() if one.region == region}
        return self.ranked(report, near or live)

    def ranked(self, report: Report, names: dict[str, EntryRecord]) -> list[str]:
        """Give the addresses of the first few."""
        ranked = rendezvous(report.sidecar, names)
        return [names[name].address for name in ranked[:TARGETS]]


def interval(hosts: int) -> int:
    """Give the time between reports in ms, so that an entry can bear them."""
    wanted_ms = hosts * STEP_MS // REPORTS_PER_SECOND
    steps = -(-wanted_ms // STEP_MS)
    return min(max(steps * STEP_MS, SHORTEST_MS), LONGEST_MS)
