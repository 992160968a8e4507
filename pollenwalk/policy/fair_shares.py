"""Fair shares: which organisation's new programs are refused first under shortage.

Without a limit for each organisation, one that sends several times its usual load would
take the capacity that the others need, by the number of its requests.
Only organisations that have been active lately have a state.
"""

from math import exp, sqrt
from typing import NamedTuple

from pollenwalk.policy.decayed_count import DecayedCount
from pollenwalk.policy.stretch_admission import Crowding

# Demand is counted over this time. If an organisation that sends fifteen times its share
# is found only after 5 s, hosts have a long backlog by then.
MEMORY_MS = 2000.0
# An organisation has more than its share if it tries to begin more programs than
# DEMAND_FACTOR times as many as the others, in proportion to shares, plus DEVIATIONS
# standard deviations, and at least MIN_DEMAND. So one that sends as much as the others
# is rarely found to exceed its share.
DEMAND_FACTOR = 2.0
DEVIATIONS = 1.0
MIN_DEMAND = 3.0
# An organisation is forgotten once so little of its demand counts.
FORGOTTEN_DEMAND = 0.05
FORGET_INTERVAL_MS = 1000.0
# The wait at the best host counts this many times for an organisation that has more
# than its share, so that it is refused while others are still admitted.
WAIT_FACTOR = 4.0
# Hosts are short of room for such an organisation from this load or this use of spare
# time on, before they are short for all.
SHORT_LOAD = 0.9
SHORT_USED = 0.2
# Below this load they have room, however long turns take.
ROOM_LOAD = 0.75
# While room is short, such an organisation may begin programs at its share of the rate
# at which programs end, then at less and less of that until room is not short any more.
# Afterwards the rate grows, slowly while hosts are nearly full.
MIN_RATE = 0.25
MAX_RATE = 64.0
DECREASE_MS = 1000.0
INCREASE_MS = 3000.0
INCREASE_WITH_ROOM_MS = 500.0


class ExcessRate:
    """How fast an organisation with more than its share may begin programs.

    Attributes:
        factor: the rate as a multiple of its share; MAX_RATE for no limit.
        tokens: how many programs it may begin now.
    """

    def __init__(self, now_ms: float) -> None:
        """Start without a limit."""
        self.factor = MAX_RATE
        self.tokens = 1.0
        self.updated_at_ms = now_ms

    def may_begin(
        self, crowding: Crowding, programs_per_ms: float, now_ms: float
    ) -> bool:
        """Return whether the organisation may begin a program, and count it if so.

        Args:
            crowding: what was observed of recent turns.
            programs_per_ms: its share of the programs that end.
            now_ms: the current time.
        """
        since_ms = now_ms - self.updated_at_ms
        self.updated_at_ms = now_ms
        self.adapt(crowding, since_ms)
        if self.factor >= MAX_RATE:
            return True
        self.tokens = min(self.tokens + programs_per_ms * self.factor * since_ms, 1)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def adapt(self, crowding: Crowding, since_ms: float) -> None:
        """Lower or raise the rate by what was observed since the last time."""
        has_room = crowding.host_load < ROOM_LOAD
        is_short = crowding.used >= SHORT_USED or crowding.host_load >= SHORT_LOAD
        if is_short and not has_room:
            lowered = min(self.factor, 1) * exp(-since_ms / DECREASE_MS)
            self.factor = max(lowered, MIN_RATE)
            return
        growth_ms = INCREASE_WITH_ROOM_MS if has_room else INCREASE_MS
        # The bound keeps the power from overflowing after a long pause.
        growth = exp(min(since_ms / growth_ms, MAX_RATE))
        self.factor = min(self.factor * growth, MAX_RATE)


class Activity(NamedTuple):
    """What one organisation has asked for lately.

    Attributes:
        weight: size of its share, as its quota in requests a second; 0 if it has none.
        demand: programs that it tried to begin.
        rate: how fast it may begin programs while it has more than its share.
    """

    weight: float
    demand: DecayedCount
    rate: ExcessRate


class FairShares:
    """Compares what the active organisations ask for with their shares.

    Shares are in proportion to quotas; an organisation without a quota has the mean
    share of those with one, or an equal one if there are none.

    Attributes:
        active: the organisations that were active lately, by name.
    """

    def __init__(self) -> None:
        """Start without active organisations."""
        self.active: dict[str, Activity] = {}
        self.forgot_at_ms = 0.0

    def record_demand(self, organisation: str, weight: float, now_ms: float) -> None:
        """Record that an organisation tries to begin a program.

        Args:
            organisation: its name.
            weight: its quota in requests a second; 0 if it has none.
            now_ms: the current time.
        """
        self.forget_inactive(now_ms)
        known = self.active.get(organisation)
        if known is None:
            known = Activity(weight, DecayedCount(MEMORY_MS), ExcessRate(now_ms))
        known.demand.add(1, now_ms)
        self.active[organisation] = known._replace(weight=weight)

    def exceeds_share(self, organisation: str, now_ms: float) -> bool:
        """Return whether an organisation asked for more than its share lately."""
        own = self.active.get(organisation)
        if own is None or own.demand.at(now_ms) < MIN_DEMAND:
            return False
        share = self.share(organisation)
        if share >= 1:
            return False
        everyone = sum(one.demand.at(now_ms) for one in self.active.values())
        others = everyone - own.demand.at(now_ms)
        bound = others * share / (1 - share) * DEMAND_FACTOR
        return own.demand.at(now_ms) > bound + DEVIATIONS * sqrt(bound)

    def may_begin(
        self,
        organisation: str,
        crowding: Crowding,
        programs_per_ms: float,
        now_ms: float,
    ) -> bool:
        """Return whether an organisation with more than its share may begin a program.

        Args:
            organisation: name of an organisation that exceeds its share.
            crowding: what was observed of recent turns.
            programs_per_ms: how many programs of all organisations end.
            now_ms: the current time.
        """
        own_per_ms = programs_per_ms * self.share(organisation)
        rate = self.active[organisation].rate
        return rate.may_begin(crowding, own_per_ms, now_ms)

    def share(self, organisation: str) -> float:
        """Return the share of one of the active organisations, from 0 to 1."""
        weights = [one.weight for one in self.active.values() if one.weight]
        usual = sum(weights) / len(weights) if weights else 1
        unweighted = len(self.active) - len(weights)
        own = self.active[organisation].weight or usual
        return own / (sum(weights) + unweighted * usual)

    def forget_inactive(self, now_ms: float) -> None:
        """Drop organisations that were not active lately, at most once a second."""
        if now_ms < self.forgot_at_ms + FORGET_INTERVAL_MS:
            return
        self.forgot_at_ms = now_ms
        self.active = {
            name: one
            for name, one in self.active.items()
            if one.demand.at(now_ms) >= FORGOTTEN_DEMAND
        }


def counted_wait_ms(wait_ms: float, exceeds_share: bool) -> float:
    """Return the wait that counts for the admission of a new program.

    Args:
        wait_ms: the expected wait at the best host.
        exceeds_share: whether its organisation had more than its share lately.
    """
    return wait_ms * WAIT_FACTOR if exceeds_share else wait_ms
