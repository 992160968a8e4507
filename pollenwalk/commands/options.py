"""Options that several subcommands have in common."""

import argparse
from pathlib import Path

from pollenwalk.errors import UserError


def add_config_option(parser: argparse.ArgumentParser) -> None:
    """Add the required option `--config`."""
    parser.add_argument(
        '--config',
        type=Path,
        required=True,
        metavar='FILE',
        help='settings file; see `pollenwalk settings` for all keys',
    )


def add_store_options(parser: argparse.ArgumentParser) -> None:
    """Add `--store` and `--config`, of which exactly one must be given."""
    group = parser.add_mutually_exclusive_group(required=True)
    group.add_argument(
        '--store',
        metavar='URL',
        help="URL of the platform's object store",
    )
    group.add_argument(
        '--config',
        type=Path,
        metavar='FILE',
        help='settings file whose [store] section has the URL',
    )


def split_resource_name(text: str) -> tuple[str, str]:
    """Split `Kind/name` into kind and name.

    Raises:
        UserError: the text has another form.
    """
    kind, slash, name = text.partition('/')
    if not slash or not name:
        raise UserError(f'{text!r} is not Kind/name')
    return kind, name
