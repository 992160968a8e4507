"""Requests to a sidecar that do not concern a single call."""

from typing import NamedTuple


class Renew(NamedTuple):
    """Request to renew the leases of these programs on engine memory."""

    programs: list[str]


class Release(NamedTuple):
    """Request to free the engine memory of these programs, which have ended."""

    programs: list[str]


class Drain(NamedTuple):
    """Request of an operator that a sidecar accept no new calls."""
