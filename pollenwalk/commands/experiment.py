"""`pollenwalk experiment`: measurements, each a table and one JSON object."""

import argparse
import importlib
import json
import sys
from pathlib import Path
from typing import Any

from pollenwalk.process.logs import set_up_logs

EXPERIMENTS = ('overhead', 'placement', 'recovery', 'slopes', 'storm')
INDENT = 2


def add_parser(subparsers: Any) -> None:
    """Add the subcommand."""
    parser: argparse.ArgumentParser = subparsers.add_parser(
        'experiment',
        help='measure; ratios are taken within one run',
        description='docs/experiments.md tells what each experiment measures.',
    )
    parser.add_argument('name', choices=EXPERIMENTS)
    parser.add_argument('--seed', type=int, default=1, help='of all randomness')
    parser.add_argument('--json', action='store_true', help='one JSON object')
    parser.add_argument('--plot', type=Path, metavar='FILE', help='write a PNG')
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run one experiment."""
    set_up_logs('CRITICAL')
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
