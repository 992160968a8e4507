"""Tests of the command line, as an operator uses it, with running processes."""

import json
import subprocess
import sys
from pathlib import Path

import testtools

from standin.processes import Processes

VALID_RESOURCES = """
[Priority counter]
level = 2
"""
INVALID_RESOURCES = """
[Priority counter]
level = high
[Upstream x]
kind = other
slots = 0
[Thing y]
"""
REFUSED_RESOURCES = """
[Program new]
upstreams = nowhere
"""
LOAD_SETTINGS = """
[load]
entries = {url}
programs = 5
rate = 20
arrival = burst
[process]
log_level = ERROR
"""


class CommandsTest(testtools.TestCase):
    """Runs the commands against a small system of separate processes."""

    def setUp(self) -> None:
        super().setUp()
        self.processes = Processes()
        self.addCleanup(self.processes.close)

    def run_process(self, *words: str) -> subprocess.CompletedProcess[str]:
        """Run a command until it exits."""
        return subprocess.run(
            [sys.executable, '-m', 'pollenwalk', *words],
            capture_output=True,
            text=True,
            check=False,
        )

    def run_command(self, *words: str) -> tuple[int, str]:
        """Run a command and return its exit code and its output, errors included."""
        completed = self.run_process(*words)
        return completed.returncode, completed.stdout + completed.stderr

    def write(self, name: str, text: str) -> str:
        """Write a file and return its path."""
        return self.processes.write(name, text)

    def test_commands_on_running_processes(self) -> None:
        self.processes.start_all(('rimouski',), models=1, plains=1)
        store = ('--store', self.processes.store)
        self.check_apply(store)
        self.check_get_delete_status(store)
        self.check_load()
        self.check_drain()

    def check_apply(self, store: tuple[str, str]) -> None:
        """Apply valid, invalid, refused and outdated resources and a missing file."""
        valid_path = self.write('good.ini', VALID_RESOURCES)
        code, output = self.run_command('apply', *store, valid_path)
        self.assertEqual(0, code, output)
        self.assertIn('Priority/counter: accepted at version', output)
        code, output = self.run_command(
            'apply', *store, self.write('bad.ini', INVALID_RESOURCES)
        )
        self.assertEqual((2, 4), (code, output.count('bad.ini:')), output)
        refused_path = self.write('refused.ini', REFUSED_RESOURCES)
        code, output = self.run_command('apply', *store, refused_path)
        self.assertEqual(1, code, output)
        self.assertIn('refused: upstream nowhere is not declared', output)
        newer_path = self.write('newer.ini', VALID_RESOURCES.replace('2', '4'))
        code, output = self.run_command('apply', *store, '--version', '1', newer_path)
        self.assertEqual(1, code, output)
        self.assertIn('conflict', output)
        code, output = self.run_command('apply', *store, str(Path('no') / 'such.ini'))
        self.assertEqual(2, code, output)

    def check_get_delete_status(self, store: tuple[str, str]) -> None:
        """Get and delete resources, and print the status of the entries."""
        code, output = self.run_command('get', *store, 'Priority/counter')
        resource = json.loads(output)
        self.assertEqual((0, {'level': 2}), (code, resource['in_force']))
        code, output = self.run_command('get', *store, 'Program/new')
        self.assertIn('nowhere', json.loads(output)['reason'])
        code, output = self.run_command('get', *store, 'Priority/none')
        self.assertEqual(1, code, output)
        code, output = self.run_command('delete', *store, 'Priority/counter')
        self.assertEqual((0, 'Priority/counter: deleted\n'), (code, output))
        code, output = self.run_command('delete', *store, 'counter')
        self.assertEqual(2, code, output)
        code, output = self.run_command('status', *store)
        self.assertTrue(json.loads(output)['answers'], output)

    def check_load(self) -> None:
        """Run programs with `load` and check that all complete."""
        config = self.write(
            'load.ini', LOAD_SETTINGS.format(url=self.processes.urls[0])
        )
        completed = self.run_process('load', '--config', config)
        # Standard output holds only the result; progress goes to standard error.
        result = json.loads(completed.stdout)
        self.assertEqual(0, completed.returncode, completed.stderr)
        self.assertEqual(result['programs_begun'], result['programs_completed'])
        self.assertGreater(result['latency_ms']['p50'], 0)

    def check_drain(self) -> None:
        """Drain a running sidecar; draining a killed one fails."""
        text = (self.processes.folder / 'orders-0.ini').read_text()
        address = next(
            line.partition('=')[2].strip()
            for line in text.splitlines()
            if line.startswith('address')
        )
        code, output = self.run_command('drain', address)
        self.assertEqual((0, f'{address}: draining\n'), (code, output))
        self.processes.kill('orders-0')
        code, output = self.run_command('drain', address)
        self.assertEqual(1, code, output)

    def test_validation_and_usage(self) -> None:
        code, output = self.run_command(
            'check', self.write('bad.ini', INVALID_RESOURCES)
        )
        self.assertEqual((2, 4), (code, output.count('bad.ini:')), output)
        code, output = self.run_command(
            'check', self.write('good.ini', VALID_RESOURCES)
        )
        self.assertEqual((0, 'Priority/counter: valid\n'), (code, output))
        wrong_path = self.write('wrong.ini', '[entry]\nadress = 1\n')
        for role in ('entry', 'sidecar'):
            code, output = self.run_command(role, '--config', wrong_path)
            self.assertEqual(2, code, output)
            self.assertIn('[entry] adress: unknown key', output)
        code, output = self.run_command('settings')
        self.assertEqual(0, code)
        code, output = self.run_command('--help')
        self.assertIn('exit codes', output)
        code, output = self.run_command('nonsense')
        self.assertEqual(2, code)
