"""The subcommand `explain-route`: where a gateway would send a request now."""

import argparse
import json
import re
import sys
from collections.abc import Iterator
from http import HTTPStatus, client
from typing import Any
from urllib.parse import quote

from pollenwalk.connection.addresses import has_valid_port, split_address
from pollenwalk.connection.explain_page import EXPLAIN_PATH, TARGET
from pollenwalk.errors import BrokenAnswer, NotSent, UserError

# A name of the characters that HTTP allows, and printable ASCII characters.
HEADER = re.compile(r"([\w!#$%&'*+.^`|~-]+): *([ -~]*)", re.ASCII)
ANSWER_TIMEOUT_S = 2.0
# Hosts that are printed for a person; JSON has all of them.
MAX_PRINTED_HOSTS = 20
HOST_COLUMNS = (
    'host',
    'finish_ms',
    'load',
    'slots',
    'load_age_ms',
    'distance',
    'suspected_ms',
    'limit_per_s',
    'permit_wait_ms',
    'leaving',
)


def add_parser(subparsers: Any) -> None:
    """Add the subcommand."""
    parser: argparse.ArgumentParser = subparsers.add_parser(
        'explain-route',
        help='print where a gateway would send a request now, and why',
        description=(
            'Asks a running gateway which route, upstream and hosts a request would '
            'get now, and whether a new program would be admitted. The request is '
            'not sent. Hosts marked with * are those among which it would choose.'
        ),
    )
    parser.add_argument(
        '--gateway',
        required=True,
        metavar='IP:PORT',
        help="the gateway's metrics address",
    )
    parser.add_argument(
        '--header',
        '-H',
        action='append',
        default=[],
        metavar='NAME:VALUE',
        help='a header of the request; may be given several times',
    )
    parser.add_argument('--json', action='store_true', help='print JSON')
    parser.add_argument('host', metavar='HOST', help="the request's host name")
    parser.add_argument('path', metavar='PATH', help="the request's path and query")
    parser.set_defaults(run=run_explain_route)


def run_explain_route(options: argparse.Namespace) -> int:
    """Print the explanation of a request.

    Raises:
        UserError: the address, a header or the path is malformed.
        NotSent: the gateway can't be reached.
        BrokenAnswer: its answer is no explanation.
    """
    headers = dict(parse_header(text) for text in options.header)
    headers['Host'] = options.host
    explanation = ask(options.gateway, options.path, headers)
    if options.json:
        sys.stdout.write(f'{json.dumps(explanation)}\n')
        return 0
    for line in format_explanation(explanation):
        sys.stdout.write(f'{line}\n')
    return 0


def parse_header(text: str) -> tuple[str, str]:
    """Split `NAME:VALUE`.

    Raises:
        UserError: the text has another form.
    """
    header = HEADER.fullmatch(text)
    if header is None:
        raise UserError(f'{text!r} is not a header of the form NAME:VALUE')
    return header[1], header[2]


def ask(address: str, path: str, headers: dict[str, str]) -> dict[str, Any]:
    """Ask a gateway to explain a request.

    Raises:
        UserError: the address, the path or a header is malformed.
        NotSent: the gateway can't be reached.
        BrokenAnswer: its answer is no explanation.
    """
    if not has_valid_port(address):
        raise UserError(f'{address!r} is not an address of the form ip:port')
    target = f'{EXPLAIN_PATH}?{TARGET}={quote(path)}'
    connection = client.HTTPConnection(
        *split_address(address), timeout=ANSWER_TIMEOUT_S
    )
    try:
        connection.request('GET', target, headers=headers)
        answer = connection.getresponse()
        return read_explanation(address, answer.status, answer.read())
    except OSError as error:
        raise NotSent(f'gateway {address} cannot be reached: {error}') from error
    except client.HTTPException as error:
        raise BrokenAnswer(f'{address} gave no valid answer: {error!r}') from error
    except ValueError as error:
        raise UserError(f'the request cannot be sent: {error}') from error
    finally:
        connection.close()


def read_explanation(address: str, status: int, body: bytes) -> dict[str, Any]:
    """Decode the answer of a gateway.

    Raises:
        UserError: the gateway found the request malformed.
        BrokenAnswer: the answer is no explanation.
    """
    try:
        explanation: dict[str, Any] = json.loads(body)
    except ValueError as error:
        raise BrokenAnswer(
            f'{address} answered with status {status}, but no explanation; is it the '
            'metrics address of a gateway?'
        ) from error
    if status == HTTPStatus.BAD_REQUEST:
        raise UserError(explanation['error'])
    return explanation


def format_explanation(explanation: dict[str, Any]) -> Iterator[str]:
    """Yield an explanation as lines for a person."""
    refused = explanation.get('refused')
    if refused is not None:
        yield f'refused: {format_fields(refused)}'
        return
    yield f'configuration version {explanation["version"]}'
    yield f'route: {format_fields(explanation["route"])}'
    yield f'upstream: {explanation["upstream"]}'
    yield f'organisation: {explanation["organisation"] or "none"}'
    yield f'expected run: {explanation["expected_run_ms"]} ms'
    yield f'program admission: {format_fields(explanation["program_admission"])}'
    hosts = explanation['hosts']
    yield from format_hosts(hosts[:MAX_PRINTED_HOSTS])
    if len(hosts) > MAX_PRINTED_HOSTS:
        yield f'{len(hosts) - MAX_PRINTED_HOSTS} more hosts'


def format_fields(fields: dict[str, Any]) -> str:
    """Return fields as `name=value` words."""
    return ' '.join(f'{name}={content}' for name, content in fields.items())


def format_hosts(hosts: list[dict[str, Any]]) -> Iterator[str]:
    """Yield a table of hosts, those that may be chosen marked with a star."""
    if not hosts:
        yield 'no hosts'
        return
    rows = [('', *HOST_COLUMNS)]
    for host in hosts:
        cells = [format_cell(host[name]) for name in HOST_COLUMNS]
        rows.append(('*' if host['may_be_chosen'] else '', *cells))
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield '  '.join(cells).rstrip()


def format_cell(content: Any) -> str:
    """Return one figure of a host; `-` if there is none."""
    return '-' if content is None else str(content)
