"""One organisation at fifteen times its share: what the others lose by it."""

from collections import Counter
from collections.abc import Iterator

import testtools

from pollenwalk.policy.fair_shares import MEMORY_MS, FairShares
from test.policy.test_stretch_admission import (
    SEEDS,
    Load,
    Program,
    arrivals,
)

ORGANISATIONS = [f'o-{number}' for number in range(10)]
GREEDY = ORGANISATIONS[-1]
SHARE = 1 / len(ORGANISATIONS)
# The greedy organisation sends its share, too, until it begins to send more.
GREEDY_SINCE_MS = 12_000.0
KEPT = 0.95


class SharedLoad(Load):
    """Hosts that several organisations use."""

    def __init__(self, seed: int) -> None:
        """Start with idle hosts."""
        super().__init__(seed)
        self.shares = FairShares()

    def may_begin(self, program: Program, now_ms: float) -> bool:
        """Return whether fair shares and the other policies admit a program now."""
        name = program.organisation
        self.shares.record_demand(name, 0, now_ms)
        self.exceeds_share = self.shares.exceeds_share(name, now_ms)
        load = self.admission.load_of('up', now_ms)
        observed = (load.crowding(now_ms), load.programs_per_ms(now_ms), now_ms)
        if self.exceeds_share and not self.shares.may_begin(name, *observed):
            return False
        return super().may_begin(program, now_ms)


def shared_arrivals(
    seed: int, greedy_load: float, share: float = SHARE
) -> Iterator[Program]:
    """Yield the programs of all; the greedy one sends `greedy_load` shares at last."""
    for number, name in enumerate(ORGANISATIONS):
        load = share
        if name == GREEDY:
            load *= greedy_load
        for program in arrivals(seed * 100 + number, load, load):
            program.organisation = name
            is_early = program.begun_ms < GREEDY_SINCE_MS
            if not (is_early and name == GREEDY):
                yield program


def in_time(greedy_load: float) -> Counter[str]:
    """Return the programs in time of all seeds, by organisation."""
    total: Counter[str] = Counter()
    for seed in SEEDS:
        load = SharedLoad(seed).run(shared_arrivals(seed, greedy_load))
        total.update(one.organisation for one in load.counted() if one.in_time)
    return total


class FairSharesTest(testtools.TestCase):
    """What organisations lose by another one, and what is remembered of them."""

    def test_others_keep_what_they_get(self) -> None:
        # Guards against an organisation that takes the room of the others by sending
        # more, and against one that gets nothing because it does.
        alone = in_time(0.001)
        together = in_time(15)
        for name in ORGANISATIONS:
            if name != GREEDY:
                kept = together[name] / alone[name]
                self.assertTrue(kept >= KEPT, (name, together, alone))
        self.assertTrue(together[GREEDY] > 0)

    def test_nothing_is_refused_in_calm(self) -> None:
        # Guards against refusals of an organisation that uses room others don't need.
        for seed in SEEDS:
            load = SharedLoad(seed).run(shared_arrivals(seed, 15, 0.02))
            self.assertEqual([], load.refusals)

    def test_shares_follow_quotas(self) -> None:
        # Guards against refusals of a large organisation that sends what it may.
        shares = FairShares()
        for number in range(200):
            shares.record_demand('large', 100, number * 10)
            if not number % 20:
                shares.record_demand('small', 5, number * 10)
        self.assertFalse(shares.exceeds_share('large', 2000))
        self.assertFalse(shares.exceeds_share('small', 2000))

    def test_one_organisation_alone_is_not_limited(self) -> None:
        # Guards against a comparison with no one.
        shares = FairShares()
        for number in range(100):
            shares.record_demand('only', 0, number * 10)
        self.assertFalse(shares.exceeds_share('only', 1000))

    def test_inactive_organisations_are_forgotten(self) -> None:
        # Guards against state that grows with the configured organisations.
        shares = FairShares()
        for number in range(1000):
            shares.record_demand(f'o-{number}', 0, number)
        shares.record_demand('last', 0, 1000 + MEMORY_MS * 5)
        self.assertEqual(['last'], list(shares.active))
