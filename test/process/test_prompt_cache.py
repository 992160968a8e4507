"""Tests of the choice of a host by what hosts are believed to have cached."""

import random

import testtools

from pollenwalk.policy.host_choice import CachedPart, CallCost, EarliestFinish
from pollenwalk.policy.host_pace import HALF_LIFE_MS, ReportedPace
from pollenwalk.policy.prompt_cost import (
    MAX_PART_TOKENS,
    MAX_PARTS,
    PromptHeaders,
    prompt_cost,
)
from pollenwalk.process.call_placer import CallPlacer
from pollenwalk.process.host_table import HostTable
from pollenwalk.process.prompt_cache import HostParts, PromptCache
from pollenwalk.request.gateway_call import Call
from test.helper import make_clock, virtual
from test.process.test_host_table import registration
from test.request.test_forwarding import STREAM, UNSAFE, make_call

STICKY = STREAM._replace(sticky=True)
SHARED = ('5c1e', 512)
SESSION = ('91bd', 1500)


def parts_of(*tokens: int) -> tuple[CachedPart, ...]:
    """Return parts of some sizes whose keys are their positions."""
    return tuple(CachedPart(key, size) for key, size in enumerate(tokens))


class PromptCacheTest(testtools.TestCase):
    """What a table believes after some prompts, and its bounds."""

    def test_only_a_beginning_of_the_prompt_counts(self) -> None:
        """A part is read again if a part before it is not cached."""
        host = HostParts()
        first, second, third = parts_of(10, 20, 30)
        PromptCache().record(host, (first, second), 100)
        self.assertEqual(30, host.prefix_tokens((first, second, third)))
        self.assertEqual(0, host.prefix_tokens((third, first, second)))
        self.assertEqual(30, host.prefix_tokens((first, CachedPart(1, 50))))

    def test_host_memory_bounds_the_table(self) -> None:
        """The part in recent use stays; the end of a prompt goes before its beginning."""
        host, cache = HostParts(), PromptCache()
        shared, *sessions = parts_of(10, 40, 40, 40)
        for session in sessions:
            cache.record(host, (shared, session), 100)
        kept = [host.prefix_tokens((shared, session)) for session in sessions]
        self.assertEqual([10, 50, 50], kept)
        self.assertEqual((90, 3), (host.total_tokens, cache.entries))
        whole = parts_of(10, 40, 40, 10)
        cache.record(host, whole, 100)
        cache.record(host, (CachedPart(7, 20),), 100)
        self.assertEqual(50, host.prefix_tokens(whole))

    def test_prompt_beyond_the_memory_evicts_nothing(self) -> None:
        host, cache = HostParts(), PromptCache()
        cache.record(host, parts_of(60), 100)
        cache.record(host, (CachedPart(7, 101),), 100)
        self.assertEqual(60, host.prefix_tokens(parts_of(60)))

    def test_entries_of_all_hosts_are_bounded(self) -> None:
        """Callers that make up ids don't let the process grow."""
        cache = PromptCache(max_entries=50)
        hosts = [HostParts() for _ in range(20)]
        for key in range(2000):
            host = hosts[key % len(hosts)]
            cache.record(host, (CachedPart(key, 1), CachedPart(-key, 1)), 1000)
            self.assertTrue(cache.entries <= 50)
            self.assertEqual(sum(len(one.tokens) for one in hosts), cache.entries)
        self.assertEqual(1, host.prefix_tokens((CachedPart(1999, 1),)))

    def test_stated_sizes_are_bounded(self) -> None:
        """Sizes that callers state overflow no estimate."""
        stated = [(str(number), 10**300) for number in range(1000)]
        cost = prompt_cost(100, PromptHeaders(stated))
        self.assertEqual(MAX_PARTS, len(cost.parts))
        self.assertEqual(MAX_PARTS * MAX_PART_TOKENS, cost.prompt_tokens)
        self.assertEqual(CallCost(100), prompt_cost(100, PromptHeaders([('a', -5)])))


class StickyPlacementTest(testtools.TestCase):
    """Choice among hosts of which one has read the prompt."""

    def make_placer(self, hosts: int) -> CallPlacer:
        """Return a placer with some idle hosts, `i-0`, `i-1` and so on."""
        table = HostTable(make_clock())
        for number in range(hosts):
            table.apply_change(registration(f'i-{number}', 1, version='s1'))
        choice = EarliestFinish(random.Random(1))
        return CallPlacer(table.clock, table, choice, 'z', {'z': 'east'})

    def call(self, *parts: tuple[str, int], affinity: str = '') -> Call:
        """Return a call on a sticky route."""
        call = make_call(UNSAFE._replace(sticky=True) if affinity else STICKY)
        metadata = call.request.metadata._replace(prompt_parts=parts, affinity=affinity)
        return call._replace(request=call.request._replace(metadata=metadata))

    def read(self, placer: CallPlacer, name: str, call: Call) -> None:
        """Let a host begin to answer a call."""
        state = placer.host_table.states[name]
        placer.record_prompt(state, call, placer.expected_cost(call))

    def chosen(self, placer: CallPlacer, call: Call) -> set[str]:
        """Return the ids of the hosts that are chosen in many attempts."""
        cost = placer.expected_cost(call)
        states = (placer.choose_host(call, cost, set()) for _ in range(20))
        return {state.registration.id for state in states if state is not None}

    @virtual
    async def test_hit_is_weighed_against_load(self) -> None:
        """A hit of 1 ms decides among equal hosts, and no hit fills a crowded host."""
        small, large = (('short', 100),), (SHARED, SESSION)
        for parts, calls, wins in (
            (small, 0, True),
            (large, 3, True),
            (large, 8, False),
        ):
            placer = self.make_placer(4)
            call = self.call(*parts)
            self.read(placer, 'i-2', call)
            placer.host_table.states['i-2'].in_flight = calls
            chosen = self.chosen(placer, call)
            self.assertEqual(wins, chosen == {'i-2'}, chosen)
            self.assertEqual(wins, 'i-2' in chosen, chosen)

    @virtual
    async def test_shared_part_does_not_draw_all_calls(self) -> None:
        """One hot part, first read at one host: 32 calls at once on 8 hosts of 8 slots."""
        placer = self.make_placer(8)
        self.read(placer, 'i-0', self.call(SHARED))
        for number in range(32):
            call = self.call(SHARED, (f's{number}', 800))
            cost = placer.expected_cost(call)
            state = placer.choose_host(call, cost, set())
            state.in_flight += 1
            placer.record_prompt(state, call, cost)
        loads = [state.in_flight for state in placer.host_table.states.values()]
        self.assertTrue(max(loads) <= 8 and min(loads) >= 2, loads)

    @virtual
    async def test_restart_and_other_routes_have_no_hits(self) -> None:
        placer = self.make_placer(3)
        call = self.call(SHARED, SESSION)
        self.read(placer, 'i-2', call)
        other = call._replace(route=STREAM)
        self.assertEqual(CallCost(150), placer.expected_cost(other))
        self.assertEqual({'i-0', 'i-1', 'i-2'}, self.chosen(placer, other))
        placer.host_table.apply_change(registration('i-2', 2, version='s2'))
        self.assertEqual({'i-0', 'i-1', 'i-2'}, self.chosen(placer, call))

    @virtual
    async def test_pace_counts_only_while_its_report_is_recent(self) -> None:
        placer = self.make_placer(2)
        call = make_call(UNSAFE)
        state = placer.host_table.states['i-0']
        state.reported_pace = ReportedPace(3, placer.clock.now_ms())
        self.assertEqual({'i-1'}, self.chosen(placer, call))
        placer.host_table.states['i-1'].in_flight = 40
        self.assertEqual({'i-0'}, self.chosen(placer, call))
        placer.host_table.states['i-1'].in_flight = 0
        await placer.clock.sleep_ms(10 * HALF_LIFE_MS)
        self.assertEqual({'i-0', 'i-1'}, self.chosen(placer, call))

    @virtual
    async def test_object_goes_where_it_was_handled(self) -> None:
        placer = self.make_placer(4)
        call = self.call(affinity='obj')
        self.read(placer, 'i-3', call)
        placer.host_table.states['i-3'].in_flight = 4
        self.assertEqual({'i-3'}, self.chosen(placer, call))
        placer.host_table.states['i-3'].in_flight = 8
        self.assertNotIn('i-3', self.chosen(placer, call))
        # At so short a run time a full host is within the tolerance.
        placer.run_times[call.route.name] = 10
        self.assertNotIn('i-3', self.chosen(placer, call))

    @virtual
    async def test_gateways_agree_on_the_host_of_a_new_object(self) -> None:
        """Otherwise an object is handled at as many hosts as there are gateways."""
        placers = [self.make_placer(8) for _ in range(4)]
        counts = dict.fromkeys(placers[0].host_table.states, 0)
        for number in range(400):
            call = self.call(affinity=f'object {number}')
            cost = placers[0].expected_cost(call)
            states = [placer.choose_host(call, cost, set()) for placer in placers]
            hosts = {state.registration.id for state in states}
            self.assertEqual(1, len(hosts))
            counts[hosts.pop()] += 1
        self.assertTrue(min(counts.values()) >= 25, counts)
