"""Connections to peers, callers and upstreams, and the messages sent over them."""
