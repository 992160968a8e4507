"""Who may give permits: shares of a limit that keepers own, lend and take back.

The allocators run on a clock that the test sets, without a network. They are asked
for more permits than they have, all of them, so that every share is used up.
"""

import random
from itertools import permutations

import testtools

from pollenwalk.connection.limit_messages import (
    BorrowShares,
    ExchangeLimits,
    HostStart,
    LimitNews,
    RequestPermit,
    TellLimits,
)
from pollenwalk.process.keeper_members import Member, Members
from pollenwalk.process.permit_allocator import (
    LEASE_MS,
    MAX_OWNERS,
    RENEWAL_INTERVAL_MS,
    SETTLE_MS,
    PermitAllocator,
    rank_owners,
)
from standin.experiments.limits import WINDOW_MS, SetClock, most_in_window

REGIONS = {'a': 'east', 'b': 'east', 'c': 'west', 'd': 'east'}
HOST = HostStart('i-1', 'a', 1, 'v1')
LIMIT_PER_S = 6.0
STEP_MS = 50.0
# One saved permit of each owner, and one for the credit of unused time.
SAVED = MAX_OWNERS + 1
SEEDS = 40
RUN_MS = 30_000


class Keepers:
    """Allocators that are asked for as many permits as they give.

    Attributes:
        allocators: the running allocators, by the name of their keeper.
        members: the list of keepers that all of them see.
        given_ms: when permits were given.
        givers: the names of the keepers that gave them.
        cuts: pairs of borrower and lender whose messages are lost.
    """

    def __init__(self, names: str) -> None:
        """Start keepers that the list names."""
        self.clock = SetClock()
        self.members = Members()
        self.allocators: dict[str, PermitAllocator] = {}
        self.given_ms: list[float] = []
        self.givers: list[str] = []
        self.cuts: set[tuple[str, str]] = set()
        for name in names:
            self.members.by_name[name] = Member(name, f'{name}:1', name)
            self.start(name)

    def start(self, name: str) -> PermitAllocator:
        """Start a keeper that knows nothing."""
        allocator = PermitAllocator(self.clock, name, self.members, REGIONS)
        self.allocators[name] = allocator
        return allocator

    @property
    def first(self) -> str:
        """Return the name of the host's first owner."""
        return rank_owners(HOST, self.members.by_name, REGIONS)[0]

    def ask(self, name: str, per_second: float | None = LIMIT_PER_S) -> bool:
        """Ask a keeper for a permit that is due now."""
        news = LimitNews(HOST, per_second, 0)
        granted = self.allocators[name].answer(RequestPermit(news, 0)).granted
        if granted:
            self.given_ms.append(self.clock.now_ms())
            self.givers.append(name)
        return granted

    def renew(self) -> None:
        """Let all keepers borrow what they may."""
        for borrower, allocator in self.allocators.items():
            for lender, limits in allocator.shares_to_borrow().items():
                is_cut = (borrower, lender) in self.cuts
                if lender not in self.allocators or is_cut:
                    continue
                request = BorrowShares(borrower, limits)
                answer = self.allocators[lender].answer(request)
                allocator.record_loans(lender, request, answer, self.clock.now_ms())

    def run(self, duration_ms: float) -> None:
        """Let time pass, and take all permits that there are."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.clock.time_ms += STEP_MS
            if self.clock.time_ms % RENEWAL_INTERVAL_MS < STEP_MS:
                self.renew()
            for name in self.allocators:
                self.ask(name)


class SharesTest(testtools.TestCase):
    """The sum of what all owners give."""

    def check_sum(self, keepers: Keepers) -> None:
        """Check that all owners together never gave more than the limit."""
        most = most_in_window(keepers.given_ms)
        allowed = LIMIT_PER_S * WINDOW_MS / 1000 + SAVED
        self.assertTrue(most <= allowed, (most, allowed))

    def test_all_shares_are_used(self) -> None:
        for names in ('a', 'ab', 'abc', 'abcd'):
            keepers = Keepers(names)
            keepers.run(SETTLE_MS + RUN_MS)
            self.check_sum(keepers)
            wanted = LIMIT_PER_S * RUN_MS / 1000 * 0.95
            self.assertTrue(len(keepers.given_ms) >= wanted, names)

    def test_first_owner_gives_the_whole_limit(self) -> None:
        keepers = Keepers('abc')
        keepers.run(SETTLE_MS + LEASE_MS)
        news = LimitNews(HOST, LIMIT_PER_S, 0)
        for name, allocator in keepers.allocators.items():
            share = allocator.answer(RequestPermit(news, 0)).share
            self.assertEqual(int(name == keepers.first), share)

    def test_first_owner_dies(self) -> None:
        keepers = Keepers('abc')
        keepers.run(SETTLE_MS + RUN_MS)
        keepers.allocators.pop(keepers.first)
        keepers.run(LEASE_MS)
        died_at = len(keepers.given_ms)
        keepers.run(RUN_MS)
        self.check_sum(keepers)
        wanted = LIMIT_PER_S * RUN_MS / 1000 * 2 / 3 * 0.95
        self.assertTrue(len(keepers.given_ms) - died_at >= wanted)

    def test_keeper_that_starts_again_waits(self) -> None:
        # Its leases are forgotten, but the borrower may still use them.
        for name in 'abc':
            keepers = Keepers('abc')
            keepers.run(SETTLE_MS + RUN_MS)
            keepers.start(name)
            keepers.cuts.update(permutations('abc', 2))
            keepers.givers.clear()
            keepers.run(SETTLE_MS - STEP_MS)
            self.assertNotIn(name, keepers.givers)
            keepers.run(RUN_MS)
            self.assertIn(name, keepers.givers)
            self.check_sum(keepers)

    def test_borrower_behind_a_cut_keeps_its_share(self) -> None:
        keepers = Keepers('abc')
        keepers.run(SETTLE_MS + RUN_MS)
        keepers.cuts.update(permutations('abc', 2))
        keepers.run(LEASE_MS)
        news = LimitNews(HOST, LIMIT_PER_S, 0)
        for allocator in keepers.allocators.values():
            share = allocator.answer(RequestPermit(news, 0)).share
            self.assertAlmostEqual(1 / 3, share)
        keepers.run(RUN_MS)
        self.check_sum(keepers)

    def test_only_the_first_owner_may_borrow(self) -> None:
        keepers = Keepers('abc')
        keepers.run(SETTLE_MS + STEP_MS)
        names = rank_owners(HOST, keepers.members.by_name, REGIONS)
        request = BorrowShares(names[1], [LimitNews(HOST, LIMIT_PER_S, 0)])
        for name in names:
            self.assertEqual([False], keepers.allocators[name].answer(request).lent)

    def test_new_keeper_waits_until_all_know_of_it(self) -> None:
        for name in 'abd':
            keepers = Keepers('abcd'.replace(name, ''))
            keepers.run(SETTLE_MS + RUN_MS)
            keepers.members.by_name[name] = Member(name, f'{name}:1', name)
            keepers.cuts.update(permutations('abcd', 2))
            keepers.start(name)
            keepers.run(SETTLE_MS - STEP_MS)
            self.assertNotIn(name, keepers.givers)
            keepers.run(RUN_MS)
            self.assertIn(name, keepers.givers)
            self.check_sum(keepers)

    def test_old_owner_goes_on_while_the_list_changes(self) -> None:
        keepers = Keepers('abc')
        keepers.run(SETTLE_MS + RUN_MS)
        keepers.members.by_name['d'] = Member('d', 'd:1', 'd')
        keepers.givers.clear()
        keepers.run(SETTLE_MS)
        # At least the shares of the two owners that stay.
        wanted = LIMIT_PER_S * SETTLE_MS / 1000 * 2 / 3
        self.assertTrue(len(keepers.givers) >= wanted - 1, len(keepers.givers))
        self.check_sum(keepers)

    def test_keeper_that_is_no_owner_gives_nothing(self) -> None:
        keepers = Keepers('abcd')
        keepers.run(SETTLE_MS + RUN_MS)
        owners = rank_owners(HOST, keepers.members.by_name, REGIONS)
        other = next(iter(set('abcd') - set(owners)))
        self.assertFalse(keepers.ask(other))

    def test_owners_in_the_region_of_the_host_go_first(self) -> None:
        members = {name: Member(name, f'{name}:1', name) for name in 'abcd'}
        for number in range(20):
            owners = rank_owners(HOST._replace(id=f'i-{number}'), members, REGIONS)
            self.assertNotIn('c', owners)

    def disturb(self, keepers: Keepers, rng: random.Random) -> None:
        """Kill or start a keeper, or cut or heal a path, or do nothing."""
        name = rng.choice('abc')
        actions = (
            lambda: keepers.allocators.pop(name, None),
            lambda: keepers.start(name),
            lambda: keepers.cuts.add((name, rng.choice('abc'))),
            keepers.cuts.clear,
            lambda: None,
        )
        rng.choice(actions)()

    def test_random_deaths_restarts_and_cuts(self) -> None:
        for seed in range(SEEDS):
            rng = random.Random(seed)
            keepers = Keepers('abc')
            keepers.run(SETTLE_MS)
            for _ in range(30):
                self.disturb(keepers, rng)
                keepers.run(rng.uniform(STEP_MS, 2 * SETTLE_MS))
            if keepers.given_ms:
                self.check_sum(keepers)


class NewsTest(testtools.TestCase):
    """What allocators tell of limits."""

    def test_changes_are_told_once(self) -> None:
        allocator = Keepers('a').allocators['a']
        allocator.answer(TellLimits([LimitNews(HOST, 3, 0)]))
        first = allocator.answer(ExchangeLimits([], '', 0))
        self.assertEqual([3], [news.per_second for news in first.limits])
        again = ExchangeLimits([], first.boot_id, first.revision)
        self.assertEqual([], allocator.answer(again).limits)

    def test_another_start_is_told_everything(self) -> None:
        keepers = Keepers('a')
        told = keepers.allocators['a'].answer(TellLimits([LimitNews(HOST, 3, 0)]))
        allocator = keepers.start('a')
        allocator.answer(TellLimits([LimitNews(HOST, 4, 0)]))
        known = allocator.answer(ExchangeLimits([], told.boot_id, told.revision))
        self.assertEqual([4], [news.per_second for news in known.limits])

    def test_permits_after_the_end_of_a_limit(self) -> None:
        keepers = Keepers('a')
        allocator = keepers.allocators['a']
        allocator.answer(TellLimits([LimitNews(HOST, 3, 0)]))
        keepers.clock.time_ms += 1
        allocator.answer(TellLimits([LimitNews(HOST, None, 0)]))
        decision = allocator.answer(RequestPermit(LimitNews(HOST, 3, 500), 0))
        self.assertTrue(decision.granted)
        self.assertIsNone(decision.news.per_second)
