"""Load that several gateways place on the same few hosts."""

import random

import testtools

from pollenwalk.policy.host_choice import CallCost, Candidate, EarliestFinish

COST = CallCost(200, 1000, 0.005)


def candidate(name: str, **changes: object) -> Candidate:
    """Make an idle host in the gateway's zone."""
    made = Candidate(name, 8, 0, True, True, 0, 0, False)
    return made._replace(**changes)


class EarliestFinishTest(testtools.TestCase):
    """Which host a call goes to."""

    def choose(self, *candidates: Candidate) -> str | None:
        """Choose one."""
        chosen = EarliestFinish(random.Random(1)).choose(candidates, COST)
        return None if chosen is None else chosen.host

    def test_no_host(self) -> None:
        self.assertIsNone(self.choose())

    def test_the_less_loaded(self) -> None:
        self.assertEqual('b', self.choose(candidate('a', load=8), candidate('b')))

    def test_far_hosts_help_only_when_near_ones_are_full(self) -> None:
        far = candidate('far', same_zone=False, same_region=False)
        self.assertEqual('near', self.choose(candidate('near', load=6), far))
        self.assertEqual('far', self.choose(candidate('near', load=14), far))

    def test_suspected_hosts_only_when_there_is_no_other(self) -> None:
        suspected = candidate('a', suspected=True)
        self.assertEqual('b', self.choose(suspected, candidate('b', load=20)))
        self.assertEqual('a', self.choose(suspected))

    def test_gateways_do_not_all_go_the_same_way(self) -> None:
        choice = EarliestFinish(random.Random(1))
        hosts = [candidate(name) for name in 'abcd']
        chosen = {choice.choose(hosts, COST).host for _ in range(50)}
        self.assertEqual(set('abcd'), chosen)

    def test_load_spreads_over_hosts(self) -> None:
        """Four gateways place 64 calls on 8 slots each of 4 hosts."""
        loads = dict.fromkeys('abcd', 0)
        choice = EarliestFinish(random.Random(1))
        for _ in range(64):
            hosts = [candidate(name, load=load) for name, load in loads.items()]
            loads[choice.choose(hosts, COST).host] += 1
        self.assertTrue(max(loads.values()) - min(loads.values()) <= 2, loads)
