"""Spans by OpenTelemetry, written to a file."""

import contextlib
import json
import re
from collections.abc import Iterator, Sequence
from pathlib import Path

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

from pollenwalk.process.trace_header import TRACE_HEADER

TRACEPARENT_PATTERN = re.compile('00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}')


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


class FileSpanSource:
    """A share of all traces, kept in a file."""

    def __init__(self, path: str, share: float) -> None:
        """Append to `path`."""
        sampler = ParentBased(TraceIdRatioBased(share))
        self.provider = TracerProvider(sampler=sampler)
        exporter = FileExporter(Path(path))
        self.provider.add_span_processor(BatchSpanProcessor(exporter))
        self.tracer = self.provider.get_tracer('pollenwalk')
        self.propagator = TraceContextTextMapPropagator()

    @contextlib.contextmanager
    def span(self, name: str, parent: str) -> Iterator[str]:
        """Run a block in a span; gives the header for the next hop."""
        context = None
        if TRACEPARENT_PATTERN.fullmatch(parent):
            context = self.propagator.extract({TRACE_HEADER: parent})
        with self.tracer.start_as_current_span(name, context):
            carrier: dict[str, str] = {}
            self.propagator.inject(carrier)
            yield carrier.get(TRACE_HEADER, '')

    def close(self) -> None:
        """Write what is left."""
        self.provider.shutdown()
