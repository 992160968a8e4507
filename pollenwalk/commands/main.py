"""The command line: runs a subcommand and prints errors to standard error."""

import argparse
import sys
from collections.abc import Sequence
from importlib import import_module
from types import ModuleType

from pollenwalk import __version__
from pollenwalk.commands import daemons
from pollenwalk.errors import PollenwalkError, UserError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

# The modules of the other subcommands, in the order in which help lists them.
TOOL_MODULES = (
    'resources',
    'deployment',
    'status',
    'explain',
    'explain_route',
    'quota',
    'demo',
    'standin',
    'scenarios',
    'experiment',
)
EPILOG = """\
exit codes:
  0  success
  1  the command failed: for example, a resource was refused, a guarantee was
     violated or a program did not complete
  2  the command line, a settings file or a resource file is invalid
"""


def command_modules(command: str) -> list[ModuleType]:
    """Return the modules that are needed to run a subcommand.

    A daemon loads only its own, as its host may have a small processor; for anything
    else all are returned.
    """
    if command in {daemon.name for daemon in daemons.DAEMONS}:
        return [daemons]
    tools = (import_module(f'pollenwalk.commands.{name}') for name in TOOL_MODULES)
    return [daemons, *tools]


def make_parser(command: str = '') -> argparse.ArgumentParser:
    """Build the parser of the command line.

    Args:
        command: the subcommand that will be run; empty for all subcommands.
    """
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
    for module in command_modules(command):
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
    words = sys.argv[1:] if arguments is None else arguments
    options = make_parser(next(iter(words), '')).parse_args(words)
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
