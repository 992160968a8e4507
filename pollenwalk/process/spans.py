"""OpenTelemetry spans, written to a file."""

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
    """Writes finished spans to a file, one JSON object per line."""

    def __init__(self, path: Path) -> None:
        """Create an exporter that appends to `path`."""
        self.path = path

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Append a batch of spans to the file."""
        with self.path.open('a', encoding='utf-8') as target:
            for span in spans:
                compact = json.dumps(json.loads(span.to_json()))
                target.write(f'{compact}\n')
        return SpanExportResult.SUCCESS


class FileSpanSource:
    """Creates spans and writes those of a sample of all traces to a file."""

    def __init__(self, path: str, share: float) -> None:
        """Create a source of spans.

        Args:
            path: file to which the spans are appended.
            share: share of the traces that are sampled, from 0 to 1. A trace
                that comes from another process keeps that process's decision.
        """
        sampler = ParentBased(TraceIdRatioBased(share))
        self.provider = TracerProvider(sampler=sampler)
        exporter = FileExporter(Path(path))
        self.provider.add_span_processor(BatchSpanProcessor(exporter))
        self.tracer = self.provider.get_tracer('pollenwalk')
        self.propagator = TraceContextTextMapPropagator()

    @contextlib.contextmanager
    def span(self, name: str, parent: str) -> Iterator[str]:
        """Run a block in a span.

        Args:
            name: name of the span.
            parent: traceparent header of the caller. If it is not valid, the
                span starts a new trace.

        Yields:
            The traceparent header for the next process.
        """
        context = None
        if TRACEPARENT_PATTERN.fullmatch(parent):
            context = self.propagator.extract({TRACE_HEADER: parent})
        with self.tracer.start_as_current_span(name, context):
            carrier: dict[str, str] = {}
            self.propagator.inject(carrier)
            yield carrier.get(TRACE_HEADER, '')

    def close(self) -> None:
        """Write the spans that are still buffered."""
        self.provider.shutdown()
