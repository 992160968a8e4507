"""`pollenwalk explain`: what happened to one request, from the logs."""

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any, NamedTuple

from pollenwalk.errors import UserError

# The fields that identify a line; all others are shown as they are.
EXCLUDED_FIELDS = frozenset(('time', 'level', 'event', 'module'))
# Beliefs of a process that a request may rest on.
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
    """One log line.

    Attributes:
        source: what stood before the JSON, such as a host's name.
        time: of the process that wrote it.
        event: what happened.
        fields: everything else.
    """

    source: str
    time: datetime
    event: str
    fields: dict[str, Any]


def add_parser(subparsers: Any) -> None:
    """Add the subcommand."""
    parser: argparse.ArgumentParser = subparsers.add_parser(
        'explain',
        help="put one request's log lines in order",
        description=(
            'Reads log lines of one or several processes from standard input '
            'and writes those of one request in the order of their time, with '
            'the time since its first line. What processes came to believe in '
            'between is shown indented.'
        ),
    )
    parser.add_argument('request', metavar='REQUEST-ID')
    parser.set_defaults(run=run_explain)


def run_explain(options: argparse.Namespace) -> int:
    """Explain one request.

    Raises:
        UserError: no line tells of it.
    """
    lines = sorted(read_lines(sys.stdin), key=lambda line: line.time)
    request_lines = [
        line for line in lines if line.fields.get('request') == options.request
    ]
    if not request_lines:
        raise UserError(f'no line tells of request {options.request!r}')
    for line in select_lines(lines, request_lines):
        sys.stdout.write(f'{format_line(line, request_lines)}\n')
    return 0


def read_lines(source: Iterable[str]) -> Iterator[LogLine]:
    """Read what is JSON in each line; other lines are passed over."""
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
    """Give the request's lines and the beliefs that changed meanwhile."""
    first = request_lines[0].time
    last = request_lines[-1].time
    for line in lines:
        is_context = first <= line.time <= last and line.event in CONTEXT_EVENTS
        if line in request_lines or is_context:
            yield line


def format_line(line: LogLine, request_lines: list[LogLine]) -> str:
    """Write one line."""
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
