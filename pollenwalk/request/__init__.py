"""Handling of requests and calls by gateways and entries."""
