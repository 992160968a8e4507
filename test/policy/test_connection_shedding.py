"""Tests of the choice of connections that are closed first."""

import testtools

from pollenwalk.policy.connection_shedding import (
    LONG_RESPONSE_BYTES,
    REUSE_MS,
    SLOW_MS,
    ConnectionUse,
    Phase,
    order_of_closing,
    order_of_long_responses,
)

ORDINARY = ConnectionUse(
    held_bytes=30_000,
    unread_bytes=0,
    ahead_bytes=0,
    phase=Phase.RUNNING,
    phase_ms=5000,
    unmoved_ms=5000,
    unread_ms=0,
)
UNREAD = ORDINARY._replace(unread_bytes=9000, unread_ms=SLOW_MS)
AHEAD = ORDINARY._replace(ahead_bytes=4000)
SLOW_HEAD = ORDINARY._replace(phase=Phase.HEAD, phase_ms=SLOW_MS, unmoved_ms=1)
RECEIVING = ORDINARY._replace(phase=Phase.BODY, unmoved_ms=1, held_bytes=8_000_000)
# Idle after an answer that took longer than connections are reused.
REUSED = ORDINARY._replace(
    phase=Phase.IDLE, phase_ms=REUSE_MS - 1, unmoved_ms=2 * REUSE_MS
)
LONG_IDLE = REUSED._replace(phase_ms=REUSE_MS)
NEW = ORDINARY._replace(phase=Phase.UNUSED, phase_ms=1, unmoved_ms=1)


class ConnectionSheddingTest(testtools.TestCase):
    """Who is closed, and in which order."""

    def test_ordinary_callers_are_never_chosen(self) -> None:
        # Guards against a shortage that cuts callers who did not cause it: one whose
        # request runs, one that reuses its connection, one that has just connected.
        # A long stream: nothing is received, and some bytes always wait to be taken.
        reading = UNREAD._replace(unread_ms=SLOW_MS - 1)
        callers = (ORDINARY, REUSED, NEW, reading)
        for for_memory in (False, True):
            self.assertEqual([], order_of_closing(callers, for_memory))

    def test_those_that_do_not_read_go_first(self) -> None:
        uses = (LONG_IDLE, SLOW_HEAD, AHEAD, ORDINARY, UNREAD)
        self.assertEqual([4, 2, 1, 0], order_of_closing(uses, for_memory=False))

    def test_the_one_that_holds_most_goes_first(self) -> None:
        larger = UNREAD._replace(held_bytes=UNREAD.held_bytes + 1)
        self.assertEqual([1, 0], order_of_closing((UNREAD, larger), for_memory=True))

    def test_received_requests_end_for_memory_only(self) -> None:
        # They have not run; for descriptors, they are as ordinary as others.
        self.assertEqual([0], order_of_closing([RECEIVING], for_memory=True))
        self.assertEqual([], order_of_closing([RECEIVING], for_memory=False))
        stalled = RECEIVING._replace(unmoved_ms=SLOW_MS)
        self.assertEqual([0], order_of_closing([stalled], for_memory=False))

    def test_long_responses_in_need(self) -> None:
        # Guards against a client that reads being closed before one that does not,
        # and against one whose response is short.
        reads = ORDINARY._replace(
            unread_bytes=LONG_RESPONSE_BYTES, held_bytes=9_000_000
        )
        waits = reads._replace(unread_ms=SLOW_MS / 2, held_bytes=LONG_RESPONSE_BYTES)
        short = waits._replace(unread_bytes=LONG_RESPONSE_BYTES - 1)
        uses = (reads, short, ORDINARY, waits, RECEIVING)
        self.assertEqual([3, 0], order_of_long_responses(uses))
