"""Chooses the entries that a sidecar reports to, and how often.

A sidecar reports to a few entries of its own region, chosen by rendezvous
hashing so that few change when an entry is added or removed. While there are
few entries, it reports to all, so that regions see each other's hosts too.
"""

import hashlib

from pollenwalk.connection.fleet_messages import Entries, Report
from pollenwalk.process.directory import Directory, EntryRecord, rendezvous

ALL_ENTRIES_LIMIT = 8
MAX_TARGETS = 4
MIN_INTERVAL_MS = 1000
MAX_INTERVAL_MS = 10_000
REPORTS_PER_SECOND = 13
INTERVAL_STEP_MS = 1000
DIGEST_BYTES = 4


class ReportTargets:
    """Chooses the entries for each sidecar, cached until the directory changes.

    Attributes:
        regions: the region of each zone.
        addresses_by_sidecar: the chosen addresses, a cache.
        seen_change_count: the directory's change count that the cache is for.
    """

    def __init__(self, directory: Directory, regions: dict[str, str]) -> None:
        """Choose among the entries of `directory`."""
        self.directory = directory
        self.regions = regions
        self.addresses_by_sidecar: dict[str, list[str]] = {}
        self.seen_change_count = -1

    def entries_for(self, report: Report, hosts: int) -> Entries:
        """Return the entries and the interval for one sidecar's reports.

        Args:
            report: the sidecar's last report.
            hosts: how many hosts, and so sidecars, report to this entry.

        Returns:
            The message for the sidecar, which has it already if its report
            has the same digest.
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
        """Return the addresses that one sidecar should report to."""
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
        """Return the addresses of the `MAX_TARGETS` highest-ranked entries."""
        ranked = rendezvous(report.sidecar, candidates)
        return [candidates[name].address for name in ranked[:MAX_TARGETS]]


def report_interval_ms(hosts: int) -> int:
    """Return the time in ms between a sidecar's reports.

    It grows with the number of hosts, so that an entry receives about
    `REPORTS_PER_SECOND` at most until `MAX_INTERVAL_MS` is reached. It is a
    multiple of `INTERVAL_STEP_MS`.

    Args:
        hosts: how many hosts, and so sidecars, report to the entry.
    """
    required_ms = hosts * INTERVAL_STEP_MS // REPORTS_PER_SECOND
    steps = -(-required_ms // INTERVAL_STEP_MS)
    return min(max(steps * INTERVAL_STEP_MS, MIN_INTERVAL_MS), MAX_INTERVAL_MS)
