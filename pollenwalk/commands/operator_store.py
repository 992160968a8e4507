"""The store as the operators' subcommands use it."""

import argparse

from pollenwalk.connection.store_http import HttpStore
from pollenwalk.process.logs import set_up_logs
from pollenwalk.process.settings import read_settings


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
