"""The subcommand `demo`: runs the system in one process.

Stand-ins replace the external systems.
"""

import argparse
import asyncio
import json
import sys
from typing import Any

from pollenwalk.process.logs import set_up_logs

DEFAULT_PROGRAMS = 20
DEFAULT_PORT = 8400
# The report's counters and their labels in the table. `mixed` counts answers that
# don't match their calls, `doubled` non-idempotent calls that ran more than once,
# and `out_of_order` programs whose calls arrived out of sequence.
LABELS = (
    ('programs_begun', 'programs begun'),
    ('programs_completed', 'programs completed'),
    ('calls', 'calls'),
    ('lost', 'lost'),
    ('mixed', 'mixed'),
    ('doubled', 'doubled'),
    ('out_of_order', 'out of order'),
    ('over_budget', 'over budget'),
    ('held_after_end', 'engine tokens held after end'),
    ('wasted_cache_tokens', 'wasted cache, tokens'),
    ('cross_region_bytes', 'cross-region bytes'),
)
# Counters that are 0 unless a guarantee was violated. `held_after_end` is not
# listed, as it counts tokens, but it must be 0 as well.
VIOLATION_COUNTS = ('lost', 'mixed', 'doubled', 'out_of_order', 'over_budget')


def add_parser(subparsers: Any) -> None:
    """Add the subcommand."""
    parser: argparse.ArgumentParser = subparsers.add_parser(
        'demo',
        help='run the programs of two deployments on stand-ins and print a report',
        description=(
            'Runs on loopback: stand-ins for the external systems, two entries '
            'and a sidecar for each upstream host. Simulated callers run the '
            'programs of two deployments, spares-dispatch and tea-chest. All '
            'figures are counted by the stand-ins and the callers. Exits with 1 '
            'if a guarantee was violated.'
        ),
    )
    parser.add_argument(
        '--json',
        action='store_true',
        help='print one JSON object instead of a table',
    )
    parser.add_argument(
        '--seed', type=int, default=1, help='seed of the random numbers (default 1)'
    )
    parser.add_argument(
        '--programs',
        type=int,
        default=DEFAULT_PROGRAMS,
        help=f'number of programs of each deployment (default {DEFAULT_PROGRAMS})',
    )
    parser.add_argument(
        '--serve',
        action='store_true',
        help='run the system without programs until SIGTERM',
    )
    parser.add_argument(
        '--port',
        type=int,
        default=DEFAULT_PORT,
        help=(
            'with --serve: the two entries accept calls on this port and the '
            f'next one (default {DEFAULT_PORT})'
        ),
    )
    parser.add_argument(
        '--log-level',
        default='ERROR',
        help='lowest level of the JSON log lines on standard error (default ERROR)',
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run the demo, or only its system with `--serve`.

    Returns:
        1 if a guarantee was violated, else 0.
    """
    # Imported here because the stand-ins are in the source tree but not in an
    # installation.
    from standin import demo  # noqa: PLC0415, WPS433

    set_up_logs(options.log_level)
    if options.serve:
        asyncio.run(demo.serve(options.port, options.seed))
        return 0
    report = asyncio.run(demo.run_demo(options.programs, options.seed))
    print_report(report, as_json=options.json)
    figures = report._asdict()
    tokens_held = report.held_after_end
    return int(bool(tokens_held) or any(figures[name] for name in VIOLATION_COUNTS))


def print_report(report: Any, *, as_json: bool) -> None:
    """Print the report as a table or as one JSON object."""
    figures = {**report._asdict(), 'latency_ms': report.latency_ms._asdict()}
    if as_json:
        sys.stdout.write(f'{json.dumps(figures)}\n')
        return
    for name, label in LABELS:
        sys.stdout.write(f'{label:<30}{figures[name]:>12}\n')
    for percentile, value in figures['latency_ms'].items():
        label_text = f'whole program {percentile}, ms'
        sys.stdout.write(f'{label_text:<30}{value:>12.0f}\n')
