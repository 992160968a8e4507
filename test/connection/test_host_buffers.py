"""The bounds on what is buffered for hosts, without a network."""

import testtools

from pollenwalk.connection.answer_memory import (
    MAX_HELD_BYTES,
    AnswerMemory,
    HeldAnswer,
    WaitingBytes,
)
from pollenwalk.connection.connection_limits import (
    BYTES_PER_MB,
    OTHER_MEMORY_MB,
    held_limit_bytes,
)
from pollenwalk.connection.host_buffers import host_buffer_limits
from pollenwalk.connection.request_bodies import SMALL_BODY_BYTES, RequestBodies
from pollenwalk.errors import BrokenAnswer

MACHINES_MB = (50, 88, 128, 512, 64_000)
PART_BYTES = 100_000


class HostBufferLimitsTest(testtools.TestCase):
    """Guards against bounds that exceed the machine together, or refuse too much."""

    def test_all_bounds_fit_into_the_machine(self) -> None:
        for memory_mb in MACHINES_MB:
            total_bytes = sum(host_buffer_limits(memory_mb))
            total_bytes += held_limit_bytes(memory_mb)
            total_mb = total_bytes / BYTES_PER_MB + OTHER_MEMORY_MB
            self.assertTrue(round(total_mb) <= memory_mb, total_mb)

    def test_no_answer_is_refused_that_was_served(self) -> None:
        for memory_mb in (128, 512):
            memory = AnswerMemory(host_buffer_limits(memory_mb).response_bytes)
            for _ in range(MAX_HELD_BYTES // PART_BYTES):
                HeldAnswer(memory).resize(PART_BYTES)

    def test_small_machine_refuses_earlier(self) -> None:
        memory = AnswerMemory(host_buffer_limits(88).response_bytes)
        HeldAnswer(memory).resize(int(memory.limit_bytes))
        with testtools.ExpectedException(BrokenAnswer):
            HeldAnswer(memory).resize(PART_BYTES)

    def test_slow_callers_break_no_answers(self) -> None:
        memory = AnswerMemory(PART_BYTES)
        waiting = WaitingBytes(memory)
        waiting.resize(2 * PART_BYTES)
        self.assertTrue(memory.is_short)
        HeldAnswer(memory).resize(PART_BYTES)
        waiting.close()
        waiting.resize(PART_BYTES)
        self.assertEqual(0, memory.waiting_bytes)


class RequestBodiesTest(testtools.TestCase):
    """Guards against large bodies that pile up, and small ones that wait."""

    def test_unsent_bodies_are_bounded(self) -> None:
        bodies = RequestBodies(unsent_limit_bytes=PART_BYTES)
        self.assertTrue(bodies.has_memory(10 * PART_BYTES))
        first = bodies.send('h', 10 * PART_BYTES)
        self.assertFalse(bodies.has_memory(SMALL_BODY_BYTES + 1))
        self.assertTrue(bodies.has_memory(SMALL_BODY_BYTES))
        first.keep_unsent(PART_BYTES // 10)
        self.assertTrue(bodies.has_memory(PART_BYTES * 9 // 10))
        first.end()
        first.keep_unsent(PART_BYTES)
        self.assertEqual(0, bodies.unsent_bytes)

    def test_host_that_does_not_answer_is_sent_no_more(self) -> None:
        bodies = RequestBodies(host_limit_bytes=lambda: 3 * PART_BYTES)
        sent = [bodies.send('h', PART_BYTES) for _ in range(3)]
        self.assertEqual({'h'}, bodies.full_hosts(PART_BYTES))
        self.assertEqual(set(), bodies.full_hosts(SMALL_BODY_BYTES))
        sent[0].mark_answered()
        self.assertEqual(set(), bodies.full_hosts(PART_BYTES))
        for body in sent:
            body.end()
        self.assertEqual({}, bodies.unanswered_bytes)
        self.assertEqual(set(), bodies.full_hosts(10 * PART_BYTES))

    def test_small_bodies_are_not_counted(self) -> None:
        bodies = RequestBodies(unsent_limit_bytes=PART_BYTES)
        bodies.send('h', SMALL_BODY_BYTES).keep_unsent(SMALL_BODY_BYTES)
        self.assertEqual(0, bodies.unsent_bytes)
