"""Ways to keep an organisation's quota over all gateways, on the same arrivals.

Calls arrive at random times, at one gateway or at all. `equal` gives each gateway the
same part of the quota. `message` asks the owner for each request. `batches` is the
product's way. What is owed is what one bucket of the whole quota lets through. Half of
the gateways are in another region than the first owner.
"""

import random
from bisect import bisect_right
from collections.abc import Iterator
from itertools import product
from typing import Any, NamedTuple

from pollenwalk.connection.quota_messages import BorrowQuotas
from pollenwalk.errors import Refusal
from pollenwalk.policy.quota_bucket import QuotaBound
from pollenwalk.policy.quota_grants import OrganisationTokens
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.keeper_links import KeeperLink
from pollenwalk.process.keeper_members import Member, Members
from pollenwalk.process.quota_client import QuotaClient
from pollenwalk.process.quota_owner import QuotaOwner
from pollenwalk.process.quota_shares import QUOTA_RENEWAL_MS
from pollenwalk.process.share_ownership import SETTLE_MS
from pollenwalk.process.tasks import TaskSet
from pollenwalk.request.gateway_call import Call
from pollenwalk.request.http_messages import Request, RequestMetadata
from pollenwalk.version.organisations import Organisation
from pollenwalk.version.routes import CallKind, Route
from standin.link import REGION_MS, ZONE_MS, Place
from standin.virtual.loop import run_virtual
from standin.virtual.node import Node, NodeClock

SIZES = (4, 26, 60, 370)
RATES_PER_S = (1.0, 20.0, 500.0)
# Demand as a multiple of the quota.
DEMANDS = (1.0, 4.0)
WAYS = ('equal', 'message', 'batches')
BOUND = QuotaBound(5000, 0.1, 20)
# Seconds of the quota's rate that it may be exceeded by at once.
BURST_S = 1.0
KEEPERS = 'abc'
QUIET_MS = 2 * SETTLE_MS
# Time with demand before the measurement, and its end.
BEGIN_MS = QUIET_MS + 8000.0
END_MS = BEGIN_MS + 20_000.0
CALL_TIMEOUT_MS = 2000.0
MS_PER_SECOND = 1000
ROUTE = Route('r', 'h', '/', CallKind.SAFE, 0, 0, 0, 0, (), 1, False, False, 0)


class Outcome(NamedTuple):
    """One way with one number of gateways, quota and demand.

    Attributes:
        way: name of the way.
        gateways: how many gateways share the quota.
        rate_per_s: the rate of the quota.
        demand: the demand as a multiple of it.
        by_one: whether all calls arrive at one gateway.
        served: share of what is owed that was let through.
        most_in_window: the most calls within a window.
        allowed_in_window: how many the bound allows.
        waited: share of the calls let through that waited.
        messages: questions to owners for each call let through.
    """

    way: str
    gateways: int
    rate_per_s: float
    demand: float
    by_one: bool
    served: float
    most_in_window: int
    allowed_in_window: float
    waited: float
    messages: float


class Case(NamedTuple):
    """What is compared.

    Attributes:
        gateways: number of gateways.
        rate_per_s: rate of the quota.
        demand: demand as a multiple of it.
        by_one: whether all calls arrive at one gateway.
    """

    gateways: int
    rate_per_s: float
    demand: float
    by_one: bool

    @property
    def organisation(self) -> Organisation:
        """Return the organisation with the quota."""
        burst = self.rate_per_s * BURST_S
        return Organisation('hule', rate_per_s=self.rate_per_s, burst=burst)

    def arrivals(self, seed: int) -> Iterator[tuple[float, int]]:
        """Yield the time and the gateway of each call."""
        rng = random.Random(seed)
        now_ms = QUIET_MS
        while now_ms < END_MS:
            now_ms += rng.expovariate(self.rate_per_s * self.demand) * MS_PER_SECOND
            yield now_ms, 1 if self.by_one else rng.randrange(self.gateways)


class PlainBucket:
    """A token bucket that starts empty."""

    def __init__(self, rate_per_s: float, capacity: float) -> None:
        """Create an empty bucket."""
        self.rate_per_s = rate_per_s
        self.capacity = max(capacity, 1)
        self.level = 0.0
        self.at_ms = 0.0

    def take(self, now_ms: float) -> bool:
        """Take a token if there is one."""
        gained = (now_ms - self.at_ms) * self.rate_per_s / MS_PER_SECOND
        self.level = min(self.level + gained, self.capacity)
        self.at_ms = now_ms
        if self.level < 1:
            return False
        self.level -= 1
        return True


class Owners:
    """Three keepers that own the quota, and the way to them.

    Attributes:
        members: the list of keepers.
        regions: not used, as quotas have owners in any region.
        questions: number of questions so far.
    """

    def __init__(self, clock: NodeClock) -> None:
        """Start the keepers."""
        self.clock = clock
        self.members = Members()
        for name in KEEPERS:
            self.members.by_name[name] = Member(name, f'{name}:1', name)
        self.owners = {
            name: QuotaOwner(clock, name, self.members, BOUND) for name in KEEPERS
        }
        self.links = {
            name: KeeperLink(member, None, 0)
            for name, member in self.members.by_name.items()
        }
        self.questions = 0

    async def renew(self) -> None:
        """Let the keepers borrow from each other."""
        while True:
            for borrower, owner in self.owners.items():
                owner.shares.refresh()
                message = BorrowQuotas(borrower, owner.shares.digest)
                for lender in self.owners.keys() - {borrower}:
                    answer = self.owners[lender].answer(message)
                    now_ms = self.clock.boot_ms()
                    digest = message.members
                    owner.shares.record_answer(lender, now_ms, digest, answer)
            await self.clock.sleep_ms(QUOTA_RENEWAL_MS)


class Links:
    """The connections of one gateway to the owners."""

    def __init__(self, owners: Owners, one_way_ms: float) -> None:
        """Connect to the owners, which are some time away."""
        self.owners = owners
        self.members = owners.members
        self.one_way_ms = one_way_ms

    def link(self, member: Member) -> KeeperLink:
        """Return the connection to a keeper."""
        return self.owners.links[member.name]

    async def reaches(self, name: str) -> bool:
        """Return whether a keeper answers."""
        return name in self.owners.owners

    async def request(self, link: KeeperLink, message: Any) -> Any:
        """Ask a keeper."""
        self.owners.questions += 1
        await self.owners.clock.sleep_ms(self.one_way_ms)
        answer = self.owners.owners[link.member.name].answer(message)
        await self.owners.clock.sleep_ms(self.one_way_ms)
        return answer


class Group:
    """What a client of quotas uses of a gateway's keepers."""

    def __init__(self, owners: Owners, one_way_ms: float) -> None:
        """Use the owners, which are some time away."""
        self.links = Links(owners, one_way_ms)
        self.clock = owners.clock
        self.tasks = TaskSet()


class Play:
    """One way on one case.

    Attributes:
        sent: when calls arrived that were let through, and when they were.
    """

    def __init__(self, case: Case) -> None:
        """Prepare the gateways."""
        self.case = case
        self.sent: list[tuple[float, float]] = []
        self.clock = NodeClock(Node('world', Place('a', 'east')))
        self.owners = Owners(self.clock)
        self.clients = []
        for number in range(case.gateways):
            group = Group(self.owners, (ZONE_MS, REGION_MS)[number % 2])
            metrics = GatewayMetrics()
            client = QuotaClient(group, metrics, f'g{number}', BOUND.window_ms)
            self.clients.append(client)

    async def run(self, seed: int) -> None:
        """Let all calls arrive."""
        tasks = TaskSet()
        tasks.spawn(self.owners.renew(), 'renew')
        for client in self.clients:
            tasks.spawn(client.run(), 'return')
        calls = TaskSet()
        for at_ms, gateway in self.case.arrivals(seed):
            await self.clock.sleep_ms(at_ms - self.clock.now_ms())
            calls.spawn(self.call(self.clients[gateway]), 'call')
        await self.clock.sleep_ms(CALL_TIMEOUT_MS)
        await tasks.cancel()

    async def call(self, client: QuotaClient) -> None:
        """Make one call."""
        now_ms = self.clock.now_ms()
        request = Request(b'', b'', '', '', [], b'', RequestMetadata('r'), now_ms)
        until_ms = now_ms + CALL_TIMEOUT_MS
        organisation = self.case.organisation
        call = Call(request, ROUTE, '', 1, until_ms, 1, organisation)
        try:
            await client.obtain(call, begins_program=False)
        except Refusal:
            return
        client.consume_token(call)
        self.sent.append((now_ms, self.clock.now_ms()))


def play(way: str, case: Case, seed: int) -> Outcome:
    """Play one way on the arrivals of a seed."""
    quota = case.organisation
    questions = 0.0
    if way == 'equal':
        sent = play_equal(case, seed)
    else:
        played = run_virtual(play_owners(way, case, seed))
        sent = played.sent
        questions = played.owners.questions / max(len(sent), 1)
    whole = PlainBucket(quota.rate_per_s, quota.burst)
    taken = [(at_ms, whole.take(at_ms)) for at_ms, _ in case.arrivals(seed)]
    owed = sum(at_ms >= BEGIN_MS and is_taken for at_ms, is_taken in taken)
    served = sum(BEGIN_MS <= at_ms < END_MS for at_ms, _ in sent)
    waited = sum(sent_ms > at_ms for at_ms, sent_ms in sent)
    return Outcome(
        way,
        *case,
        round(served / max(owed, 1), 3),
        most_in_window([sent_ms for _, sent_ms in sent]),
        round(BOUND.most(quota.rate_per_s, quota.burst), 1),
        round(waited / max(len(sent), 1), 2),
        round(questions, 2),
    )


async def play_owners(way: str, case: Case, seed: int) -> Play:
    """Let the owners decide; `message` asks for no token in advance."""
    playing = Play(case)
    spares_wanted = OrganisationTokens.spares_wanted
    if way == 'message':
        OrganisationTokens.spares_wanted = lambda tokens, now_ms: (0, 0)
    try:
        await playing.run(seed)
    finally:
        OrganisationTokens.spares_wanted = spares_wanted
    return playing


def play_equal(case: Case, seed: int) -> list[tuple[float, float]]:
    """Give each gateway the same part of the quota."""
    quota = case.organisation
    count = case.gateways
    parts = [
        PlainBucket(quota.rate_per_s / count, quota.burst / count) for _ in range(count)
    ]
    return [
        (at_ms, at_ms)
        for at_ms, gateway in case.arrivals(seed)
        if parts[gateway].take(at_ms)
    ]


def most_in_window(sent_ms: list[float]) -> int:
    """Return the most of some times that lie within a window."""
    ordered = sorted(sent_ms)
    ends = (bisect_right(ordered, at_ms + BOUND.window_ms) for at_ms in ordered)
    return max((end - begin for begin, end in enumerate(ends)), default=0)


def run(seed: int) -> dict[str, Any]:
    """Compare all ways on all cases."""
    cases = (Case(*one) for one in product(SIZES, RATES_PER_S, DEMANDS, (False, True)))
    outcomes = [play(way, case, seed) for case in cases for way in WAYS]
    return {'seed': seed, 'outcomes': [outcome._asdict() for outcome in outcomes]}
