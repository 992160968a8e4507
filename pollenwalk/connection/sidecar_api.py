"""Health checks and metrics of a sidecar over HTTP; its calls arrive over gRPC."""

from aioprometheus import Gauge, Registry, render
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from pollenwalk.connection.health_pages import healthz, readiness_response
from pollenwalk.process.sidecar import Sidecar


class SidecarApi:
    """The HTTP routes of one sidecar."""

    def __init__(self, sidecar: Sidecar) -> None:
        """Create the API of `sidecar` and register its gauges."""
        self.sidecar = sidecar
        self.registry = Registry()
        self.running = self.gauge('running_calls', 'Calls at the upstream.')
        self.waiting = self.gauge('waiting_calls', 'Calls in the queue.')
        self.kept_calls = self.gauge('kept_calls', 'Calls whose result is kept.')
        self.leases = self.gauge('memory_leases', 'Leases on engine memory.')

    def gauge(self, name: str, text: str) -> Gauge:
        """Register a gauge and return it; `text` is its help text."""
        return Gauge(f'pollenwalk_sidecar_{name}', text, registry=self.registry)

    def app(self) -> Starlette:
        """Build the ASGI application."""
        return Starlette(
            routes=[
                Route('/healthz', healthz),
                Route('/readyz', self.readyz),
                Route('/metrics', self.metrics),
            ],
        )

    async def readyz(self, request: Request) -> Response:
        """Answer `GET /readyz`: 200 if the sidecar accepts calls, else 503."""
        ready = self.sidecar.executor.spec is not None and not self.sidecar.leaving
        return readiness_response(ready=ready)

    async def metrics(self, request: Request) -> Response:
        """Answer `GET /metrics` in the Prometheus text format."""
        leases = self.sidecar.executor.leases
        self.running.set({}, self.sidecar.executor.slot_queue.running)
        self.waiting.set({}, len(self.sidecar.executor.slot_queue.waiting))
        self.kept_calls.set({}, len(self.sidecar.executor.calls.by_id))
        self.leases.set({}, len(leases.expires_ms) if leases else 0)
        body, headers = render(self.registry, ['text/plain'])
        return Response(body, media_type=headers['Content-Type'])
