"""`pollenwalk explain`: what happened to one request, from the logs."""

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any, NamedTuple

from pollenwalk.errors import UserError

# The fields that identify a line; all others are shown as they are.
SHOWN_APART = frozenset(('time', 'level', 'event', 'module'))
# Beliefs of a process that a request may rest on.
BELIEFS = frozenset(
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


class Line(NamedTuple):
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
    explain: argparse.ArgumentParser = subparsers.add_parser(
        'explain',
        help="put one request's log lines in order",
        description=(
            'Reads log lines of one or several processes from standard input '
            'and writes those of one request in the order of their time, with '
            'the time since its first line. What processes came to believe in '
            'between is shown indented.'
        ),
    )
    explain.add_argument('request', metavar='REQUEST-ID')
    explain.set_defaults(run=run_explain)


def run_explain(options: argparse.Namespace) -> int:
    """Explain one request.

    Raises:
        UserError: no line tells of it.
    """
    lines = sorted(read_lines(sys.stdin), key=lambda line: line.time)
    own = [line for line in lines if line.fields.get('request') == options.request]
    if not own:
        raise UserError(f'no line tells of request {options.request!r}')
    for line in between(lines, own):
        sys.stdout.write(f'{describe(line, own)}\n')
    return 0


def read_lines(source: Iterable[str]) -> Iterator[Line]:
    """Read what is JSON in each line; other lines are passed over."""
    for text in source:
        before, brace, rest = text.partition('{')
        try:
            fields = json.loads(brace + rest)
            time = datetime.fromisoformat(fields['time'])
        except (ValueError, KeyError, TypeError):
            continue
        left = {name: fields[name] for name in fields if name not in SHOWN_APART}
        yield Line(before.strip(), time, fields.get('event', ''), left)


def between(lines: list[Line], own: list[Line]) -> Iterator[Line]:
    """Give the request's lines and the beliefs that changed meanwhile."""
    first = own[0].time
    last = own[-1].time
    for line in lines:
        meanwhile = first <= line.time <= last and line.event in BELIEFS
        if line in own or meanwhile:
            yield line


def describe(line: Line, own: list[Line]) -> str:
    """Write one line."""
    since = (line.time - own[0].time).total_seconds() * MS_PER_SECOND
    indent = '' if line in own else '    '
    fields = ' '.join(
        f'{name}={shown}' for name, shown in line.fields.items() if name != 'request'
    )
    return f'{since:9.1f} ms  {indent}{line.source}  {line.event}  {fields}'.rstrip()
