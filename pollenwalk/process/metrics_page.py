"""The page on which a process shows its metrics."""

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from pollenwalk.connection.addresses import split_address
from pollenwalk.connection.http_server import HttpServer

# From a sync of a disk to the longest time that a caller waits, in seconds.
BUCKETS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
PATH = '/metrics'


class MetricSet:
    """The metrics of one process, with their units in their names."""

    def __init__(self) -> None:
        """Start with none."""
        self.registry = Registry()

    def counter(self, name: str, text: str) -> Counter:
        """Register a counter."""
        return Counter(f'pollenwalk_{name}', text, registry=self.registry)

    def gauge(self, name: str, text: str) -> Gauge:
        """Register a gauge."""
        return Gauge(f'pollenwalk_{name}', text, registry=self.registry)

    def histogram(self, name: str, text: str) -> Histogram:
        """Register a histogram of times."""
        return Histogram(
            f'pollenwalk_{name}',
            text,
            registry=self.registry,
            buckets=list(BUCKETS),
        )

    def render(self) -> Response:
        """Write all metrics as text."""
        body, headers = render(self.registry, ['text/plain'])
        return Response(body, headers=headers)


def metrics_server(
    metrics: MetricSet,
    refresh: Callable[[], None],
    address: str,
) -> HttpServer:
    """Make the server of a process's metrics.

    Args:
        metrics: what to show.
        refresh: sets the gauges before each reading.
        address: where to listen.
    """

    async def show(_: Request) -> Response:  # noqa: WPS430
        refresh()
        return metrics.render()

    app = Starlette(routes=[Route(PATH, show)])
    return HttpServer(app, *split_address(address))
