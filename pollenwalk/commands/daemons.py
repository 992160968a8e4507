"""The subcommands that run a daemon: `gateway`, `keeper`, `entry`, `sidecar`."""

import argparse
from collections.abc import Callable
from typing import Any, NamedTuple

from pollenwalk.commands.options import add_config_option
from pollenwalk.process.settings import read_settings
from pollenwalk.process.signals import ignore_hangup


def run_gateway(options: argparse.Namespace) -> int:
    """Run a gateway until SIGTERM."""
    ignore_hangup()
    settings = read_settings(options.config, 'gateway')
    # Imported here so that each daemon loads only the modules that it uses, as
    # the hosts have little memory.
    from pollenwalk.process import gateway_daemon  # noqa: PLC0415, WPS433

    gateway_daemon.run_gateway(settings, options.config)
    return 0


def run_keeper(options: argparse.Namespace) -> int:
    """Run a keeper until SIGTERM."""
    ignore_hangup()
    settings = read_settings(options.config, 'keeper')
    # Imported here to save memory, see `run_gateway`.
    from pollenwalk.process import keeper_daemon  # noqa: PLC0415, WPS433

    keeper_daemon.run_keeper(settings)
    return 0


def run_entry(options: argparse.Namespace) -> int:
    """Run an entry until SIGTERM."""
    settings = read_settings(options.config, 'entry')
    # Imported here to save memory, see `run_gateway`.
    from pollenwalk.process import daemon  # noqa: PLC0415, WPS433

    daemon.run_daemon(settings, daemon.start_entry)
    return 0


def run_sidecar(options: argparse.Namespace) -> int:
    """Run a sidecar until SIGTERM."""
    settings = read_settings(options.config, 'sidecar')
    # Imported here to save memory, see `run_gateway`.
    from pollenwalk.process import daemon  # noqa: PLC0415, WPS433

    daemon.run_daemon(settings, daemon.start_sidecar)
    return 0


class Daemon(NamedTuple):
    """A subcommand that runs a process until SIGTERM.

    Attributes:
        name: name of the subcommand.
        summary: one line for the list of subcommands.
        description: text at the head of the subcommand's own help.
        run: runs the daemon and returns the exit code.
    """

    name: str
    summary: str
    description: str
    run: Callable[[argparse.Namespace], int]


DAEMONS = (
    Daemon(
        'gateway',
        "forward callers' requests to upstream hosts, until SIGTERM",
        'Runs a gateway: routes requests by the configuration in the store, '
        'chooses upstream hosts and adds the earlier turns of a program to its '
        'prompts. On SIGTERM it reports that it is not ready, finishes the '
        'requests in progress within its grace period and exits with 0.',
        run_gateway,
    ),
    Daemon(
        'keeper',
        "store programs' turns and budgets on disk, until SIGTERM",
        "Runs a keeper: stores copies of programs' turns, and how many tokens "
        'each program has spent, on its disk.',
        run_keeper,
    ),
    Daemon(
        'entry',
        "accept callers' requests, until SIGTERM",
        'Runs an entry: accepts calls over HTTP and owns a share of the '
        'programs. On SIGTERM it hands its programs over to another entry, '
        'finishes the requests in progress and exits with 0.',
        run_entry,
    ),
    Daemon(
        'sidecar',
        'forward calls to the upstream server on its host, until SIGTERM',
        'Runs a sidecar: forwards all calls to the upstream server on its host; '
        'no other process connects to that server. On SIGTERM it refuses new '
        'calls, finishes those in progress and exits with 0.',
        run_sidecar,
    ),
)


def add_parser(subparsers: Any) -> None:
    """Add the subcommand of each daemon."""
    for daemon in DAEMONS:
        parser: argparse.ArgumentParser = subparsers.add_parser(
            daemon.name,
            help=daemon.summary,
            description=daemon.description,
        )
        add_config_option(parser)
        parser.set_defaults(run=daemon.run)
