"""Logs whose reader stops."""

import json
import os
import threading

import testtools
from loguru import logger

from pollenwalk.process import logs
from pollenwalk.process.logs import LineWriter

MANY = 20_000


class LogsTest(testtools.TestCase):
    """A process never waits for whoever reads its logs."""

    def setUp(self) -> None:
        """Take the logger over, and give it back."""
        super().setUp()
        logger.remove()
        self.addCleanup(logger.remove)

    def test_a_reader_that_stops(self) -> None:
        reader, writer = os.pipe()
        self.patch(logs, 'MAX_LINES_PER_SECOND', MANY * 2)
        target = os.fdopen(writer, 'w')
        lines = LineWriter(target)
        logger.add(lines.enqueue, format='{message}')
        done = threading.Event()

        def work() -> None:
            for number in range(MANY):
                logger.info('sent', request=f'r{number}')
            done.set()

        threading.Thread(target=work, daemon=True).start()
        self.assertTrue(done.wait(30))
        self.assertTrue(lines.dropped > 0)
        self.assertTrue(len(lines.queue) <= logs.MAX_QUEUED_LINES)
        os.close(reader)

    def test_the_rate_is_bounded_and_gaps_are_told(self) -> None:
        reader, writer = os.pipe()
        self.patch(logs, 'MAX_LINES_PER_SECOND', 5)
        seconds = iter([1.0] * 8 + [2.0] * 8)
        self.patch(logs.time, 'monotonic', lambda: next(seconds))
        lines = LineWriter(os.fdopen(writer, 'w'))
        logger.add(lines.enqueue, format='{message}')
        for _ in range(9):
            logger.info('sent')
        lines.flush(5)
        written = os.read(reader, 100_000).decode().splitlines()
        events = [json.loads(line) for line in written]
        self.assertEqual(
            ['sent'] * 5 + ['dropped', 'sent'], [one['event'] for one in events]
        )
        self.assertEqual(3, events[5]['lines'])
