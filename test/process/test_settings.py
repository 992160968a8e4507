"""Parsing of settings and resources: all errors are reported at once.

Arbitrary text must end in a UserError or parse, never in another exception.
"""

import hypothesis
import testtools
from hypothesis import strategies

from pollenwalk.errors import UserError
from pollenwalk.process.settings import SCHEMAS, default_text, parse_settings
from pollenwalk.version.fields import InvalidFile
from pollenwalk.version.resources import Kind, ProgramSpec, parse_resources
from standin.declarations import DECLARATIONS

GOOD = """
[store]
url = http://127.0.0.1:9000
[regions]
rimouski = est
[entry]
address = 127.0.0.1:7000
http = 127.0.0.1:8080
zone = rimouski
"""
BAD = (
    ('unknown section', f'{GOOD}\n[nope]\n', 'nope', ''),
    ('unknown key', GOOD.replace('[store]', '[store]\nport = 1'), 'store', 'port'),
    ('bad address', GOOD.replace('127.0.0.1:7000', 'host:7000'), 'entry', 'address'),
    ('bad port', GOOD.replace(':7000', ':70000'), 'entry', 'address'),
    ('bad URL', GOOD.replace('http://127', 'ftp://127'), 'store', 'url'),
    ('missing key', GOOD.replace('zone = rimouski', ''), 'entry', 'zone'),
    ('zone without region', GOOD.replace('rimouski = est', ''), 'entry', 'zone'),
    ('number out of bounds', f'{GOOD}witnesses = 99\n', 'entry', 'witnesses'),
    ('no number', f'{GOOD}witnesses = two\n', 'entry', 'witnesses'),
)


class SettingsTest(testtools.TestCase):
    """Parsing of settings."""

    def test_missing_keys_get_defaults(self) -> None:
        settings = parse_settings(GOOD, 'good.ini', 'entry')
        self.assertEqual(2, settings.section('entry')['witnesses'])
        self.assertEqual({'rimouski': 'est'}, settings.regions)

    def test_each_error_names_section_and_key(self) -> None:
        for name, text, section, key in BAD:
            try:
                parse_settings(text, 'bad.ini', 'entry')
            except InvalidFile as error:
                places = [(problem.section, problem.key) for problem in error.problems]
                self.assertEqual([(section, key)], places, name)
            else:
                self.fail(name)

    def test_all_errors_are_reported_at_once(self) -> None:
        text = '[entry]\naddress = x\nhttp = y\nwitnesses = z\n[nope]\n'
        try:
            parse_settings(text, 'bad.ini', 'entry')
        except InvalidFile as error:
            self.assertEqual(6, len(error.problems), error.message)
        else:
            self.fail('no error')

    def test_every_key_is_in_the_default_file(self) -> None:
        text = default_text()
        for section, schema in SCHEMAS.items():
            self.assertIn(f'[{section}]', text)
            for key in schema:
                self.assertIn(f'{key} =', text)

    @hypothesis.settings(derandomize=True, max_examples=200, database=None)
    @hypothesis.given(strategies.text(max_size=120))
    def test_arbitrary_text_raises_only_user_errors(self, noise: str) -> None:
        for parse in (
            lambda text: parse_settings(text, 'noise', 'entry'),
            lambda text: parse_resources(text, 'noise'),
        ):
            try:
                parse(noise)
            except UserError:
                continue


BAD_RESOURCES = (
    ('unknown kind', '[Thing x]\n', 'unknown kind'),
    ('no name', '[Program ]\nupstreams = a\n', 'name'),
    ('missing key', '[Program x]\n', 'upstreams'),
    ('unknown key', '[Upstream x]\nkind = plain\nslot = 1\n', 'slot'),
    ('bad choice', '[Upstream x]\nkind = other\n', 'model or plain'),
    ('out of bounds', '[Priority x]\nlevel = 10\n', 'from 0 to 9'),
    ('no section', 'kind = plain\n', 'section'),
    ('twice', '[Priority x]\nlevel = 1\n[Priority x]\nlevel = 2\n', 'already'),
)


class ResourcesTest(testtools.TestCase):
    """Parsing of resources."""

    def test_valid_resources(self) -> None:
        resources = {
            resource.id: resource.spec
            for resource in parse_resources(DECLARATIONS, 'x')
        }
        self.assertEqual(8, len(resources))
        spec = resources[Kind.PROGRAM, 'tea-chest']
        self.assertIsInstance(spec, ProgramSpec)
        self.assertEqual(['appraisal', 'ledger'], spec.upstreams)

    def test_each_bad_resource_is_refused(self) -> None:
        for name, text, part in BAD_RESOURCES:
            try:
                parse_resources(text, 'bad.ini')
            except InvalidFile as error:
                self.assertIn(part, error.message, name)
            else:
                self.fail(name)
