"""The daemons: `gateway`, `keeper`, `entry` and `sidecar`."""

import argparse
from collections.abc import Callable
from typing import Any, NamedTuple

from pollenwalk.commands.options import add_config_option
from pollenwalk.process.settings import read_settings


def run_gateway(options: argparse.Namespace) -> int:
    """Run a gateway."""
    settings = read_settings(options.config, 'gateway')
    # Each daemon imports only what it needs: memory is short on the hosts.
    from pollenwalk.process import gateway_daemon  # noqa: PLC0415, WPS433

    gateway_daemon.run_gateway(settings, options.config)
    return 0


def run_keeper(options: argparse.Namespace) -> int:
    """Run a keeper."""
    settings = read_settings(options.config, 'keeper')
    from pollenwalk.process import keeper_daemon  # noqa: PLC0415, WPS433

    keeper_daemon.run_keeper(settings)
    return 0


def run_entry(options: argparse.Namespace) -> int:
    """Run an entry."""
    settings = read_settings(options.config, 'entry')
    # Each daemon imports only what it needs: memory is short on the hosts.
    from pollenwalk.process import daemon  # noqa: PLC0415, WPS433

    daemon.run_daemon(settings, daemon.start_entry)
    return 0


def run_sidecar(options: argparse.Namespace) -> int:
    """Run a sidecar."""
    settings = read_settings(options.config, 'sidecar')
    from pollenwalk.process import daemon  # noqa: PLC0415, WPS433

    daemon.run_daemon(settings, daemon.start_sidecar)
    return 0


class Daemon(NamedTuple):
    """A subcommand that runs until SIGTERM."""

    name: str
    summary: str
    description: str
    run: Callable[[argparse.Namespace], int]


DAEMONS = (
    Daemon(
        'gateway',
        "pass callers' requests on to upstream hosts, until SIGTERM",
        'Runs a gateway: routes requests by the configuration in the store, '
        'chooses upstream hosts and completes the prompts of turns. On SIGTERM '
        'it takes no new callers, finishes the requests in progress and exits '
        'with 0.',
        run_gateway,
    ),
    Daemon(
        'keeper',
        "keep programs' turns and budgets on disk, until SIGTERM",
        'Runs a keeper: one of the replicas that hold the turns and the spent '
        'tokens of programs on their disks.',
        run_keeper,
    ),
    Daemon(
        'entry',
        "take callers' requests, until SIGTERM",
        'Runs an entry host: takes calls over HTTP and is home to a share of '
        'the programs. On SIGTERM it hands its programs over, finishes the '
        'requests in progress and exits with 0.',
        run_entry,
    ),
    Daemon(
        'sidecar',
        'stand beside an upstream, until SIGTERM',
        'Runs beside one upstream and is the only process that talks to it. On '
        'SIGTERM it refuses new calls, finishes those in progress and exits '
        'with 0.',
        run_sidecar,
    ),
)


def add_parser(subparsers: Any) -> None:
    """Add a subcommand for each daemon."""
    for daemon in DAEMONS:
        parser: argparse.ArgumentParser = subparsers.add_parser(
            daemon.name,
            help=daemon.summary,
            description=daemon.description,
        )
        add_config_option(parser)
        parser.set_defaults(run=daemon.run)
