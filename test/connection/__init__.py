"""Tests of connections to peers, callers and upstreams."""
