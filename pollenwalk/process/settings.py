"""Settings of the processes, read from INI and checked whole at the start."""

import configparser
from importlib import resources
from pathlib import Path
from typing import Any, NamedTuple

from pollenwalk.version.fields import (
    ADDRESS,
    ADDRESSES,
    NAME,
    TEXT,
    URL,
    URLS,
    Field,
    InvalidFile,
    Problem,
    choice_field,
    field_errors,
    int_field,
    missing_keys,
    number_field,
    read_fields,
    read_text,
)

DEFAULTS = 'default.ini'
REGIONS = 'regions'
SCHEMAS: dict[str, dict[str, Field]] = {
    'process': {
        'log_level': choice_field('DEBUG', 'INFO', 'WARNING', 'ERROR'),
        'trace_file': TEXT,
        'trace_share': number_field(0, 1),
    },
    'store': {'url': URL},
    'hosts': {'url': URL},
    'entry': {
        'address': ADDRESS,
        'http': ADDRESS,
        'zone': NAME,
        'witnesses': int_field(0, 8),
        'journal_interval_ms': number_field(0, 60_000),
        'store_writes_per_second': number_field(1, 100_000),
        'placement': choice_field(
            'expected-finish',
            'round-robin',
            'least-loaded',
            'sticky',
        ),
    },
    'sidecar': {
        'id': NAME,
        'upstream': NAME,
        'address': ADDRESS,
        'http': ADDRESS,
        'zone': NAME,
        'url': URL,
        'kind': choice_field('model', 'plain'),
        'entries': ADDRESSES,
        'coalesce_ms': number_field(0, 40),
    },
    'gateway': {
        'name': NAME,
        'zone': NAME,
        'http': ADDRESS,
        'ready': ADDRESS,
        'metrics': ADDRESS,
        'grace_s': number_field(0, 600),
        'change_delay_ms': number_field(100, 600_000),
        'leave_notice_ms': number_field(100, 600_000),
        'tolerated_losses': int_field(0, 16),
    },
    'keeper': {
        'name': NAME,
        'zone': NAME,
        'address': ADDRESS,
        'metrics': ADDRESS,
        'folder': TEXT,
        'first_start': choice_field('true', 'false'),
        'tolerated_losses': int_field(0, 16),
    },
    'load': {
        'entries': URLS,
        'seed': int_field(0, 1_000_000_000),
        'rate': number_field(0.001, 100_000),
        'programs': int_field(1, 10_000_000),
        'arrival': choice_field('poisson', 'steady', 'burst'),
        'spares_share': number_field(0, 1),
    },
}
ROLES: dict[str, tuple[str, ...]] = {
    'entry': ('process', 'store', 'entry'),
    'sidecar': ('process', 'sidecar'),
    'gateway': ('process', 'store', 'gateway'),
    'keeper': ('process', 'store', 'keeper'),
    'load': ('process', 'load'),
    'operator': ('process', 'store'),
}
PLACING_ROLES = frozenset(('entry', 'gateway', 'keeper'))


class Settings(NamedTuple):
    """All checked settings of one process.

    Attributes:
        sections: the values by section and key.
        regions: the region of each zone.
    """

    sections: dict[str, dict[str, Any]]
    regions: dict[str, str]

    def of(self, section: str) -> dict[str, Any]:
        """Give one section's values."""
        return self.sections[section]


def read_settings(path: Path, role: str) -> Settings:
    """Read and check the settings of a role.

    Args:
        path: the settings file.
        role: which process they are for; sections of other roles may stand
            in the same file and are checked too, but not required.

    Returns:
        The settings, completed with the defaults.

    Raises:
        InvalidFile: with every error of the file.
        UserError: the file can't be read.
    """
    return parse_settings(read_text(path), str(path), role)


def parse_settings(text: str, source: str, role: str) -> Settings:
    """Read and check a settings text."""
    given = parse_ini(text, source)
    defaults = parse_ini(default_text(), DEFAULTS)
    problems = [
        Problem(source, section, '', f'unknown section; allowed: {known_sections()}')
        for section in given
        if section not in SCHEMAS and section != REGIONS
    ]
    sections: dict[str, dict[str, Any]] = {}
    for known in SCHEMAS:
        keys = {**defaults.get(known, {}), **given.get(known, {})}
        found, fields = parse_section(known, keys, source, known in ROLES[role])
        problems.extend(found)
        sections[known] = fields
    regions, found = parse_regions(given.get(REGIONS, {}), source)
    problems.extend(found)
    if not problems:
        problems.extend(check_zone(sections, regions, source, role))
    if problems:
        raise InvalidFile(problems)
    return Settings(sections, regions)


def parse_ini(text: str, source: str) -> dict[str, dict[str, str]]:
    """Read INI sections."""
    parser = configparser.ConfigParser(interpolation=None, default_section='')
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        problem = Problem(source, '', '', str(error).replace('\n', ' '))
        raise InvalidFile([problem]) from error
    return {section: dict(parser[section]) for section in parser.sections()}


def default_text() -> str:
    """Give the commented default settings."""
    package = resources.files('pollenwalk')
    return package.joinpath(DEFAULTS).read_text(encoding='utf-8')


def known_sections() -> str:
    """List the sections."""
    return ', '.join([*SCHEMAS, REGIONS])


def parse_section(
    section: str,
    keys: dict[str, str],
    source: str,
    required: bool,
) -> tuple[list[Problem], dict[str, Any]]:
    """Read one section, giving its errors and its values."""
    schema = SCHEMAS[section]
    values = dict(read_fields(schema, keys))
    errors = list(field_errors(values))
    if required:
        errors.extend(missing_keys(schema, schema, keys))
    problems = [Problem(source, section, key, text) for key, text in errors]
    return problems, values


def parse_regions(
    keys: dict[str, str],
    source: str,
) -> tuple[dict[str, str], list[Problem]]:
    """Read the map from zones to regions."""
    problems = []
    regions = {}
    for zone, region in keys.items():
        try:
            regions[zone] = NAME.read(region)
        except ValueError:
            text = f'{region!r} is not {NAME.allowed}'
            problems.append(Problem(source, REGIONS, zone, text))
    return regions, problems


def check_zone(
    sections: dict[str, dict[str, Any]],
    regions: dict[str, str],
    source: str,
    role: str,
) -> list[Problem]:
    """Check that the zone of a role that places calls has a region."""
    zone = sections[role].get('zone') if role in PLACING_ROLES else None
    if zone is None or zone in regions:
        return []
    known = ', '.join(regions) or 'none'
    text = f'{zone!r} has no region; zones in [{REGIONS}]: {known}'
    return [Problem(source, role, 'zone', text)]
