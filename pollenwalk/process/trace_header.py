"""The header that carries a trace from hop to hop (W3C trace context)."""

TRACE_HEADER = 'traceparent'
