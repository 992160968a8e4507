"""Tests of the deploy file's templates, filled in as the platform does it."""

import tempfile
import tomllib
from pathlib import Path

import testtools

from pollenwalk.commands.main import EXIT_USAGE, main
from pollenwalk.platform.templates import fill_template
from pollenwalk.process.settings import parse_settings

DEPLOY = Path(__file__).resolve().parents[2] / 'deploy'
ZONES = {'rimouski': 'east', 'gatineau': 'west'}
VALUES = {
    'node_name': 'front-1',
    'machine_class': 'front',
    'zone': 'rimouski',
    'zones.rimouski': 'east',
    'zones.gatineau': 'west',
    'ip': '10.1.0.38',
    'listen.front': '10.1.0.38:8149',
    'listen.ready': '10.1.0.38:8141',
    'port_range': '7380,7395',
    'data_dir': '/data/keeper',
    'bootstrap': 'true',
    'bounds.grace_s': '8',
    'bounds.config_apply_ms': '4000',
    'bounds.drain_ms': '5000',
    'fault_tolerance.machines': '2',
    'platform.address': '10.200.1.7:8142',
}


class TemplatesTest(testtools.TestCase):
    """The settings that a process reads at its start."""

    def test_settings_of_every_role_are_valid(self) -> None:
        deploy = tomllib.loads((DEPLOY / 'system.toml').read_text())
        for role, entry in deploy['roles'].items():
            template = (DEPLOY.parent / entry['template']).read_text()
            settings = parse_settings(fill_template(template, VALUES), role, role)
            own = settings.section(role)
            self.assertEqual('front-1', own['name'])
            self.assertEqual(2, own['tolerated_losses'])
            self.assertEqual(ZONES, settings.regions)
            port = entry['metrics'].partition('/')[0]
            self.assertTrue(own['metrics'].endswith(f':{port}'))

    def test_grace_period_may_be_a_fraction(self) -> None:
        template = (DEPLOY / 'gateway.ini').read_text()
        text = fill_template(template, {**VALUES, 'bounds.grace_s': '8.5'})
        settings = parse_settings(text, 'gateway', 'gateway')
        self.assertEqual(8.5, settings.section('gateway')['grace_s'])

    def test_bounds_of_the_platform_replace_the_defaults(self) -> None:
        template = (DEPLOY / 'gateway.ini').read_text()
        own = parse_settings(
            fill_template(template, VALUES), 'gateway', 'gateway'
        ).section('gateway')
        self.assertEqual((4000, 5000), (own['change_delay_ms'], own['leave_notice_ms']))

    def test_bounds_of_quotas(self) -> None:
        # Without quotas in the settings of either role, none would be kept.
        bounds = {
            'bounds.quota_window_s': '5',
            'bounds.quota_excess': '0.2',
            'bounds.quota_slack': '30',
        }
        for role in ('gateway', 'keeper'):
            template = (DEPLOY / f'{role}.ini').read_text()
            for fields, expected in ((bounds, (5, 0.2, 30)), ({}, (0, 0.1, 20))):
                text = fill_template(template, {**VALUES, **fields})
                own = parse_settings(text, role, role).section(role)
                names = ('quota_window_s', 'quota_excess', 'quota_slack')
                self.assertEqual(expected, tuple(own[name] for name in names))

    def test_missing_bounds_have_the_defaults(self) -> None:
        fields_without_bounds = {
            name: text for name, text in VALUES.items() if 'ms' not in name
        }
        template = (DEPLOY / 'gateway.ini').read_text()
        text = fill_template(template, fields_without_bounds)
        own = parse_settings(text, 'gateway', 'gateway').section('gateway')
        self.assertEqual((3000, 3000), (own['change_delay_ms'], own['leave_notice_ms']))

    def test_limits_of_the_machine(self) -> None:
        limits = {'limits.memory_mb': '88', 'limits.max_fds': '4100'}
        for role in ('gateway', 'keeper'):
            template = (DEPLOY / f'{role}.ini').read_text()
            text = fill_template(template, {**VALUES, **limits})
            own = parse_settings(text, role, role).section(role)
            self.assertEqual((88, 4100), (own['memory_mb'], own['max_descriptors']))


class CheckDeploymentTest(testtools.TestCase):
    """The command that checks a deploy file before the deployment."""

    def folder(self) -> Path:
        """Make a folder that is removed after the test."""
        new_folder = tempfile.TemporaryDirectory()
        self.addCleanup(new_folder.cleanup)
        return Path(new_folder.name)

    def check(self, changes: dict[str, str]) -> int:
        """Check the project's deploy file with a host's fields.

        Returns:
            The command's exit code.
        """
        path = self.folder() / 'host.conf'
        fields = {**VALUES, **changes}
        path.write_text(''.join(f'{key}={text}\n' for key, text in fields.items()))
        deploy = str(DEPLOY / 'system.toml')
        return main(['check-deployment', deploy, '--host-settings', str(path)])

    def test_deploy_file_is_valid_on_each_host_class(self) -> None:
        self.assertEqual(0, self.check({}))
        self.assertEqual(0, self.check({'machine_class': 'storage'}))

    def test_invalid_settings(self) -> None:
        self.assertEqual(EXIT_USAGE, self.check({'listen.front': ''}))
        self.assertEqual(EXIT_USAGE, self.check({'zone': 'nowhere'}))

    def test_host_class_without_a_role(self) -> None:
        self.assertEqual(EXIT_USAGE, self.check({'machine_class': 'sidecar'}))

    def test_unknown_or_incomplete_role(self) -> None:
        path = self.folder() / 'system.toml'
        path.write_text('[roles.router]\nrun = "x"\non = "front"\ntemplate = "t"\n')
        self.assertEqual(EXIT_USAGE, main(['check-deployment', str(path)]))
        path.write_text('[roles.gateway]\nrun = "x"\n')
        self.assertEqual(EXIT_USAGE, main(['check-deployment', str(path)]))
