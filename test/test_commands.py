"""The command line against running processes, as operators use it."""

import json
import subprocess
import sys
from pathlib import Path

import testtools

from standin.processes import Processes

GOOD = """
[Priority counter]
level = 2
"""
BAD = """
[Priority counter]
level = high
[Upstream x]
kind = other
slots = 0
[Thing y]
"""
REFUSED = """
[Program new]
upstreams = nowhere
"""
LOAD = """
[load]
entries = {url}
programs = 5
rate = 20
arrival = burst
[process]
log_level = ERROR
"""


class CommandsTest(testtools.TestCase):
    """One small system for all commands."""

    def setUp(self) -> None:
        super().setUp()
        self.processes = Processes()
        self.addCleanup(self.processes.close)

    def run_process(self, *words: str) -> subprocess.CompletedProcess[str]:
        """Run a command to its end."""
        return subprocess.run(
            [sys.executable, '-m', 'pollenwalk', *words],
            capture_output=True,
            text=True,
            check=False,
        )

    def run_command(self, *words: str) -> tuple[int, str]:
        """Run a command; give its exit code and all that it said."""
        done = self.run_process(*words)
        return done.returncode, done.stdout + done.stderr

    def write(self, name: str, text: str) -> str:
        """Write a file and give its path."""
        return self.processes.write(name, text)

    def test_operators_day(self) -> None:
        self.processes.start_all(('rimouski',), models=1, plains=1)
        store = ('--store', self.processes.store)
        self.check_apply(store)
        self.check_reading(store)
        self.check_load()
        self.check_drain()

    def check_apply(self, store: tuple[str, str]) -> None:
        """Apply good, wrong, refused and outdated resources."""
        good = self.write('good.ini', GOOD)
        code, said = self.run_command('apply', *store, good)
        self.assertEqual(0, code, said)
        self.assertIn('Priority/counter: accepted at version', said)
        code, said = self.run_command('apply', *store, self.write('bad.ini', BAD))
        self.assertEqual((2, 4), (code, said.count('bad.ini:')), said)
        refused = self.write('refused.ini', REFUSED)
        code, said = self.run_command('apply', *store, refused)
        self.assertEqual(1, code, said)
        self.assertIn('refused: upstream nowhere is not declared', said)
        newer = self.write('newer.ini', GOOD.replace('2', '4'))
        code, said = self.run_command('apply', *store, '--version', '1', newer)
        self.assertEqual(1, code, said)
        self.assertIn('conflict', said)
        code, said = self.run_command('apply', *store, str(Path('no') / 'such.ini'))
        self.assertEqual(2, code, said)

    def check_reading(self, store: tuple[str, str]) -> None:
        """Read resources, delete one, and look at the entries."""
        code, said = self.run_command('get', *store, 'Priority/counter')
        shown = json.loads(said)
        self.assertEqual((0, {'level': 2}), (code, shown['in_force']))
        code, said = self.run_command('get', *store, 'Program/new')
        self.assertIn('nowhere', json.loads(said)['reason'])
        code, said = self.run_command('get', *store, 'Priority/none')
        self.assertEqual(1, code, said)
        code, said = self.run_command('delete', *store, 'Priority/counter')
        self.assertEqual((0, 'Priority/counter: deleted\n'), (code, said))
        code, said = self.run_command('delete', *store, 'counter')
        self.assertEqual(2, code, said)
        code, said = self.run_command('status', *store)
        self.assertTrue(json.loads(said)['answers'], said)

    def check_load(self) -> None:
        """Run the load tool."""
        config = self.write('load.ini', LOAD.format(url=self.processes.urls[0]))
        done = self.run_process('load', '--config', config)
        # The progress of a longer run stands on standard error.
        result = json.loads(done.stdout)
        self.assertEqual(0, done.returncode, done.stderr)
        self.assertEqual(result['programs_begun'], result['programs_completed'])
        self.assertGreater(result['latency_ms']['p50'], 0)

    def check_drain(self) -> None:
        """Drain a sidecar; one that is not there is an error."""
        text = (self.processes.folder / 'orders-0.ini').read_text()
        address = next(
            line.partition('=')[2].strip()
            for line in text.splitlines()
            if line.startswith('address')
        )
        code, said = self.run_command('drain', address)
        self.assertEqual((0, f'{address}: draining\n'), (code, said))
        self.processes.kill('orders-0')
        code, said = self.run_command('drain', address)
        self.assertEqual(1, code, said)

    def test_checks_and_help(self) -> None:
        code, said = self.run_command('check', self.write('bad.ini', BAD))
        self.assertEqual((2, 4), (code, said.count('bad.ini:')), said)
        code, said = self.run_command('check', self.write('good.ini', GOOD))
        self.assertEqual((0, 'Priority/counter: valid\n'), (code, said))
        wrong = self.write('wrong.ini', '[entry]\nadress = 1\n')
        for role in ('entry', 'sidecar'):
            code, said = self.run_command(role, '--config', wrong)
            self.assertEqual(2, code, said)
            self.assertIn('[entry] adress: unknown key', said)
        code, said = self.run_command('settings')
        self.assertEqual(0, code)
        code, said = self.run_command('--help')
        self.assertIn('exit codes', said)
        code, said = self.run_command('nonsense')
        self.assertEqual(2, code)
