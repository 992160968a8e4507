"""What a process knows of requests on which hosts have crashed.

Reports are only ever added, so processes that have exchanged them agree, in whatever
order and however often each report came.
"""

import math
from collections.abc import Iterator
from itertools import count
from typing import NamedTuple

from loguru import logger

from pollenwalk.connection.crash_messages import CrashNote, CrashReport
from pollenwalk.policy.crash_verdict import CrashTime, count_successive, is_given_up
from pollenwalk.process.clock import Clock

# How long a crash is remembered.
RETENTION_MS = 600_000.0
# How long after a crash more crashes on the same request are to be expected.
ALERT_MS = 10_000.0
# Most crashes that are remembered; they take about a megabyte.
MAX_RECORDS = 4096


class CrashRecord(NamedTuple):
    """One crash of a host that had a request.

    Attributes:
        cleared: whether the request has run to its end elsewhere since.
        at_ms: time of the crash, on this process's clock.
        sent_at_ms: time at which the request was sent to the host.
        revision: the process's revision at the last change of `cleared`.
    """

    cleared: bool
    at_ms: float
    sent_at_ms: float
    revision: int


class CrashRecords:
    """The crashes of hosts, by request.

    Attributes:
        by_request: for each digest of a request, the crashes by host.
        size: number of crashes.
        revision: number of changes so far.
        last_crash_ms: time of the last crash.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty table."""
        self.last_crash_ms = float('-inf')
        self.clock = clock
        self.by_request: dict[str, dict[str, CrashRecord]] = {}
        self.size = 0
        self.revision = 0

    @property
    def had_crash_lately(self) -> bool:
        """Return whether a host has crashed within ALERT_MS."""
        return self.clock.now_ms() < self.last_crash_ms + ALERT_MS

    def crashes(self, request: str) -> int:
        """Return how many crashes count against a request."""
        oldest_ms = self.clock.now_ms() - RETENTION_MS
        return count_successive(
            CrashTime(one.sent_at_ms, one.at_ms)
            for one in self.by_request.get(request, {}).values()
            if not one.cleared and one.at_ms >= oldest_ms
        )

    def since_last_ms(self, request: str) -> float:
        """Return the time since the last crash that counts against a request."""
        times_ms = (
            one.at_ms
            for one in self.by_request.get(request, {}).values()
            if not one.cleared
        )
        return self.clock.now_ms() - max(times_ms, default=-math.inf)

    def learn(self, report: CrashReport, source: str) -> bool:
        """Add a report.

        Args:
            report: the report.
            source: where it came from, for the log.

        Returns:
            Whether it was new.
        """
        records = self.by_request.get(report.request, {})
        known = records.get(report.host)
        if known is not None and known.cleared >= report.cleared:
            return False
        if known is None:
            self.make_room()
            self.size += 1
        self.revision += 1
        now_ms = self.clock.now_ms()
        at_ms = now_ms - max(report.age_ms, 0)
        self.last_crash_ms = max(self.last_crash_ms, at_ms)
        records[report.host] = CrashRecord(
            report.cleared,
            at_ms,
            now_ms - max(report.sent_age_ms, 0),
            self.revision,
        )
        self.by_request[report.request] = records
        logger.info(
            'host_crash',
            digest=report.request,
            host=report.host,
            cleared=report.cleared,
            crashes=self.crashes(report.request),
            age_ms=round(report.age_ms),
            source=source,
        )
        return True

    def name_crash(self, request: str, start: str, sent_age_ms: float) -> str:
        """Return what names a crash of a host, so that all reports of it are one.

        A host that does not state when it started may crash several times under the
        same name. Then a number tells these crashes apart.

        Args:
            request: digest of a request that the host had.
            start: id of the host and the time of its start.
            sent_age_ms: time since the request was sent to it.
        """
        records = self.by_request.get(request, {})
        sent_at_ms = self.clock.now_ms() - sent_age_ms
        names = (f'{start}/{number}' for number in count(1))
        return next(
            name
            for name in names
            if name not in records or records[name].at_ms > sent_at_ms
        )

    def clear(self, request: str) -> tuple[CrashReport, ...]:
        """Clear a request that has run to its end; return the changed reports."""
        records = self.by_request.get(request, {})
        changed = tuple(
            self.report(request, host, record._replace(cleared=True))
            for host, record in records.items()
            if not record.cleared
        )
        for report in changed:
            self.learn(report, 'answer')
        return changed

    def news_since(self, revision: int) -> tuple[CrashReport, ...]:
        """Return the reports that have been added or cleared since a revision."""
        if revision >= self.revision:
            return ()
        return tuple(
            self.report(request, host, record)
            for request, records in self.by_request.items()
            for host, record in records.items()
            if record.revision > revision
        )

    def reports(self, request: str) -> tuple[CrashReport, ...]:
        """Return all reports of one request."""
        records = self.by_request.get(request, {})
        return tuple(
            self.report(request, host, record) for host, record in records.items()
        )

    def report(self, request: str, host: str, record: CrashRecord) -> CrashReport:
        """Return a record as it is told to others."""
        now_ms = self.clock.now_ms()
        return CrashReport(
            request,
            host,
            record.cleared,
            now_ms - record.at_ms,
            now_ms - record.sent_at_ms,
        )

    def note(self, report: CrashReport) -> CrashNote:
        """Return a known report as it is stored on disk."""
        record = self.by_request[report.request][report.host]
        return CrashNote(
            report.request,
            report.host,
            record.cleared,
            record.at_ms,
            record.sent_at_ms,
        )

    def notes(self) -> Iterator[CrashNote]:
        """Yield all reports as they are stored on disk."""
        for request, records in self.by_request.items():
            for host, one in records.items():
                yield CrashNote(request, host, one.cleared, one.at_ms, one.sent_at_ms)

    def restore(self, notes: list[CrashNote]) -> None:
        """Add the reports that were read from the disk after a start.

        The times between crashes are kept, as they tell whether several crashes had one
        cause. If the clock has started anew since, the last crash counts as a present
        one.
        """
        now_ms = self.clock.now_ms()
        last_ms = max((one.at_ms for one in notes), default=now_ms)
        shift_ms = min(now_ms - last_ms, 0)
        for one in notes:
            report = CrashReport(
                one.request,
                one.host,
                one.cleared,
                now_ms - one.at_ms - shift_ms,
                now_ms - one.sent_at_ms - shift_ms,
            )
            self.learn(report, 'disk')

    def make_room(self) -> None:
        """Forget the oldest request if there are too many crashes.

        A request that is given up is forgotten only if all are.
        """
        if self.size < MAX_RECORDS:
            return
        harmless = (
            request
            for request in self.by_request
            if not is_given_up(self.crashes(request))
        )
        self.forget(next(harmless, next(iter(self.by_request))))

    def remove_old(self) -> None:
        """Forget the requests whose last crash is long ago."""
        oldest_ms = self.clock.now_ms() - RETENTION_MS
        old = [
            request
            for request, records in self.by_request.items()
            if all(record.at_ms < oldest_ms for record in records.values())
        ]
        for request in old:
            self.forget(request)

    def forget(self, request: str) -> None:
        """Forget the crashes of one request."""
        self.size -= len(self.by_request.pop(request))
