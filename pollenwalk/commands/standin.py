"""`pollenwalk standin` and `pollenwalk load`: trying separate processes by hand."""

import argparse
import asyncio
import json
import sys
from typing import Any

from pollenwalk.commands.options import add_config_option
from pollenwalk.process.logs import set_up_logs
from pollenwalk.process.settings import read_settings

DEFAULT_STEP_MS = 10.0
DEFAULT_SLOTS = 8
STANDIN_KINDS = ('store', 'engine', 'service')


def add_parser(subparsers: Any) -> None:
    """Add both subcommands."""
    standin: argparse.ArgumentParser = subparsers.add_parser(
        'standin',
        help='run one stand-in of an outside system, until SIGTERM',
        description=(
            'Runs a stand-in for the object store, a model engine or a plain '
            'service on its own address, for trying the daemons without the '
            'real ones.'
        ),
    )
    standin.add_argument('kind', choices=STANDIN_KINDS)
    standin.add_argument('--address', required=True, metavar='IP:PORT')
    standin.add_argument(
        '--name',
        default='service',
        help='of a service; shown in its answers',
    )
    standin.add_argument(
        '--step-ms',
        type=float,
        default=DEFAULT_STEP_MS,
        help='time of one step of an engine (default 10)',
    )
    standin.add_argument(
        '--slots',
        type=int,
        default=DEFAULT_SLOTS,
        help='calls in one batch of an engine (default 8)',
    )
    standin.set_defaults(run=run_standin)
    load: argparse.ArgumentParser = subparsers.add_parser(
        'load',
        help='run programs against entries and report what came of it',
        description=(
            "Runs the two deployments' programs against running entries. "
            'Progress goes to standard error, one JSON object to standard '
            'output. Exits with 1 when a program did not complete.'
        ),
    )
    add_config_option(load)
    load.set_defaults(run=run_load)


def run_standin(options: argparse.Namespace) -> int:
    """Run a stand-in."""
    # The stand-ins are no part of an installation, only of the source tree.
    from standin.serve import make_app, serve_standin  # noqa: PLC0415, WPS433

    set_up_logs('ERROR')
    app = make_app(options)
    asyncio.run(serve_standin(app, options.address))
    return 0


def run_load(options: argparse.Namespace) -> int:
    """Run the load tool."""
    from standin.load import run_programs  # noqa: PLC0415, WPS433

    settings = read_settings(options.config, 'load')
    set_up_logs(settings.section('process')['log_level'])
    result = asyncio.run(run_programs(settings.section('load')))
    sys.stdout.write(f'{json.dumps(result)}\n')
    return int(result['programs_completed'] != result['programs_begun'])
