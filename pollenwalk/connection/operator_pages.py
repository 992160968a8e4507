"""Pages of an entry for operators: liveness, readiness and metrics."""

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from pollenwalk.connection.health_pages import healthz, readiness_response
from pollenwalk.process.entry import Entry
from pollenwalk.process.metrics import EntryMetrics
from pollenwalk.version.resources import ProgramSpec


class OperatorPages:
    """The pages of an entry for operators."""

    def __init__(self, entry: Entry, metrics: EntryMetrics) -> None:
        """Create the pages of `entry`, whose metrics are `metrics`."""
        self.entry = entry
        self.metrics = metrics

    def routes(self) -> list[Route]:
        """Return the routes of the pages."""
        return [
            Route('/healthz', healthz),
            Route('/readyz', self.readyz),
            Route('/metrics', self.show_metrics),
        ]

    async def readyz(self, request: Request) -> Response:
        """Answer `GET /readyz`: 200 if the entry can serve calls, else 503."""
        ready = self.entry.ready and not self.entry.stopping and self.can_serve()
        return readiness_response(ready=ready)

    def can_serve(self) -> bool:
        """Return whether programs are declared and all their upstreams have hosts.

        Only hosts that may get new calls are considered.
        """
        names = [
            name
            for spec in self.entry.config.specs.values()
            if isinstance(spec, ProgramSpec)
            for name in spec.upstreams
        ]
        return bool(names) and all(
            self.entry.fleet.available_hosts(name) for name in names
        )

    async def show_metrics(self, request: Request) -> Response:
        """Answer `GET /metrics` in the Prometheus text format."""
        body, media_type = self.metrics.render(self.entry)
        return Response(body, media_type=media_type)
