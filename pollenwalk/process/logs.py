"""Logs as JSON lines on standard error, one object an event."""

import json
import logging
import sys
from typing import TYPE_CHECKING, Any

from loguru import logger

from pollenwalk.errors import UserError

if TYPE_CHECKING:
    from loguru import Record

LEVELS = ('TRACE', 'DEBUG', 'INFO', 'WARNING', 'ERROR', 'CRITICAL')


def as_json_line(record: 'Record') -> str:
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


def write(message: Any) -> None:
    """Write one event."""
    sys.stderr.write(f'{as_json_line(message.record)}\n')


class Forward(logging.Handler):
    """Sends what libraries log through the standard module the same way."""

    def emit(self, record: logging.LogRecord) -> None:
        """Pass one event on."""
        exception = record.exc_info[1] if record.exc_info else None
        logger.opt(exception=exception).log(
            record.levelname,
            record.getMessage(),
            logger=record.name,
        )


def set_up_logs(level: str) -> None:
    """Send events of a level and above to standard error.

    Raises:
        UserError: there is no such level.
    """
    if level.upper() not in LEVELS:
        raise UserError(f'log level {level!r}: allowed are {", ".join(LEVELS)}')
    logger.remove()
    logger.add(write, level=level.upper(), format='{message}')
    logging.basicConfig(handlers=[Forward()], level=logging.WARNING, force=True)
