"""Logs as JSON lines, one object per event.

Daemons write them to standard output, commands to standard error.

A separate thread writes the lines, so a log reader that stops reading never
blocks a request. Lines that exceed the rate limit or the queue are dropped and
counted; the count is logged with the next line that is accepted.
"""

import atexit
import collections
import logging
import sys
import threading
import time
from typing import TYPE_CHECKING, Any, TextIO

import msgspec
from loguru import logger

from pollenwalk.errors import UserError

if TYPE_CHECKING:
    from loguru import Record

LEVELS = ('TRACE', 'DEBUG', 'INFO', 'WARNING', 'ERROR', 'CRITICAL')
# Maximum number of lines that wait to be written; they take about half a megabyte.
MAX_QUEUED_LINES = 2000
# Maximum number of lines that a process writes per second; each costs about 50 us.
MAX_LINES_PER_SECOND = 600
# Lines are written together at this interval, as each write and each wake of the thread
# costs as much as several lines.
WRITE_INTERVAL_S = 0.05
# Maximum time that a process waits at exit until its last lines are written.
FLUSH_TIMEOUT_S = 0.5
# Field values that JSON has no type for are written as text.
ENCODER = msgspec.json.Encoder(enc_hook=str)


def format_record(record: 'Record') -> str:
    """Return the fields of an event as one line of JSON."""
    fields: dict[str, Any] = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'event': record['message'],
        'module': record['name'],
        **record['extra'],
    }
    if record['exception'] is not None:
        fields['exception'] = repr(record['exception'].value)
    return ENCODER.encode(fields).decode()


class LineWriter:
    """Writes log lines in a thread, so that callers never block.

    Attributes:
        target: the file that lines are written to.
        queue: lines that are not written yet.
        lines_queued: set when lines are queued.
        idle: set while no lines are waiting to be written.
        dropped: number of lines dropped since a line was last queued.
        second: the second of the monotonic clock that lines are counted in.
        lines_this_second: lines counted in that second, dropped ones included.
    """

    def __init__(self, target: TextIO) -> None:
        """Start the thread that writes to `target`."""
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
        """Queue the line of one event, or drop it if there are too many."""
        if self.exceeds_rate() or len(self.queue) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        if self.dropped:
            gap = {'event': 'dropped', 'lines': self.dropped}
            self.dropped = 0
            self.queue.append(ENCODER.encode(gap).decode())
        self.queue.append(format_record(message.record))
        if not self.lines_queued.is_set():
            self.idle.clear()
            self.lines_queued.set()

    def exceeds_rate(self) -> bool:
        """Count a line and return whether it exceeds the rate limit."""
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.lines_this_second = 0
        self.lines_this_second += 1
        return self.lines_this_second > MAX_LINES_PER_SECOND

    def run(self) -> None:
        """Write queued lines in a loop; runs in the thread."""
        while True:
            self.lines_queued.wait()
            time.sleep(WRITE_INTERVAL_S)
            self.lines_queued.clear()
            batch = [self.queue.popleft() for _ in range(len(self.queue))]
            if batch:
                self.write(batch)
            if not self.queue:
                self.idle.set()

    def write(self, batch: list[str]) -> None:
        """Write lines; drop them if the file can't be written."""
        try:
            self.target.write('\n'.join((*batch, '')))
            self.target.flush()
        except (OSError, ValueError):
            self.dropped += len(batch)

    def flush(self, timeout_s: float) -> None:
        """Wait until all lines are written, but at most `timeout_s`."""
        self.idle.wait(timeout_s)


class LoggingBridge(logging.Handler):
    """Passes log records of the standard logging module on to loguru.

    Libraries log through that module.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record with loguru."""
        exception = record.exc_info[1] if record.exc_info else None
        logger.opt(exception=exception).log(
            record.levelname,
            record.getMessage(),
            logger=record.name,
        )


def set_up_logs(level: str, target: TextIO | None = None) -> LineWriter:
    """Write events of at least this level to a file as JSON lines.

    Args:
        level: lowest level that is written.
        target: the file; None for standard error.

    Returns:
        The writer. Lines may still be queued in it, see `LineWriter.flush`.

    Raises:
        UserError: there is no such level.
    """
    if level.upper() not in LEVELS:
        raise UserError(f'unknown log level {level!r}; allowed: {", ".join(LEVELS)}')
    writer = LineWriter(target or sys.stderr)
    atexit.register(writer.flush, FLUSH_TIMEOUT_S)
    logger.remove()
    logger.add(writer.enqueue, level=level.upper(), format='{message}')
    logging.basicConfig(handlers=[LoggingBridge()], level=logging.WARNING, force=True)
    return writer
