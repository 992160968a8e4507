"""Spans for each hop, carried between processes as W3C trace context."""

import contextlib
import json
import re
from collections.abc import Iterator, Sequence
from pathlib import Path

from opentelemetry import trace
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

HEADER = 'traceparent'
HEADER_FORM = re.compile('00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}')


class FileExporter(SpanExporter):
    """Writes finished spans to a file, one JSON object a line."""

    def __init__(self, path: Path) -> None:
        """Append to `path`."""
        self.path = path

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write a batch of spans."""
        with self.path.open('a', encoding='utf-8') as target:
            for span in spans:
                compact = json.dumps(json.loads(span.to_json()))
                target.write(f'{compact}\n')
        return SpanExportResult.SUCCESS


class Tracer:
    """Starts spans and turns them into headers."""

    def __init__(self, provider: TracerProvider | None = None) -> None:
        """Use a provider; None traces nothing."""
        self.provider = provider
        self.propagator = TraceContextTextMapPropagator()
        self.tracer = provider.get_tracer('pollenwalk') if provider else None

    @contextlib.contextmanager
    def span(self, name: str, parent: str) -> Iterator[str]:
        """Run a block in a span.

        Args:
            name: the hop.
            parent: the traceparent header of the hop before, or nothing.

        Yields:
            The traceparent header for the next hop.
        """
        if self.tracer is None:
            yield parent
            return
        context = None
        if HEADER_FORM.fullmatch(parent):
            context = self.propagator.extract({HEADER: parent})
        with self.tracer.start_as_current_span(name, context):
            carrier: dict[str, str] = {}
            self.propagator.inject(carrier)
            yield carrier.get(HEADER, '')

    def close(self) -> None:
        """Write what is left."""
        if self.provider is not None:
            self.provider.shutdown()


def make_tracer(path: str, share: float) -> Tracer:
    """Make a tracer that writes a share of all traces to a file."""
    if not path:
        return Tracer()
    provider = TracerProvider(sampler=ParentBased(TraceIdRatioBased(share)))
    provider.add_span_processor(BatchSpanProcessor(FileExporter(Path(path))))
    return Tracer(provider)


__all__ = ('FileExporter', 'Tracer', 'make_tracer', 'trace')
