"""The daemons: `gateway`, `keeper`, `entry` and `sidecar`."""

import argparse
from typing import Any

from pollenwalk.commands.options import add_config
from pollenwalk.process.settings import read_settings


def add_parser(subparsers: Any) -> None:
    """Add a subcommand for each daemon."""
    gateway: argparse.ArgumentParser = subparsers.add_parser(
        'gateway',
        help="pass callers' requests on to upstream hosts, until SIGTERM",
        description=(
            'Runs a gateway: routes requests by the configuration in the '
            'store, chooses upstream hosts and completes the prompts of '
            'turns. On SIGTERM it takes no new callers, finishes the '
            'requests in progress and exits with 0.'
        ),
    )
    add_config(gateway)
    gateway.set_defaults(run=run_gateway)
    keeper: argparse.ArgumentParser = subparsers.add_parser(
        'keeper',
        help="keep programs' turns and budgets on disk, until SIGTERM",
        description=(
            'Runs a keeper: one of the replicas that hold the turns and the '
            'spent tokens of programs on their disks.'
        ),
    )
    add_config(keeper)
    keeper.set_defaults(run=run_keeper)
    entry: argparse.ArgumentParser = subparsers.add_parser(
        'entry',
        help="take callers' requests, until SIGTERM",
        description=(
            'Runs an entry host: takes calls over HTTP and is home to a share '
            'of the programs. On SIGTERM it hands its programs over, finishes '
            'the requests in progress and exits with 0.'
        ),
    )
    add_config(entry)
    entry.set_defaults(run=run_entry)
    sidecar: argparse.ArgumentParser = subparsers.add_parser(
        'sidecar',
        help='stand beside an upstream, until SIGTERM',
        description=(
            'Runs beside one upstream and is the only process that talks to '
            'it. On SIGTERM it refuses new calls, finishes those in progress '
            'and exits with 0.'
        ),
    )
    add_config(sidecar)
    sidecar.set_defaults(run=run_sidecar)


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
