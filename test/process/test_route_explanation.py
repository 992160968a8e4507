"""The command that explains where a gateway would send a request."""

import asyncio
import contextlib
import io
import json

import testtools

from pollenwalk.commands.main import EXIT_FAILED, EXIT_OK, EXIT_USAGE, main
from pollenwalk.connection.hosts import UpstreamHost
from pollenwalk.connection.http_server import free_port
from pollenwalk.process.store import StoredObject
from test.helper import on_loop
from test.process.test_gateway_daemon import CONFIGURATION, make_process

NEAR = UpstreamHost('near', 'up', '127.0.0.1:1', 'a', 4, False, 0, 0)
ORGANISATIONS = [{'name': 'acme', 'api_keys': ['k1'], 'rate_per_s': 1, 'burst': 1}]


class ExplainRouteTest(testtools.TestCase):
    """A gateway with four hosts, which is asked over its metrics address."""

    async def ask(
        self, *words: str, organisations: bool = False
    ) -> tuple[int, str, str]:
        """Run the command; return its exit code, output and error message."""
        process = make_process(free_port())
        more = {'tenants': ORGANISATIONS} if organisations else {}
        body = json.dumps({**CONFIGURATION, **more}).encode()
        gateway = process.gateway
        gateway.active_configuration.apply(StoredObject('config/main', body, 1))
        for host in (
            NEAR,
            NEAR._replace(id='far', zone='z'),
            NEAR._replace(id='leaves', leaving=True),
            NEAR._replace(id='failed'),
        ):
            gateway.host_table.register(host, 1)
        now_ms = process.clock.now_ms()
        gateway.host_table.states['failed'].record_failure(now_ms + 5000)
        await process.metrics_page.start()
        address = process.settings.section('gateway')['metrics']
        try:
            return await asyncio.to_thread(self.run_command, address, *words)
        finally:
            await process.metrics_page.stop(0)

    def run_command(self, address: str, *words: str) -> tuple[int, str, str]:
        """Run the command with the address of a gateway."""
        output, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            code = main(['explain-route', '--gateway', address, *words])
        return code, output.getvalue(), errors.getvalue()

    @on_loop
    async def test_json(self) -> None:
        code, output, _ = await self.ask('--json', 'h', '/stream/1?q=1&x=%2F')
        explanation = json.loads(output)
        self.assertEqual(EXIT_OK, code)
        self.assertEqual('stream', explanation['route']['name'])
        self.assertEqual('up', explanation['upstream'])
        self.assertTrue(explanation['program_admission']['admitted'])
        hosts = {host['host']: host for host in explanation['hosts']}
        self.assertEqual('near', explanation['hosts'][0]['host'])
        chosen = [name for name in hosts if hosts[name]['may_be_chosen']]
        self.assertEqual(['near'], chosen)
        self.assertTrue(hosts['leaves']['leaving'])
        self.assertTrue(hosts['failed']['suspected_ms'] > 0)
        self.assertEqual('other region', hosts['far']['distance'])

    @on_loop
    async def test_text(self) -> None:
        code, output, _ = await self.ask('h', '/once/1')
        self.assertEqual(EXIT_OK, code)
        self.assertIn('route: name=once', output)
        starred = [line for line in output.splitlines() if line.startswith('*')]
        self.assertEqual(['near'], [line.split()[1] for line in starred])

    @on_loop
    async def test_refused_request(self) -> None:
        _, output, _ = await self.ask('h', '/nowhere')
        self.assertIn('refused: code=unknown_route', output)

    @on_loop
    async def test_headers_of_the_request_count(self) -> None:
        for key, expected in (('k1', 'organisation: acme'), ('k2', 'refused: ')):
            words = ('-H', f'X-Pollenwalk-Credential: {key}', 'h', '/once/1')
            _, output, _ = await self.ask(*words, organisations=True)
            self.assertIn(expected, output)
            self.assertNotIn(key, output)

    @on_loop
    async def test_malformed_questions(self) -> None:
        for words in (
            ('h', 'no-slash'),
            ('-H', 'no-colon', 'h', '/once/1'),
            ('-H', 'bad name: x', 'h', '/once/1'),
            ('h\r\nx: y', '/once/1'),
        ):
            code, output, errors = await self.ask(*words)
            self.assertEqual((EXIT_USAGE, ''), (code, output), words)
            self.assertTrue(errors.startswith('pollenwalk: '), errors)

    def test_unreachable_gateway(self) -> None:
        address = f'127.0.0.1:{free_port()}'
        code, _, errors = self.run_command(address, 'h', '/once/1')
        self.assertEqual(EXIT_FAILED, code)
        self.assertIn(address, errors)
        self.assertNotIn('Traceback', errors)
        code, _, _ = self.run_command('nonsense', 'h', '/once/1')
        self.assertEqual(EXIT_USAGE, code)
