"""Spans for each hop, carried between processes as W3C trace context.

The tracing library is imported only where traces are kept: it would take a
tenth of the memory that a process may have.
"""

import contextlib
from collections.abc import Iterator
from typing import Protocol


class SpanSource(Protocol):
    """Starts spans."""

    def span(
        self,
        name: str,
        parent: str,
    ) -> contextlib.AbstractContextManager[str]:
        """Run a block in a span; gives the header for the next hop."""

    def close(self) -> None:
        """Write what is left."""


class Tracer:
    """Starts spans at a source, or passes the header on."""

    def __init__(self, source: SpanSource | None = None) -> None:
        """Use a source; None traces nothing."""
        self.source = source

    @contextlib.contextmanager
    def span(self, name: str, parent: str) -> Iterator[str]:
        """Run a block in a span.

        Args:
            name: the hop.
            parent: the traceparent header of the hop before, or nothing.

        Yields:
            The traceparent header for the next hop.
        """
        if self.source is None:
            yield parent
            return
        with self.source.span(name, parent) as header:
            yield header

    def close(self) -> None:
        """Write what is left."""
        if self.source is not None:
            self.source.close()


def make_tracer(path: str, share: float) -> Tracer:
    """Make a tracer that writes a share of all traces to a file."""
    if not path:
        return Tracer()
    from pollenwalk.process.spans import FileSpanSource  # noqa: PLC0415, WPS433

    return Tracer(FileSpanSource(path, share))
