"""The command line: runs a subcommand and prints errors to standard error."""

import argparse
import sys
from collections.abc import Sequence

from pollenwalk import __version__
from pollenwalk.commands import (
    daemons,
    demo,
    deployment,
    experiment,
    explain,
    resources,
    scenarios,
    standin,
    status,
)
from pollenwalk.errors import PollenwalkError, UserError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

COMMAND_MODULES = (
    daemons,
    resources,
    deployment,
    status,
    explain,
    demo,
    standin,
    scenarios,
    experiment,
)
EPILOG = """\
exit codes:
  0  success
  1  the command failed: for example, a resource was refused, a guarantee was
     violated or a program did not complete
  2  the command line, a settings file or a resource file is invalid
"""


def make_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line with all subcommands."""
    parser = argparse.ArgumentParser(
        prog='pollenwalk',
        description='A scheduler for agent programs.',
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('--version', action='version', version=__version__)
    subparsers = parser.add_subparsers(
        dest='command',
        required=True,
        metavar='COMMAND',
    )
    for module in COMMAND_MODULES:
        module.add_parser(subparsers)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one subcommand.

    Args:
        arguments: the arguments without the program's name; None for those of
            the process.

    Returns:
        The exit code.
    """
    options = make_parser().parse_args(arguments)
    try:
        return options.run(options)
    except UserError as error:
        sys.stderr.write(f'pollenwalk: {error.message}\n')
        return EXIT_USAGE
    except PollenwalkError as error:
        sys.stderr.write(f'pollenwalk: {error.code}: {error.message}\n')
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_FAILED
