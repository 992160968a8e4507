"""Priorities that hosts are told, and admission of new programs under load."""

import random
from collections.abc import Iterator
from typing import NamedTuple

from loguru import logger

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.policy.fair_shares import FairShares, counted_wait_ms
from pollenwalk.policy.program_admission import draw_retry_after_ms
from pollenwalk.policy.request_priority import (
    PriorityScale,
    Urgency,
    all_ranks,
    is_late,
    is_promoted,
)
from pollenwalk.policy.stretch_admission import MAX_RANK_STEPS, StretchAdmission
from pollenwalk.policy.turn_times import TurnTime
from pollenwalk.process.clock import Clock
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.request.gateway_call import Call
from pollenwalk.version.active_configuration import ActiveConfiguration
from pollenwalk.version.routes import RoutingConfiguration

# Reasons for which new programs are refused.
STRETCH = 'stretch'
SHARE = 'share'


class AdmissionSwitches(NamedTuple):
    """What is done even if the configuration has no organisations.

    Attributes:
        sends_priorities: whether hosts are told priorities.
        refuses_programs: whether new programs are refused while running ones can't
            stay in time.
    """

    sends_priorities: bool = False
    refuses_programs: bool = False


class LoadAdmission:
    """Applies the policies of urgency and of admission under load.

    Attributes:
        active_configuration: the configuration in force.
        switches: what is done without organisations.
        stretch: what was observed of turns, and the admission by it.
        shares: what organisations asked for lately.
        scale: levels of the configuration's ranks.
        scale_of: the configuration that `scale` belongs to.
    """

    def __init__(
        self,
        clock: Clock,
        active_configuration: ActiveConfiguration,
        metrics: GatewayMetrics,
        rng: random.Random,
        switches: AdmissionSwitches,
    ) -> None:
        """Create the policies of a gateway that has had no calls yet."""
        self.clock = clock
        self.active_configuration = active_configuration
        self.metrics = metrics
        self.rng = rng
        self.switches = switches
        self.stretch = StretchAdmission()
        self.shares = FairShares()
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
        if not self.switches.sends_priorities and not self.has_organisations:
            return None
        self.follow_configuration()
        metadata = call.request.metadata
        since_arrival_ms = self.clock.now_ms() - call.request.arrived_ms
        urgency = Urgency(
            call.priority_rank,
            program_of(call),
            begins_program,
            is_late(metadata.program_remaining_ms, since_arrival_ms),
        )
        return self.scale.level(urgency)

    def record_turn(self, turn: TurnTime) -> None:
        """Record a turn that ended just now without an error."""
        self.stretch.record(turn, self.clock.now_ms())

    def reason_to_refuse(self, call: Call) -> str:
        """Return why a program may not begin now; empty if it may.

        A program that may begin is counted as begun.

        Args:
            call: the first call of the program.
        """
        if not self.switches.refuses_programs and not self.has_organisations:
            return ''
        now_ms = self.clock.now_ms()
        if self.exceeds_share(call) and not self.may_begin_beyond_share(call):
            return SHARE
        if self.stretch.may_begin(call.upstream, self.rank_steps(call), now_ms):
            return ''
        return SHARE if self.exceeds_share(call) else STRETCH

    def record_demand(self, call: Call) -> None:
        """Record that the caller's organisation, if any, tries to begin a program."""
        organisation = call.organisation
        if organisation is not None:
            now_ms = self.clock.now_ms()
            self.shares.record_demand(
                organisation.name, organisation.rate_per_s, now_ms
            )

    def exceeds_share(self, call: Call) -> bool:
        """Return whether the caller's organisation asked for too much lately."""
        return self.shares.exceeds_share(call.organisation_name, self.clock.now_ms())

    def may_begin_beyond_share(self, call: Call) -> bool:
        """Return whether an organisation that exceeds its share may begin a program."""
        now_ms = self.clock.now_ms()
        load = self.stretch.load_of(call.upstream, now_ms)
        return self.shares.may_begin(
            call.organisation_name,
            load.crowding(now_ms),
            load.programs_per_ms(now_ms),
            now_ms,
        )

    def counted_wait_ms(self, call: Call, wait_ms: float) -> float:
        """Return the wait at the best host that counts for a new program."""
        return counted_wait_ms(wait_ms, self.exceeds_share(call))

    def rank_steps(self, call: Call) -> int:
        """Return how many places a new program leaves to others."""
        if self.exceeds_share(call):
            return MAX_RANK_STEPS
        self.follow_configuration()
        return self.scale.position(call.priority_rank, is_promoted(program_of(call)))

    def refuse(self, call: Call, reason: str) -> Refusal:
        """Record that a new program is refused, and return the refusal.

        Args:
            call: the first call of the program.
            reason: the reason.
        """
        now_ms = self.clock.now_ms()
        retry_after_ms = draw_retry_after_ms(call.remaining_ms(now_ms), self.rng)
        used = self.stretch.load_of(call.upstream, now_ms).spare_time_used(now_ms)
        self.metrics.count_refused_program(reason)
        logger.info(
            'program_refused',
            request=call.id,
            program=call.request.metadata.program,
            organisation=call.organisation_name,
            reason=reason,
            spare_time_used=round(used, 2),
            rank_steps=self.rank_steps(call),
            retry_after_ms=round(retry_after_ms),
        )
        return Refusal(
            RefusalCode.OVERLOADED,
            f'programs at upstream {call.upstream} take too long for one more',
            retry_after_ms=round(retry_after_ms),
        )

    def follow_configuration(self) -> None:
        """Rebuild the scale if another configuration is in force."""
        current = self.active_configuration.current
        if current is None or current is self.scale_of:
            return
        self.scale_of = current
        self.scale = PriorityScale(
            all_ranks(organisation_priorities(current), route_priorities(current))
        )


def program_of(call: Call) -> str:
    """Return the id of a call's program, or of the call if it belongs to none."""
    return call.request.metadata.program or call.id


def organisation_priorities(configuration: RoutingConfiguration) -> set[int]:
    """Return the priorities of all organisations, and of calls without one."""
    organisations = configuration.organisations or {}
    return {one.priority or 0 for one in organisations.values()} | {0}


def route_priorities(configuration: RoutingConfiguration) -> Iterator[int]:
    """Yield the priorities of all routes."""
    for routes in configuration.routes.values():
        for route in routes:
            yield route.priority
