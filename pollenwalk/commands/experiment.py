"""The subcommand `experiment`: runs a measurement and prints its result."""

import argparse
import importlib
import json
import sys
from pathlib import Path
from typing import Any

from pollenwalk.process.logs import set_up_logs

EXPERIMENTS = (
    'keeper_log',
    'limits',
    'overhead',
    'placement',
    'quotas',
    'recovery',
    'slopes',
    'storm',
)
INDENT = 2


def add_parser(subparsers: Any) -> None:
    """Add the subcommand."""
    parser: argparse.ArgumentParser = subparsers.add_parser(
        'experiment',
        help='run a measurement; ratios only compare values of the same run',
        description='docs/experiments.md describes what each experiment measures.',
    )
    parser.add_argument('name', choices=EXPERIMENTS)
    parser.add_argument(
        '--seed', type=int, default=1, help='seed of the random numbers (default 1)'
    )
    parser.add_argument(
        '--json', action='store_true', help='print the JSON object on one line'
    )
    parser.add_argument('--plot', type=Path, metavar='FILE', help='write a plot as PNG')
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run one experiment and print its result as JSON.

    Returns:
        1 if a plot was asked for and the experiment has none, else 0.
    """
    set_up_logs('CRITICAL')
    # Imported here because the experiments are in the source tree but not in an
    # installation.
    module = importlib.import_module(f'standin.experiments.{options.name}')
    result = module.run(options.seed)
    indent = None if options.json else INDENT
    sys.stdout.write(f'{json.dumps(result, indent=indent)}\n')
    if options.plot:
        plot = getattr(module, 'plot', None)
        if plot is None:
            sys.stderr.write(f'pollenwalk: {options.name} has no plot\n')
            return 1
        plot(result, options.plot)
    return 0
