"""Tests of the handling of requests and calls."""
