"""The HTTP endpoint for the metrics of a process."""

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from pollenwalk.connection.addresses import split_address
from pollenwalk.connection.connection_guard import ConnectionGuard
from pollenwalk.connection.http_server import KEEP_ALIVE_S, HttpServer
from pollenwalk.connection.plain_page import Page, PlainPage
from pollenwalk.process.quick_metrics import QuickCounter, QuickHistogram

# Upper bounds of the histograms' buckets in seconds, from the time of a disk sync
# to the longest time that a caller waits.
BUCKETS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
PATH = '/metrics'


class MetricSet:
    """The metrics of one process; names of times and sizes contain the unit."""

    def __init__(self) -> None:
        """Create an empty set."""
        self.registry = Registry()

    def counter(self, name: str, text: str) -> Counter:
        """Create and register a counter."""
        return QuickCounter(f'pollenwalk_{name}', text, registry=self.registry)

    def gauge(self, name: str, text: str) -> Gauge:
        """Create and register a gauge."""
        return Gauge(f'pollenwalk_{name}', text, registry=self.registry)

    def histogram(self, name: str, text: str) -> Histogram:
        """Create and register a histogram of times in seconds."""
        return QuickHistogram(
            f'pollenwalk_{name}',
            text,
            registry=self.registry,
            buckets=list(BUCKETS),
        )

    def closed_connections(self, role: str) -> Counter:
        """Create and register the counter of connections that limits have closed."""
        return self.counter(
            f'{role}_connections_closed_total',
            'HTTP connections closed because of a limit, by cause.',
        )

    def connection_bytes(self, role: str) -> Gauge:
        """Create and register the gauge of what connections hold."""
        return self.gauge(
            f'{role}_connection_bytes',
            'Bytes that all HTTP connections hold, by the count that is bounded.',
        )

    def render(self) -> Page:
        """Return all metrics in the Prometheus text format."""
        body, headers = render(self.registry, ['text/plain'])
        return Page(body=body, content_type=headers['Content-Type'])


def metrics_server(
    metrics: MetricSet,
    refresh: Callable[[], None],
    address: str,
    guard: ConnectionGuard,
    wrap: Callable[[PlainPage], object] | None = None,
) -> HttpServer:
    """Create the HTTP server for a process's metrics, without starting it.

    Args:
        metrics: the metrics to serve.
        refresh: updates the gauges before each scrape.
        address: `ip:port` to listen on.
        guard: bounds the connections of the process.
        wrap: returns an application that serves other paths besides; None for no
            others.
    """

    def show() -> Page:  # noqa: WPS430
        refresh()
        return metrics.render()

    page = PlainPage(PATH, show)
    app = wrap(page) if wrap else page
    return HttpServer(app, *split_address(address), KEEP_ALIVE_S, guard)
