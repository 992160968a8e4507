"""The metrics of an entry; names of times and sizes contain the unit."""

import contextlib
import time
from collections.abc import Iterator

from aioprometheus import Counter, Gauge, Registry, Summary, render

from pollenwalk.errors import Refusal
from pollenwalk.process.entry_interface import EntryInterface


class EntryMetrics:
    """Counters updated by requests, and gauges updated at each scrape."""

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
        """Create and register a counter."""
        return Counter(f'pollenwalk_{name}', text, registry=self.registry)

    def gauge(self, name: str, text: str) -> Gauge:
        """Create and register a gauge."""
        return Gauge(f'pollenwalk_{name}', text, registry=self.registry)

    def count_program(self) -> None:
        """Count a program that has begun."""
        self.begun_total.inc({})

    def count_refusal(self, refusal: Refusal) -> None:
        """Count a refusal by its code and outcome."""
        self.refused_total.inc(
            {'code': str(refusal.code), 'outcome': str(refusal.outcome)},
        )

    def count_tokens(self, tokens: int) -> None:
        """Count streamed tokens."""
        self.tokens_total.add({}, tokens)

    @contextlib.contextmanager
    def time_call(self) -> Iterator[None]:
        """Record the duration of the block as that of a call, unless it raises."""
        started = time.perf_counter()
        yield
        self.call_seconds.observe({}, time.perf_counter() - started)

    def render(self, entry: EntryInterface) -> tuple[bytes, str]:
        """Update the gauges from an entry and return all metrics.

        Returns:
            The metrics in the Prometheus text format, and their content type.
        """
        self.programs.set({}, len(entry.owner.table.programs))
        self.pending.set({}, len(entry.journal.pending))
        self.segments.set({}, entry.journal.segments_written)
        self.hosts.set({}, len(entry.fleet.hosts))
        self.forwarded.set({}, entry.routing.forwarded)
        self.version.set({}, entry.config.highest_version())
        body, headers = render(self.registry, ['text/plain'])
        return body, headers['Content-Type']
