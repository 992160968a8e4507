"""The metrics of an entry, with their units in their names."""

import contextlib
import time
from collections.abc import Iterator

from aioprometheus import Counter, Gauge, Registry, Summary, render

from pollenwalk.errors import Refusal
from pollenwalk.process.entry_interface import EntryInterface


class EntryMetrics:
    """Counters that requests feed and gauges read at each scrape."""

    def __init__(self) -> None:
        """Register all metrics."""
        self.registry = Registry()
        self.begun_total = self.counter('begun_total', 'Programs begun here.')
        self.refused_total = self.counter('refused_total', 'Requests refused.')
        self.tokens_total = self.counter('tokens_total', 'Tokens streamed.')
        self.call_seconds = Summary(
            'pollenwalk_call_seconds',
            'Time of whole calls, in seconds.',
            registry=self.registry,
        )
        self.programs = self.gauge('programs', 'Programs at home here.')
        self.pending = self.gauge(
            'journal_pending_batches',
            'Batches not in the store yet.',
        )
        self.segments = self.gauge(
            'journal_segments',
            'Segments written by this incarnation.',
        )
        self.hosts = self.gauge('upstream_hosts', 'Upstream hosts that report.')
        self.forwarded = self.gauge('forwarded', 'Requests sent on to a home.')
        self.version = self.gauge(
            'configuration_version',
            'Highest version of the configuration in force.',
        )

    def counter(self, name: str, text: str) -> Counter:
        """Register a counter."""
        return Counter(f'pollenwalk_{name}', text, registry=self.registry)

    def gauge(self, name: str, text: str) -> Gauge:
        """Register a gauge."""
        return Gauge(f'pollenwalk_{name}', text, registry=self.registry)

    def begun(self) -> None:
        """Count a program."""
        self.begun_total.inc({})

    def refused(self, refusal: Refusal) -> None:
        """Count a refusal by its code and outcome."""
        self.refused_total.inc(
            {'code': str(refusal.code), 'outcome': str(refusal.outcome)},
        )

    def streamed(self, tokens: int) -> None:
        """Count streamed tokens."""
        self.tokens_total.add({}, tokens)

    @contextlib.contextmanager
    def timed(self) -> Iterator[None]:
        """Time a whole call."""
        begun = time.perf_counter()
        yield
        self.call_seconds.observe({}, time.perf_counter() - begun)

    def render(self, entry: EntryInterface) -> tuple[bytes, str]:
        """Read the gauges off an entry and give the text of all metrics."""
        self.programs.set({}, len(entry.owner.table.programs))
        self.pending.set({}, len(entry.journal.pending))
        self.segments.set({}, entry.journal.segments_written)
        self.hosts.set({}, len(entry.fleet.hosts))
        self.forwarded.set({}, entry.routing.forwarded)
        self.version.set({}, entry.config.highest_version())
        body, headers = render(self.registry, ['text/plain'])
        return body, headers['Content-Type']
