"""Options that several subcommands have in common."""

import argparse
from pathlib import Path

from pollenwalk.connection.store_http import HttpStore
from pollenwalk.errors import UserError
from pollenwalk.process.logs import set_up_logs
from pollenwalk.process.settings import read_settings


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


def open_store(options: argparse.Namespace) -> HttpStore:
    """Open the store that `--store` or the settings file names.

    Also sets up logging: only errors are logged, to standard error.

    Raises:
        UserError: the settings file is invalid or can't be read.
    """
    set_up_logs('ERROR')
    if options.store:
        return HttpStore(options.store.rstrip('/'))
    settings = read_settings(options.config, 'operator')
    return HttpStore(settings.section('store')['url'])


def split_resource_name(text: str) -> tuple[str, str]:
    """Split `Kind/name` into kind and name.

    Raises:
        UserError: the text has another form.
    """
    kind, slash, name = text.partition('/')
    if not slash or not name:
        raise UserError(f'{text!r} is not Kind/name')
    return kind, name
