"""The HTTP header that carries the W3C trace context between processes."""

TRACE_HEADER = 'traceparent'
