"""Tracing of calls across processes with W3C trace context.

OpenTelemetry is imported only if traces are recorded, because it takes a tenth
of the memory that a process may use.
"""

import contextlib
from collections.abc import Iterator
from typing import Protocol


class SpanSource(Protocol):
    """Creates spans and records them."""

    def span(
        self,
        name: str,
        parent: str,
    ) -> contextlib.AbstractContextManager[str]:
        """Run a block in a span; return a context manager.

        Args:
            name: name of the span.
            parent: traceparent header of the caller; empty for none.

        Returns:
            A context manager that gives the traceparent header for the next
            process.
        """

    def close(self) -> None:
        """Write the spans that are still buffered."""


class Tracer:
    """Creates spans if tracing is on; otherwise only passes the header on."""

    def __init__(self, source: SpanSource | None = None) -> None:
        """Create a tracer; without a source no spans are recorded."""
        self.source = source

    @contextlib.contextmanager
    def span(self, name: str, parent: str) -> Iterator[str]:
        """Run a block in a span.

        Args:
            name: name of the span.
            parent: traceparent header of the caller; empty for none.

        Yields:
            The traceparent header for the next process.
        """
        if self.source is None:
            yield parent
            return
        with self.source.span(name, parent) as header:
            yield header

    def close(self) -> None:
        """Write the spans that are still buffered."""
        if self.source is not None:
            self.source.close()


def make_tracer(path: str, share: float) -> Tracer:
    """Create a tracer that appends its spans to a file, or records none.

    Args:
        path: the file; empty to record no spans.
        share: share of the traces that are sampled, from 0 to 1.
    """
    if not path:
        return Tracer()
    from pollenwalk.process.spans import FileSpanSource  # noqa: PLC0415, WPS433

    return Tracer(FileSpanSource(path, share))
