"""Choice of a host by gateways that place calls on the same few hosts."""

import random

import testtools

from pollenwalk.policy.host_choice import CallCost, Candidate, EarliestFinish

COST = CallCost(200, 1000, 0.005)


def candidate(name: str, **changes: object) -> Candidate:
    """Return an idle host in the gateway's zone, with some fields replaced."""
    idle = Candidate(name, 8, 0, True, True, 0, 0, False)
    return idle._replace(**changes)


class EarliestFinishTest(testtools.TestCase):
    """EarliestFinish chooses the host that finishes a call first."""

    def choose(self, *candidates: Candidate) -> str | None:
        """Return the id of the chosen host, or None if there is none."""
        chosen = EarliestFinish(random.Random(1)).choose(candidates, COST)
        return None if chosen is None else chosen.host

    def test_none_without_hosts(self) -> None:
        self.assertIsNone(self.choose())

    def test_less_loaded_host_is_chosen(self) -> None:
        self.assertEqual('b', self.choose(candidate('a', load=8), candidate('b')))

    def test_far_host_only_when_near_one_is_full(self) -> None:
        far = candidate('far', same_zone=False, same_region=False)
        self.assertEqual('near', self.choose(candidate('near', load=6), far))
        self.assertEqual('far', self.choose(candidate('near', load=14), far))

    def test_suspected_host_only_without_others(self) -> None:
        suspected = candidate('a', suspected=True)
        self.assertEqual('b', self.choose(suspected, candidate('b', load=20)))
        self.assertEqual('a', self.choose(suspected))

    def test_choice_among_equal_hosts_is_random(self) -> None:
        choice = EarliestFinish(random.Random(1))
        hosts = [candidate(name) for name in 'abcd']
        chosen = {choice.choose(hosts, COST).host for _ in range(50)}
        self.assertEqual(set('abcd'), chosen)

    def test_load_is_spread_evenly(self) -> None:
        """Places 64 calls on 4 hosts with 8 slots each."""
        loads = dict.fromkeys('abcd', 0)
        choice = EarliestFinish(random.Random(1))
        for _ in range(64):
            hosts = [candidate(name, load=load) for name, load in loads.items()]
            loads[choice.choose(hosts, COST).host] += 1
        self.assertTrue(max(loads.values()) - min(loads.values()) <= 2, loads)
