"""Which entries a sidecar reports to, and how often.

A few entries of its own region, chosen by rendezvous so that few change when
an entry comes or goes. While there are few entries all are told, which also
lets the regions see each other's hosts.
"""

import hashlib

from pollenwalk.connection.wire import Entries, Report
from pollenwalk.process.directory import Directory, EntryRecord, rendezvous

ALL_ENTRIES_LIMIT = 8
MAX_TARGETS = 4
MIN_INTERVAL_MS = 1000
MAX_INTERVAL_MS = 10_000
REPORTS_PER_SECOND = 13
INTERVAL_STEP_MS = 1000
DIGEST_BYTES = 4


class ReportTargets:
    """Answers reports with the entries to report to."""

    def __init__(self, directory: Directory, regions: dict[str, str]) -> None:
        """Choose among the entries of `directory`."""
        self.directory = directory
        self.regions = regions
        self.addresses_by_sidecar: dict[str, list[str]] = {}
        self.seen_change_count = -1

    def entries_for(self, report: Report, hosts: int) -> Entries:
        """Choose for one sidecar.

        Args:
            report: its report.
            hosts: how many sidecars report to this entry.

        Returns:
            What to send it, unless the report's digest is the same.
        """
        if self.seen_change_count != self.directory.change_count:
            self.addresses_by_sidecar.clear()
            self.seen_change_count = self.directory.change_count
        addresses = self.addresses_by_sidecar.get(report.sidecar)
        if addresses is None:
            addresses = self.choose_addresses(report)
            self.addresses_by_sidecar[report.sidecar] = addresses
        interval_ms = report_interval_ms(hosts)
        text = f'{interval_ms} {addresses}'.encode()
        digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()
        return Entries(addresses, interval_ms, digest)

    def choose_addresses(self, report: Report) -> list[str]:
        """Rank the entries for one sidecar."""
        live = {record.incarnation: record for record in self.directory.live_entries()}
        if len(live) <= ALL_ENTRIES_LIMIT:
            return sorted(record.address for record in live.values())
        region = self.regions.get(report.zone, '')
        same_region = {
            name: record for name, record in live.items() if record.region == region
        }
        return self.rank_addresses(report, same_region or live)

    def rank_addresses(
        self, report: Report, candidates: dict[str, EntryRecord]
    ) -> list[str]:
        """Give the addresses of the first few."""
        ranked = rendezvous(report.sidecar, candidates)
        return [candidates[name].address for name in ranked[:MAX_TARGETS]]


def report_interval_ms(hosts: int) -> int:
    """Give the time between reports in ms, so that an entry can bear them."""
    required_ms = hosts * INTERVAL_STEP_MS // REPORTS_PER_SECOND
    steps = -(-required_ms // INTERVAL_STEP_MS)
    return min(max(steps * INTERVAL_STEP_MS, MIN_INTERVAL_MS), MAX_INTERVAL_MS)
