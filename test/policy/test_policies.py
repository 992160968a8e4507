"""Tests of placement, program admission and the queue for slots."""

import asyncio
import random
from typing import NamedTuple

import testtools

from pollenwalk.errors import Refusal
from pollenwalk.policy.placement import HostView, PlacementRequest, make_placement
from pollenwalk.policy.program_admission import has_capacity
from pollenwalk.policy.slot_queue import SlotQueue
from test.helper import make_clock, virtual

REQUEST = PlacementRequest('p', 'rimouski', 'est', 200, {}, 400.0, 0.5)
IDLE = HostView('a', 'a:1', 'rimouski', 'est', 4, 0, 0)


class PlacementCase(NamedTuple):
    """Hosts, a request, and the host that must be chosen."""

    name: str
    hosts: tuple[HostView, ...]
    request: PlacementRequest
    chosen: str | None


CASES = (
    PlacementCase('no hosts', (), REQUEST, None),
    PlacementCase(
        'nearer of two idle hosts',
        (IDLE._replace(sidecar='b', zone='saguenay'), IDLE),
        REQUEST,
        'a',
    ),
    PlacementCase(
        'no host in another region while a near one has a free slot',
        (IDLE._replace(sidecar='b', region='ouest'), IDLE._replace(estimated_calls=3)),
        REQUEST,
        'a',
    ),
    PlacementCase(
        'host with the cached prefix',
        (IDLE, IDLE._replace(sidecar='b', zone='saguenay')),
        REQUEST._replace(cached_tokens={'b': 190}),
        'b',
    ),
    PlacementCase(
        'another host if waiting costs more than the prefill',
        (IDLE, IDLE._replace(sidecar='b', estimated_calls=40)),
        REQUEST._replace(cached_tokens={'b': 190}),
        'a',
    ),
    PlacementCase(
        'another host than the one that has just refused',
        (IDLE, IDLE._replace(sidecar='b', estimated_calls=9)),
        REQUEST._replace(avoid=frozenset('a')),
        'b',
    ),
    PlacementCase(
        'host that has just refused if there is no other',
        (IDLE,),
        REQUEST._replace(avoid=frozenset('a')),
        'a',
    ),
)


class PlacementTest(testtools.TestCase):
    """Placement policies choose a host for a call."""

    def test_expected_finish(self) -> None:
        policy = make_placement('expected-finish', random.Random(1))
        for case in CASES:
            host = policy.choose(case.hosts, case.request)
            self.assertEqual(case.chosen, host.sidecar if host else None, case.name)

    def test_every_policy_chooses_one_of_the_hosts(self) -> None:
        hosts = (IDLE, IDLE._replace(sidecar='b'), IDLE._replace(sidecar='c'))
        for name in ('round-robin', 'least-loaded', 'sticky', 'expected-finish'):
            policy = make_placement(name, random.Random(1))
            self.assertIn(policy.choose(hosts, REQUEST), hosts)
            self.assertIsNone(policy.choose((), REQUEST), name)


class ProgramAdmissionTest(testtools.TestCase):
    """An entry admits programs by the load of the hosts."""

    def test_capacity_depends_on_load_and_level(self) -> None:
        for calls, level, expected in (
            (0, 5, True),
            (7, 5, True),
            (8, 5, False),
            (8, 3, True),
            (9, 3, False),
            (6, 9, False),
            (4, 9, True),
        ):
            found = has_capacity([IDLE._replace(estimated_calls=calls)], level)
            self.assertEqual(expected, found, (calls, level))
        self.assertTrue(has_capacity([], 5))


class SlotQueueTest(testtools.TestCase):
    """The queue of calls that wait for a slot."""

    async def acquire_and_note(
        self, slot_queue: SlotQueue, name: str, level: int, program_begun_ms: float
    ) -> None:
        """Acquire a slot, then add the name to the order of admission."""
        await slot_queue.acquire(level, 1_000_000, program_begun_ms)
        self.order.append(name)

    def make_queue(self, slots: int, queue_limit: int) -> SlotQueue:
        """Return an empty queue and reset the order of admission."""
        self.order: list[str] = []
        slot_queue = SlotQueue(make_clock())
        slot_queue.resize(slots, queue_limit)
        return slot_queue

    @virtual
    async def test_lower_level_then_older_program_goes_first(self) -> None:
        slot_queue = self.make_queue(1, 10)
        await slot_queue.acquire(5, 1_000_000, 0)
        acquiring = [
            asyncio.ensure_future(
                self.acquire_and_note(slot_queue, name, level, program_begun_ms)
            )
            for name, level, program_begun_ms in (
                ('young', 5, 30.0),
                ('old', 5, 10.0),
                ('urgent', 3, 90.0),
            )
        ]
        await asyncio.sleep(0.01)
        for _ in acquiring:
            slot_queue.release()
            await asyncio.sleep(0.01)
        self.assertEqual(['urgent', 'old', 'young'], self.order)

    @virtual
    async def test_waiting_call_is_not_starved(self) -> None:
        slot_queue = self.make_queue(1, 10)
        await slot_queue.acquire(5, 1_000_000, 0)
        waiting = asyncio.ensure_future(self.acquire_and_note(slot_queue, 'low', 7, 0))
        await asyncio.sleep(35)
        late = asyncio.ensure_future(self.acquire_and_note(slot_queue, 'high', 5, 0))
        await asyncio.sleep(0.01)
        slot_queue.release()
        await asyncio.sleep(0.01)
        self.assertEqual(['low'], self.order)
        slot_queue.release()
        await asyncio.gather(waiting, late)

    @virtual
    async def test_full_queue_refuses_at_once(self) -> None:
        slot_queue = self.make_queue(1, 1)
        await slot_queue.acquire(5, 1_000_000, 0)
        waiting = asyncio.ensure_future(
            self.acquire_and_note(slot_queue, 'waits', 5, 0)
        )
        await asyncio.sleep(0.01)
        try:
            await slot_queue.acquire(5, 1_000_000, 0)
        except Refusal as refusal:
            self.assertEqual('not_run', refusal.outcome)
            self.assertIsNotNone(refusal.retry_after_ms)
        else:
            self.fail('the queue was not full')
        slot_queue.release()
        await waiting

    @virtual
    async def test_deadline_passes_in_queue(self) -> None:
        slot_queue = self.make_queue(1, 5)
        await slot_queue.acquire(5, 1_000_000, 0)
        with testtools.ExpectedException(Refusal):
            await slot_queue.acquire(5, 200, 0)
        self.assertEqual([], slot_queue.waiting)

    @virtual
    async def test_cancelled_call_frees_its_slot(self) -> None:
        slot_queue = self.make_queue(1, 5)
        await slot_queue.acquire(5, 1_000_000, 0)
        waiting = asyncio.ensure_future(self.acquire_and_note(slot_queue, 'gone', 5, 0))
        await asyncio.sleep(0.01)
        slot_queue.release()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual(0, slot_queue.running)
