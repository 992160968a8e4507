"""Which upstream host a call goes to."""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

SAME_REGION_ROUND_TRIP_MS = 1.0
CROSS_REGION_ROUND_TRIP_MS = 60.0
PREFILL_WEIGHT = 30.0


class HostView(NamedTuple):
    """What an entry believes of an upstream host.

    Attributes:
        sidecar: the sidecar's id.
        address: where it takes requests.
        zone: its availability zone.
        region: its region.
        slots: calls it runs at a time.
        reported_calls: calls it had at its last report.
        estimated_calls: calls it is believed to have now.
    """

    sidecar: str
    address: str
    zone: str
    region: str
    slots: int
    reported_calls: int
    estimated_calls: int


class PlacementRequest(NamedTuple):
    """What is to be placed.

    Attributes:
        program: the program's id.
        zone: where the entry is.
        region: where the entry is.
        prompt_tokens: tokens of the whole prompt.
        cached_tokens: prompt tokens known to be cached, by sidecar.
        expected_decode_ms: expected time of the answer once it runs.
        prefill_ms: time to compute one prompt token.
        avoid: sidecars that have just refused or failed.
    """

    program: str
    zone: str
    region: str
    prompt_tokens: int
    cached_tokens: dict[str, int]
    expected_decode_ms: float
    prefill_ms: float
    avoid: frozenset[str] = frozenset()


class Placement(Protocol):
    """A policy that picks an upstream host."""

    def choose(
        self, hosts: Sequence[HostView], request: PlacementRequest
    ) -> HostView | None:
        """Pick one of the hosts; None when there is none to pick."""


def round_trip_ms(host: HostView, request: PlacementRequest) -> float:
    """Estimate the way to a host and back."""
    if host.region != request.region:
        return CROSS_REGION_ROUND_TRIP_MS
    return 0 if host.zone == request.zone else SAME_REGION_ROUND_TRIP_MS


def without_avoided(
    hosts: Sequence[HostView], request: PlacementRequest
) -> Sequence[HostView]:
    """Leave out hosts to be avoided unless no other is left."""
    not_avoided = [host for host in hosts if host.sidecar not in request.avoid]
    return not_avoided or hosts


class ExpectedFinish:
    """Pick the host that is expected to finish the call first.

    Prefill counts more than its own time, since what one program computes
    again all others wait for.
    """

    def __init__(self, prefill_weight: float = PREFILL_WEIGHT) -> None:
        """Count prefill so many times."""
        self.prefill_weight = prefill_weight

    def choose(
        self, hosts: Sequence[HostView], request: PlacementRequest
    ) -> HostView | None:
        """Compare the expected finish at every usable host."""
        return min(
            without_avoided(hosts, request),
            key=lambda host: (self.finish_ms(host, request), host.sidecar),
            default=None,
        )

    def finish_ms(self, host: HostView, request: PlacementRequest) -> float:
        """Estimate wait, prefill and path; decoding is the same everywhere."""
        cached = request.cached_tokens.get(host.sidecar, 0)
        uncached_prefill_ms = (
            max(request.prompt_tokens - cached, 0) * request.prefill_ms
        )
        queued = max(host.estimated_calls + 1 - host.slots, 0)
        queue_wait_ms = queued * request.expected_decode_ms / max(host.slots, 1)
        return (
            round_trip_ms(host, request)
            + queue_wait_ms
            + uncached_prefill_ms * self.prefill_weight
        )


class RoundRobin:
    """Take the hosts in turn."""

    def __init__(self) -> None:
        """Start with the first."""
        self.position = 0

    def choose(
        self, hosts: Sequence[HostView], request: PlacementRequest
    ) -> HostView | None:
        """Pick the next host."""
        choices = sorted(without_avoided(hosts, request))
        if not choices:
            return None
        self.position += 1
        return choices[self.position % len(choices)]


class LeastLoaded:
    """Pick the host with the least reported load."""

    def __init__(self, rng: random.Random) -> None:
        """Break ties by `rng`."""
        self.rng = rng

    def choose(
        self, hosts: Sequence[HostView], request: PlacementRequest
    ) -> HostView | None:
        """Compare the reports as they are."""
        return min(
            without_avoided(hosts, request),
            key=lambda host: (host.reported_calls, self.rng.random()),
            default=None,
        )


class Sticky:
    """Stay with the host that served the program before."""

    def __init__(self, rng: random.Random) -> None:
        """Begin a program where the reported load is least."""
        self.fallback = LeastLoaded(rng)

    def choose(
        self, hosts: Sequence[HostView], request: PlacementRequest
    ) -> HostView | None:
        """Pick the host with the most cached tokens."""
        choices = without_avoided(hosts, request)
        caching = [host for host in choices if request.cached_tokens.get(host.sidecar)]
        if not caching:
            return self.fallback.choose(choices, request)
        return max(caching, key=lambda host: request.cached_tokens[host.sidecar])


def make_placement(name: str, rng: random.Random) -> Placement:
    """Make the policy of a name.

    Args:
        name: as in the settings.
        rng: the process's source of randomness.

    Raises:
        KeyError: there is no such policy.
    """
    factories: dict[str, Callable[[], Placement]] = {
        'expected-finish': ExpectedFinish,
        'round-robin': RoundRobin,
        'least-loaded': lambda: LeastLoaded(rng),
        'sticky': lambda: Sticky(rng),
    }
    return factories[name]()
