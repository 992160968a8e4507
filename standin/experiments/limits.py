"""Ways to keep a host's limit as a sum over all gateways, on the same arrivals.

Calls arrive at random times, at some gateways far more often than at others. First
there is hardly any demand, then all gateways get calls at once. Each way says for each
call whether, and after which wait, it may be sent. Messages take no time here but for
the gossip, whose delay is what it is about.
"""

import random
from collections.abc import Iterator
from typing import Any, NamedTuple, Protocol

from pollenwalk.connection.limit_messages import (
    BorrowShares,
    HostStart,
    LimitNews,
    RequestPermit,
)
from pollenwalk.policy.permit_schedule import PermitSchedule
from pollenwalk.process.keeper_members import Member, Members
from pollenwalk.process.permit_allocator import (
    RENEWAL_INTERVAL_MS,
    PermitAllocator,
    rank_owners,
)

SIZES = (4, 18, 60)
LIMITS_PER_S = (2.9, 40.0)
MAX_WAIT_MS = 500.0
QUIET_MS = 20_000.0
END_MS = 80_000.0
# Demand as a multiple of the limit, before and after QUIET_MS.
QUIET_DEMAND = 0.02
CROWD_DEMAND = 4.0
WINDOW_MS = 4000.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
GOSSIP_DELAY_MS = 250.0
GOSSIP_WINDOW_MS = 1000.0
MS_PER_SECOND = 1000
HOST = HostStart('i-1', 'a', 1, 'v1')
REGIONS = {'a': 'east', 'b': 'east', 'c': 'west'}


class Outcome(NamedTuple):
    """One way at one size and limit.

    Attributes:
        way: name of the way.
        gateways: how many gateways share the limit.
        limit_per_s: the limit.
        used: share of the limit that was used in the crowd.
        most_in_window: the most requests within WINDOW_MS.
        allowed_in_window: how many the host bears.
        median_wait_ms: wait of the calls that were sent.
        asked_per_send: messages to a keeper for each call that was sent.
    """

    way: str
    gateways: int
    limit_per_s: float
    used: float
    most_in_window: int
    allowed_in_window: float
    median_wait_ms: float
    asked_per_send: float


class Way(Protocol):
    """Decides for all gateways."""

    asked: int

    def request(self, gateway: int, now_ms: float) -> float | None:
        """Return the wait until a call may be sent; None to refuse it."""


class EqualShares:
    """Each gateway has the same part of the limit, and saves a permit while idle."""

    def __init__(self, gateways: int, per_second: float) -> None:
        """Start without saved permits."""
        self.asked = 0
        self.part_per_s = per_second / gateways
        self.schedules = [PermitSchedule(0) for _ in range(gateways)]

    def request(self, gateway: int, now_ms: float) -> float | None:
        """Take a permit of the gateway's own."""
        return self.schedules[gateway].take(self.part_per_s, now_ms, MAX_WAIT_MS)


class TimeSlots:
    """The gateways have turns of one call each; what one does not use is lost."""

    def __init__(self, gateways: int, per_second: float) -> None:
        """Divide time into slots."""
        self.asked = 0
        self.slot_ms = MS_PER_SECOND / per_second
        self.round_ms = self.slot_ms * gateways
        self.next_ms = [slot * self.slot_ms for slot in range(gateways)]

    def request(self, gateway: int, now_ms: float) -> float | None:
        """Take the gateway's next slot."""
        while self.next_ms[gateway] < now_ms:
            self.next_ms[gateway] += self.round_ms
        wait_ms = self.next_ms[gateway] - now_ms
        if wait_ms > MAX_WAIT_MS:
            return None
        self.next_ms[gateway] += self.round_ms
        return wait_ms


class Gossip:
    """Each gateway adds up its own last sends and those it has heard of."""

    def __init__(self, gateways: int, per_second: float) -> None:
        """Start without sends."""
        self.asked = 0
        self.target = per_second * GOSSIP_WINDOW_MS / MS_PER_SECOND
        self.sent: list[tuple[float, int]] = []

    def request(self, gateway: int, now_ms: float) -> float | None:
        """Send at once if the known sends leave room."""
        self.sent = [one for one in self.sent if one[0] > now_ms - GOSSIP_WINDOW_MS]
        known = sum(
            sender == gateway or at_ms <= now_ms - GOSSIP_DELAY_MS
            for at_ms, sender in self.sent
        )
        if known + 1 > max(self.target, 1):
            return None
        self.sent.append((now_ms, gateway))
        return 0


class SetClock:
    """A clock that the experiment sets."""

    def __init__(self) -> None:
        """Start at 0."""
        self.time_ms = 0.0

    def now_ms(self) -> float:
        """Return the time that was set."""
        return self.time_ms


class KeepersPermits:
    """The product's way: owners among the keepers, of which the first has the limit."""

    def __init__(self, gateways: int, per_second: float) -> None:
        """Start three keepers that know the limit."""
        self.asked = 0
        self.clock = SetClock()
        members = Members()
        for name in REGIONS:
            members.by_name[name] = Member(name, f'{name}:1', name)
        self.news = LimitNews(HOST, per_second, 0)
        self.keepers = {
            name: PermitAllocator(self.clock, name, members, REGIONS)
            for name in REGIONS
        }
        self.owners = rank_owners(HOST, members.by_name, REGIONS)
        self.renewed_at_ms = -RENEWAL_INTERVAL_MS

    def renew(self) -> None:
        """Let the first owner borrow the shares of the others."""
        first = self.keepers[self.owners[0]]
        first.limits.learn(self.news, 'experiment')
        for lender, limits in first.shares_to_borrow().items():
            request = BorrowShares(first.name, limits)
            answer = self.keepers[lender].answer(request)
            first.record_loans(lender, request, answer, self.clock.time_ms)

    def request(self, gateway: int, now_ms: float) -> float | None:
        """Ask the first owner."""
        while self.renewed_at_ms + RENEWAL_INTERVAL_MS <= now_ms:
            self.renewed_at_ms += RENEWAL_INTERVAL_MS
            self.clock.time_ms = self.renewed_at_ms
            self.renew()
        self.clock.time_ms = now_ms
        self.asked += 1
        message = RequestPermit(self.news, MAX_WAIT_MS)
        decision = self.keepers[self.owners[0]].answer(message)
        return decision.wait_ms if decision.granted else None


WAYS = (EqualShares, TimeSlots, Gossip, KeepersPermits)


def arrivals(
    gateways: int, per_second: float, rng: random.Random
) -> Iterator[tuple[float, int]]:
    """Yield the time and the gateway of each call, in the order of time.

    In the quiet time all gateways get as few calls; in the crowd the n-th gateway
    gets 1/n of the calls of the first, but all get one in the first moment.
    """
    now_ms = 0.0
    while now_ms < QUIET_MS:
        now_ms += rng.expovariate(per_second * QUIET_DEMAND) * MS_PER_SECOND
        yield min(now_ms, QUIET_MS), rng.randrange(gateways)
    for gateway in range(gateways):
        yield QUIET_MS, gateway
    weights = [1 / (number + 1) for number in range(gateways)]
    now_ms = QUIET_MS
    while now_ms < END_MS:
        now_ms += rng.expovariate(per_second * CROWD_DEMAND) * MS_PER_SECOND
        yield now_ms, rng.choices(range(gateways), weights)[0]


def play(way: type[Way], gateways: int, per_second: float, seed: int) -> Outcome:
    """Play one way on the arrivals of a seed."""
    deciding = way(gateways, per_second)
    sent_ms: list[float] = []
    waits_ms: list[float] = []
    for now_ms, gateway in arrivals(gateways, per_second, random.Random(seed)):
        wait_ms = deciding.request(gateway, now_ms)
        if wait_ms is not None:
            sent_ms.append(now_ms + wait_ms)
            waits_ms.append(wait_ms)
    sent_ms.sort()
    in_crowd = sum(at_ms >= QUIET_MS for at_ms in sent_ms)
    crowd_s = (END_MS - QUIET_MS) / MS_PER_SECOND
    return Outcome(
        way.__name__,
        gateways,
        per_second,
        round(in_crowd / crowd_s / per_second, 2),
        most_in_window(sent_ms),
        ALLOWED_FACTOR * per_second * WINDOW_MS / MS_PER_SECOND + ALLOWED_EXTRA,
        round(sorted(waits_ms)[len(waits_ms) // 2]),
        round(deciding.asked / len(sent_ms), 1),
    )


def most_in_window(sent_ms: list[float]) -> int:
    """Return the most of some sorted times that lie within WINDOW_MS."""
    most = 0
    begin = 0
    for end, at_ms in enumerate(sent_ms):
        while sent_ms[begin] <= at_ms - WINDOW_MS:
            begin += 1
        most = max(most, end - begin + 1)
    return most


def run(seed: int) -> dict[str, Any]:
    """Compare all ways at all sizes and limits."""
    outcomes = [
        play(way, gateways, per_second, seed)
        for per_second in LIMITS_PER_S
        for gateways in SIZES
        for way in WAYS
    ]
    return {'seed': seed, 'outcomes': [outcome._asdict() for outcome in outcomes]}
