"""The subcommands that run daemons."""

import signal
from unittest import mock

import testtools

from pollenwalk.commands import daemons
from pollenwalk.errors import UserError


class EarlySignalsTest(testtools.TestCase):
    """Signals that come before a daemon can handle them."""

    def test_hangup_during_the_start(self) -> None:
        # Guards against a process that ends as its settings change while it starts.
        self.addCleanup(signal.signal, signal.SIGHUP, signal.SIG_DFL)
        for run in (daemons.run_gateway, daemons.run_keeper):
            signal.signal(signal.SIGHUP, signal.SIG_DFL)
            with mock.patch.object(daemons, 'read_settings', self.hang_up):
                self.assertRaises(UserError, run, mock.Mock())

    def hang_up(self, *_options: object) -> None:
        """Stand for the beginning of the start, in which the signal comes."""
        self.assertEqual(signal.SIG_IGN, signal.getsignal(signal.SIGHUP))
        signal.raise_signal(signal.SIGHUP)
        raise UserError('no settings')
