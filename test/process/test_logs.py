"""Log lines are dropped, and never block, if the reader stops or the rate is high.

A daemon's standard output is a pipe. Once it is full, a direct write would block
the process for as long as the reader does not read.
"""

import json
import os
import threading

import testtools
from loguru import logger

from pollenwalk.process import logs
from pollenwalk.process.logs import LineWriter

LINES = 20_000


class LogsTest(testtools.TestCase):
    """The log writer."""

    def setUp(self) -> None:
        """Remove the logger's sinks before and after each test."""
        super().setUp()
        logger.remove()
        self.addCleanup(logger.remove)

    def test_stopped_reader_does_not_block(self) -> None:
        reader, writer = os.pipe()
        self.patch(logs, 'MAX_LINES_PER_SECOND', LINES * 2)
        target = os.fdopen(writer, 'w')
        line_writer = LineWriter(target)
        logger.add(line_writer.enqueue, format='{message}')
        done = threading.Event()

        def log_lines() -> None:
            for number in range(LINES):
                logger.info('sent', request=f'r{number}')
            done.set()

        threading.Thread(target=log_lines, daemon=True).start()
        self.assertTrue(done.wait(30))
        self.assertTrue(line_writer.dropped > 0)
        self.assertTrue(len(line_writer.queue) <= logs.MAX_QUEUED_LINES)
        os.close(reader)

    def test_lines_over_the_rate_are_counted(self) -> None:
        reader, writer = os.pipe()
        self.patch(logs, 'MAX_LINES_PER_SECOND', 5)
        seconds = iter([1.0] * 8 + [2.0] * 8)
        self.patch(logs.time, 'monotonic', lambda: next(seconds))
        line_writer = LineWriter(os.fdopen(writer, 'w'))
        logger.add(line_writer.enqueue, format='{message}')
        for _ in range(9):
            logger.info('sent')
        line_writer.flush(5)
        written = os.read(reader, 100_000).decode().splitlines()
        events = [json.loads(line) for line in written]
        self.assertEqual(
            ['sent'] * 5 + ['dropped', 'sent'], [event['event'] for event in events]
        )
        self.assertEqual(3, events[5]['lines'])
