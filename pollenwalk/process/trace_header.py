"""The HTTP header that carries a trace between processes (W3C trace context)."""

TRACE_HEADER = 'traceparent'
