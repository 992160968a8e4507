"""Placement policies: which upstream host an entry sends a call to."""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

# Assumed round trips to hosts outside the entry's zone.
SAME_REGION_ROUND_TRIP_MS = 1.0
CROSS_REGION_ROUND_TRIP_MS = 60.0
# Weight of prefill time in `ExpectedFinish`.
PREFILL_WEIGHT = 30.0


class HostView(NamedTuple):
    """What an entry knows of an upstream host.

    Attributes:
        sidecar: id of the host's sidecar.
        address: where the sidecar accepts requests.
        zone: availability zone of the host.
        region: region of the host.
        slots: calls that the host runs at the same time.
        reported_calls: calls running and queued at the host's last report.
        estimated_calls: calls estimated to run or wait at the host now.
    """

    sidecar: str
    address: str
    zone: str
    region: str
    slots: int
    reported_calls: int
    estimated_calls: int


class PlacementRequest(NamedTuple):
    """A call that is to be placed on a host.

    Attributes:
        program: id of the call's program.
        zone: availability zone of the entry.
        region: region of the entry.
        prompt_tokens: tokens of the whole prompt.
        cached_tokens: prompt tokens cached at each host, by id of its sidecar.
        expected_decode_ms: expected time to generate the answer.
        prefill_ms: time to compute one prompt token, as declared for the upstream.
        avoid: ids of sidecars that refused or lost this call before.
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
    """A policy that chooses an upstream host for a call."""

    def choose(
        self, hosts: Sequence[HostView], request: PlacementRequest
    ) -> HostView | None:
        """Return the chosen host, or None if there are no hosts."""


def round_trip_ms(host: HostView, request: PlacementRequest) -> float:
    """Return the assumed round trip between the entry and a host."""
    if host.region != request.region:
        return CROSS_REGION_ROUND_TRIP_MS
    return 0 if host.zone == request.zone else SAME_REGION_ROUND_TRIP_MS


def without_avoided(
    hosts: Sequence[HostView], request: PlacementRequest
) -> Sequence[HostView]:
    """Return the hosts that are not to be avoided, or all if none is left."""
    not_avoided = [host for host in hosts if host.sidecar not in request.avoid]
    return not_avoided or hosts


class ExpectedFinish:
    """Chooses the host that is expected to finish the call first.

    Prefill is weighted higher than the time it takes, because all other calls at
    the host wait while one program's prompt is computed again.
    """

    def __init__(self, prefill_weight: float = PREFILL_WEIGHT) -> None:
        """Multiply the time of prefill by `prefill_weight` in the comparison."""
        self.prefill_weight = prefill_weight

    def choose(
        self, hosts: Sequence[HostView], request: PlacementRequest
    ) -> HostView | None:
        """Return the host with the earliest expected finish."""
        return min(
            without_avoided(hosts, request),
            key=lambda host: (self.finish_ms(host, request), host.sidecar),
            default=None,
        )

    def finish_ms(self, host: HostView, request: PlacementRequest) -> float:
        """Return the cost in ms by which hosts are compared; the lowest is best.

        The cost is the sum of the round trip, the wait for a slot and the weighted
        prefill. Decoding is left out, as it takes the same time at every host.
        """
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
    """Chooses the hosts in rotation."""

    def __init__(self) -> None:
        """Start the rotation."""
        self.position = 0

    def choose(
        self, hosts: Sequence[HostView], request: PlacementRequest
    ) -> HostView | None:
        """Return the next host in rotation."""
        choices = sorted(without_avoided(hosts, request))
        if not choices:
            return None
        self.position += 1
        return choices[self.position % len(choices)]


class LeastLoaded:
    """Chooses the host with the lowest reported load."""

    def __init__(self, rng: random.Random) -> None:
        """Use `rng` to choose among hosts with equal load."""
        self.rng = rng

    def choose(
        self, hosts: Sequence[HostView], request: PlacementRequest
    ) -> HostView | None:
        """Return the host that reported the fewest calls.

        Calls sent since the last report are not counted.
        """
        return min(
            without_avoided(hosts, request),
            key=lambda host: (host.reported_calls, self.rng.random()),
            default=None,
        )


class Sticky:
    """Chooses the host that served the program before."""

    def __init__(self, rng: random.Random) -> None:
        """Use `LeastLoaded` for programs that no host has cached tokens of."""
        self.fallback = LeastLoaded(rng)

    def choose(
        self, hosts: Sequence[HostView], request: PlacementRequest
    ) -> HostView | None:
        """Return the host with the most cached tokens of the program."""
        choices = without_avoided(hosts, request)
        caching = [host for host in choices if request.cached_tokens.get(host.sidecar)]
        if not caching:
            return self.fallback.choose(choices, request)
        return max(caching, key=lambda host: request.cached_tokens[host.sidecar])


def make_placement(name: str, rng: random.Random) -> Placement:
    """Return a new placement policy.

    Args:
        name: name of the policy as in the settings.
        rng: random number generator for breaking ties.

    Raises:
        KeyError: there is no policy of this name.
    """
    factories: dict[str, Callable[[], Placement]] = {
        'expected-finish': ExpectedFinish,
        'round-robin': RoundRobin,
        'least-loaded': lambda: LeastLoaded(rng),
        'sticky': lambda: Sticky(rng),
    }
    return factories[name]()
