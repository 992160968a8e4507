"""What a gateway does for urgent and for new programs while room is short."""

from collections.abc import Iterator

from pollenwalk.policy.request_priority import (
    PriorityScale,
    Urgency,
    all_ranks,
    is_late,
)
from pollenwalk.process.clock import Clock
from pollenwalk.request.gateway_call import Call
from pollenwalk.version.active_configuration import ActiveConfiguration
from pollenwalk.version.routes import RoutingConfiguration


class LoadAdmission:
    """Applies the policies of urgency by the configuration in force.

    Attributes:
        active_configuration: the configuration.
        sends_priorities: whether hosts are told priorities even if the
            configuration has no organisations.
        scale: levels of the configuration's ranks.
        scale_of: the configuration that `scale` belongs to.
    """

    def __init__(
        self,
        clock: Clock,
        active_configuration: ActiveConfiguration,
        sends_priorities: bool = False,
    ) -> None:
        """Create the policies of a gateway that has had no calls yet."""
        self.clock = clock
        self.active_configuration = active_configuration
        self.sends_priorities = sends_priorities
        self.scale = PriorityScale([])
        self.scale_of: RoutingConfiguration | None = None

    @property
    def has_organisations(self) -> bool:
        """Return whether the configuration in force has organisations."""
        current = self.active_configuration.current
        return current is not None and current.organisations is not None

    def host_priority(self, call: Call, begins_program: bool) -> int | None:
        """Return the priority that a host is told with a call; None for none.

        Args:
            call: the call.
            begins_program: whether it is the first of its program.
        """
        if not self.sends_priorities and not self.has_organisations:
            return None
        self.follow_configuration()
        metadata = call.request.metadata
        since_arrival_ms = self.clock.now_ms() - call.request.arrived_ms
        urgency = Urgency(
            call.priority_rank,
            metadata.program or metadata.id,
            begins_program,
            is_late(metadata.program_remaining_ms, since_arrival_ms),
        )
        return self.scale.level(urgency)

    def follow_configuration(self) -> None:
        """Rebuild the scale if another configuration is in force."""
        current = self.active_configuration.current
        if current is None or current is self.scale_of:
            return
        self.scale_of = current
        self.scale = PriorityScale(
            all_ranks(organisation_priorities(current), route_priorities(current))
        )


def organisation_priorities(configuration: RoutingConfiguration) -> set[int]:
    """Return the priorities of all organisations, and of calls without one."""
    organisations = configuration.organisations or {}
    return {one.priority or 0 for one in organisations.values()} | {0}


def route_priorities(configuration: RoutingConfiguration) -> Iterator[int]:
    """Yield the priorities of all routes."""
    for routes in configuration.routes.values():
        for route in routes:
            yield route.priority
