"""Logs as JSON lines, one object an event.

Daemons write them to standard output, commands to standard error.

Lines are handed to a thread that writes them, so a reader that stops can
never stop a request. What exceeds the rate or the room is dropped and
counted; the count is logged as soon as lines flow again.
"""

import atexit
import collections
import json
import logging
import sys
import threading
import time
from typing import TYPE_CHECKING, Any, TextIO

from loguru import logger

from pollenwalk.errors import UserError

if TYPE_CHECKING:
    from loguru import Record

LEVELS = ('TRACE', 'DEBUG', 'INFO', 'WARNING', 'ERROR', 'CRITICAL')
# Lines that may wait for the reader: about half a megabyte.
MAX_QUEUED_LINES = 2000
# Lines a second that a process writes at most; a line costs about 50 us.
MAX_LINES_PER_SECOND = 600
# The longest that a process waits for the reader of its last lines.
FLUSH_TIMEOUT_S = 0.5


def format_record(record: 'Record') -> str:
    """Give an event's fields as one line."""
    fields: dict[str, Any] = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'event': record['message'],
        'module': record['name'],
        **record['extra'],
    }
    if record['exception'] is not None:
        fields['exception'] = repr(record['exception'].value)
    return json.dumps(fields, default=str)


class LineWriter:
    """Writes lines without ever making the caller wait.

    Attributes:
        dropped: lines that were given up since the last one was written.
    """

    def __init__(self, target: TextIO) -> None:
        """Write to a file in a thread of its own."""
        self.target = target
        self.queue: collections.deque[str] = collections.deque()
        self.lines_queued = threading.Event()
        self.idle = threading.Event()
        self.idle.set()
        self.dropped = 0
        self.second = 0
        self.lines_this_second = 0
        threading.Thread(target=self.run, name='logs', daemon=True).start()

    def enqueue(self, message: Any) -> None:
        """Queue one event, or drop it."""
        if self.exceeds_rate() or len(self.queue) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        if self.dropped:
            gap = {'event': 'dropped', 'lines': self.dropped}
            self.dropped = 0
            self.queue.append(json.dumps(gap))
        self.queue.append(format_record(message.record))
        self.idle.clear()
        self.lines_queued.set()

    def exceeds_rate(self) -> bool:
        """Count a line and tell whether it exceeds the rate."""
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.lines_this_second = 0
        self.lines_this_second += 1
        return self.lines_this_second > MAX_LINES_PER_SECOND

    def run(self) -> None:
        """Write what is queued, for ever."""
        while True:
            self.lines_queued.wait()
            self.lines_queued.clear()
            batch = [self.queue.popleft() for _ in range(len(self.queue))]
            if batch:
                self.write(batch)
            if not self.queue:
                self.idle.set()

    def write(self, batch: list[str]) -> None:
        """Write some lines; without a reader they are lost."""
        try:
            self.target.write('\n'.join((*batch, '')))
            self.target.flush()
        except (OSError, ValueError):
            self.dropped += len(batch)

    def flush(self, timeout_s: float) -> None:
        """Wait a bounded time until all lines are written."""
        self.idle.wait(timeout_s)


class LoggingBridge(logging.Handler):
    """Sends what libraries log through the standard module the same way."""

    def emit(self, record: logging.LogRecord) -> None:
        """Pass one event on."""
        exception = record.exc_info[1] if record.exc_info else None
        logger.opt(exception=exception).log(
            record.levelname,
            record.getMessage(),
            logger=record.name,
        )


def set_up_logs(level: str, target: TextIO | None = None) -> LineWriter:
    """Send events of a level and above to a file.

    Args:
        level: of the least important events that are written.
        target: standard error if left out.

    Returns:
        The writer, which has lines left for a moment.

    Raises:
        UserError: there is no such level.
    """
    if level.upper() not in LEVELS:
        raise UserError(f'log level {level!r}: allowed are {", ".join(LEVELS)}')
    writer = LineWriter(target or sys.stderr)
    atexit.register(writer.flush, FLUSH_TIMEOUT_S)
    logger.remove()
    logger.add(writer.enqueue, level=level.upper(), format='{message}')
    logging.basicConfig(handlers=[LoggingBridge()], level=logging.WARNING, force=True)
    return writer
