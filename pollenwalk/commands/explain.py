"""The subcommand `explain`: the log lines of one request in time order."""

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any, NamedTuple

from pollenwalk.errors import UserError

# Fields that are not printed as `name=value`. Time and event have columns of
# their own; level and module are left out.
EXCLUDED_FIELDS = frozenset(('time', 'level', 'event', 'module'))
# Events that may explain what happened to a request although they don't name it:
# changes of a process's state, such as a new configuration or a lost keeper, and
# `dropped`, which counts missing log lines; `read_lines` skips it, as it has no time.
CONTEXT_EVENTS = frozenset(
    (
        'configuration',
        'keepers',
        'keeper_lost',
        'keeper_regained',
        'store_unavailable',
        'upstream_host_gone',
        'start',
        'stopping',
        'stop',
        'dropped',
    ),
)
MS_PER_SECOND = 1000


class LogLine(NamedTuple):
    """One parsed log line.

    Attributes:
        source: the text before the JSON, such as a host's name.
        time: when it was logged, by the clock of the process that logged it.
        event: name of the event.
        fields: the fields that are not in EXCLUDED_FIELDS.
    """

    source: str
    time: datetime
    event: str
    fields: dict[str, Any]


def add_parser(subparsers: Any) -> None:
    """Add the subcommand."""
    parser: argparse.ArgumentParser = subparsers.add_parser(
        'explain',
        help="print one request's log lines in time order",
        description=(
            'Reads log lines of one or several processes from standard input '
            'and prints those of one request in time order, each with the time '
            'since the first. Lines about state changes of the processes during '
            'the request, such as a new configuration, are printed indented.'
        ),
    )
    parser.add_argument('request', metavar='REQUEST-ID')
    parser.set_defaults(run=run_explain)


def run_explain(options: argparse.Namespace) -> int:
    """Print one request's log lines and the context events during the request.

    Raises:
        UserError: there is no log line of the request.
    """
    lines = sorted(read_lines(sys.stdin), key=lambda line: line.time)
    request_lines = [
        line for line in lines if line.fields.get('request') == options.request
    ]
    if not request_lines:
        raise UserError(
            f'standard input has no log line of request {options.request!r}'
        )
    for line in select_lines(lines, request_lines):
        sys.stdout.write(f'{format_line(line, request_lines)}\n')
    return 0


def read_lines(source: Iterable[str]) -> Iterator[LogLine]:
    """Parse the JSON in each line; skip lines without JSON or a valid time.

    Lines of the event `dropped` have no time, so they are skipped, too.
    """
    for text in source:
        prefix, brace, rest = text.partition('{')
        try:
            fields = json.loads(brace + rest)
            time = datetime.fromisoformat(fields['time'])
        except (ValueError, KeyError, TypeError):
            continue
        other_fields = {
            name: fields[name] for name in fields if name not in EXCLUDED_FIELDS
        }
        yield LogLine(prefix.strip(), time, fields.get('event', ''), other_fields)


def select_lines(
    lines: list[LogLine], request_lines: list[LogLine]
) -> Iterator[LogLine]:
    """Yield the request's lines and the context events during the request.

    Args:
        lines: all lines, in time order.
        request_lines: the lines of the request among them.
    """
    first = request_lines[0].time
    last = request_lines[-1].time
    for line in lines:
        is_context = first <= line.time <= last and line.event in CONTEXT_EVENTS
        if line in request_lines or is_context:
            yield line


def format_line(line: LogLine, request_lines: list[LogLine]) -> str:
    """Format a line with its time since the first line of the request, in ms."""
    elapsed_ms = (line.time - request_lines[0].time).total_seconds() * MS_PER_SECOND
    indent = '' if line in request_lines else '    '
    fields = ' '.join(
        f'{name}={field_value}'
        for name, field_value in line.fields.items()
        if name != 'request'
    )
    return (
        f'{elapsed_ms:9.1f} ms  {indent}{line.source}  {line.event}  {fields}'.rstrip()
    )
