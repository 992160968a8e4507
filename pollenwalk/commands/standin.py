"""The subcommands `standin` and `load`, to try out the daemons by hand."""

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
    """Add the subcommands `standin` and `load`."""
    standin: argparse.ArgumentParser = subparsers.add_parser(
        'standin',
        help='run one stand-in for an external system, until SIGTERM',
        description=(
            'Runs a stand-in for the object store, a model engine or a plain '
            'service on the given address, so that the daemons can be tried out '
            'without the real systems.'
        ),
    )
    standin.add_argument('kind', choices=STANDIN_KINDS)
    standin.add_argument('--address', required=True, metavar='IP:PORT')
    standin.add_argument(
        '--name',
        default='service',
        help='name of a service; part of its answers (default service)',
    )
    standin.add_argument(
        '--step-ms',
        type=float,
        default=DEFAULT_STEP_MS,
        help='duration of one batch step of an engine, in ms (default 10)',
    )
    standin.add_argument(
        '--slots',
        type=int,
        default=DEFAULT_SLOTS,
        help='maximum number of calls in one batch of an engine (default 8)',
    )
    standin.set_defaults(run=run_standin)
    load: argparse.ArgumentParser = subparsers.add_parser(
        'load',
        help='run programs against running entries and print a report',
        description=(
            'Runs the programs of two deployments, spares-dispatch and '
            'tea-chest, against running entries. Prints the progress to standard '
            'error and the report as one JSON object to standard output. Exits '
            'with 1 if a program did not complete.'
        ),
    )
    add_config_option(load)
    load.set_defaults(run=run_load)


def run_standin(options: argparse.Namespace) -> int:
    """Run a stand-in until SIGTERM."""
    # Imported here because the stand-ins are in the source tree but not in an
    # installation.
    from standin.serve import make_app, serve_standin  # noqa: PLC0415, WPS433

    set_up_logs('ERROR')
    app = make_app(options)
    asyncio.run(serve_standin(app, options.address))
    return 0


def run_load(options: argparse.Namespace) -> int:
    """Run programs against the entries and print the report.

    Returns:
        1 if a program did not complete, else 0.
    """
    # Imported here for the same reason as in `run_standin`.
    from standin.load import run_programs  # noqa: PLC0415, WPS433

    settings = read_settings(options.config, 'load')
    set_up_logs(settings.section('process')['log_level'])
    result = asyncio.run(run_programs(settings.section('load')))
    sys.stdout.write(f'{json.dumps(result)}\n')
    return int(result['programs_completed'] != result['programs_begun'])
