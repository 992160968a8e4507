"""Settings of the processes, read from INI files and validated at start-up."""

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
    parse_fields,
    read_text,
)

DEFAULTS_FILE = 'default.ini'
REGIONS_SECTION = 'regions'
# Limits of HTTP connections, the same for gateways and keepers.
CONNECTION_LIMITS: dict[str, Field] = {
    'memory_mb': int_field(0, 1_000_000),
    'max_descriptors': int_field(0, 1_000_000),
    'head_timeout_ms': number_field(100, 600_000),
    'body_timeout_ms': number_field(100, 600_000),
    'unread_timeout_ms': number_field(100, 600_000),
}
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
        'revocation_ms': number_field(0, 600_000),
        'quota_window_s': number_field(0, 600),
        'quota_excess': number_field(0, 10),
        'quota_slack': number_field(0, 10_000),
        'hedge_share': number_field(0, 0.2),
        'host_priorities': choice_field('true', 'false'),
        'load_admission': choice_field('true', 'false'),
        'avoid_silent_hosts': choice_field('true', 'false'),
        'max_pipelined_requests': int_field(1, 100_000),
        'bound_host_bodies': choice_field('true', 'false'),
        'tolerated_losses': int_field(0, 16),
        **CONNECTION_LIMITS,
    },
    'keeper': {
        'name': NAME,
        'zone': NAME,
        'address': ADDRESS,
        'metrics': ADDRESS,
        'folder': TEXT,
        'disk_mb': int_field(0, 1_000_000_000),
        'first_start': choice_field('true', 'false'),
        'tolerated_losses': int_field(0, 16),
        'revocation_ms': number_field(0, 600_000),
        'quota_window_s': number_field(0, 600),
        'quota_excess': number_field(0, 10),
        'quota_slack': number_field(0, 10_000),
        **CONNECTION_LIMITS,
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
# The sections that each role requires.
ROLES: dict[str, tuple[str, ...]] = {
    'entry': ('process', 'store', 'entry'),
    'sidecar': ('process', 'sidecar'),
    'gateway': ('process', 'store', 'gateway'),
    'keeper': ('process', 'store', 'keeper'),
    'load': ('process', 'load'),
    'operator': ('process', 'store'),
}
# The roles whose processes compare regions, so that their zone must have one.
ROLES_WITH_REGION = frozenset(('entry', 'gateway', 'keeper'))


class Settings(NamedTuple):
    """The validated settings of one process.

    Attributes:
        sections: values by section and key.
        regions: region of each zone.
    """

    sections: dict[str, dict[str, Any]]
    regions: dict[str, str]

    def section(self, name: str) -> dict[str, Any]:
        """Return the values of a section by key."""
        return self.sections[name]


def read_settings(path: Path, role: str) -> Settings:
    """Read and validate the settings of a role.

    Args:
        path: the settings file.
        role: role of the process that the settings are for. Sections of other
            roles may be in the same file; they are validated, but keys missing
            from them are no error.

    Returns:
        The settings, with defaults for the keys that are not in the file.

    Raises:
        InvalidFile: the file has errors; lists all of them.
        UserError: the file can't be read.
    """
    return parse_settings(read_text(path), str(path), role)


def parse_settings(text: str, source: str, role: str) -> Settings:
    """Parse and validate the text of a settings file.

    Args:
        text: the text.
        source: name of the file, for error messages.
        role: role of the process that the settings are for.

    Returns:
        The settings, with defaults for the keys that are not in the text.

    Raises:
        InvalidFile: the text has errors; lists all of them.
    """
    file_sections = parse_ini(text, source)
    defaults = parse_ini(default_text(), DEFAULTS_FILE)
    problems = [
        Problem(source, section, '', f'unknown section; allowed: {known_sections()}')
        for section in file_sections
        if section not in SCHEMAS and section != REGIONS_SECTION
    ]
    sections: dict[str, dict[str, Any]] = {}
    for name in SCHEMAS:
        keys = {**defaults.get(name, {}), **file_sections.get(name, {})}
        errors, fields = parse_section(name, keys, source, name in ROLES[role])
        problems.extend(errors)
        sections[name] = fields
    regions, errors = parse_regions(file_sections.get(REGIONS_SECTION, {}), source)
    problems.extend(errors)
    if not problems:
        problems.extend(check_zone(sections, regions, source, role))
    if problems:
        raise InvalidFile(problems)
    return Settings(sections, regions)


def parse_ini(text: str, source: str) -> dict[str, dict[str, str]]:
    """Parse INI text into keys by section.

    Raises:
        InvalidFile: the text is no INI file, or has a section or key twice.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section='')
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        problem = Problem(source, '', '', str(error).replace('\n', ' '))
        raise InvalidFile([problem]) from error
    return {section: dict(parser[section]) for section in parser.sections()}


def default_text() -> str:
    """Return the text of the default settings, with its comments."""
    package = resources.files('pollenwalk')
    return package.joinpath(DEFAULTS_FILE).read_text(encoding='utf-8')


def known_sections() -> str:
    """Return the names of all sections, separated by commas."""
    return ', '.join([*SCHEMAS, REGIONS_SECTION])


def parse_section(
    section: str,
    keys: dict[str, str],
    source: str,
    required: bool,
) -> tuple[list[Problem], dict[str, Any]]:
    """Parse and validate one section.

    Args:
        section: name of the section.
        keys: text of each key.
        source: name of the file, for error messages.
        required: whether every key of the section must be present.

    Returns:
        The errors and the values by key.
    """
    schema = SCHEMAS[section]
    values = dict(parse_fields(schema, keys))
    errors = list(field_errors(values))
    if required:
        errors.extend(missing_keys(schema, schema, keys))
    problems = [Problem(source, section, key, text) for key, text in errors]
    return problems, values


def parse_regions(
    keys: dict[str, str],
    source: str,
) -> tuple[dict[str, str], list[Problem]]:
    """Parse and validate the [regions] section.

    Args:
        keys: region of each zone.
        source: name of the file, for error messages.

    Returns:
        The region of each zone and the errors.
    """
    problems = []
    regions = {}
    for zone, region in keys.items():
        try:
            regions[zone] = NAME.parse(region)
        except ValueError:
            text = f'{region!r} is not {NAME.allowed}'
            problems.append(Problem(source, REGIONS_SECTION, zone, text))
    return regions, problems


def check_zone(
    sections: dict[str, dict[str, Any]],
    regions: dict[str, str],
    source: str,
    role: str,
) -> list[Problem]:
    """Check that the process's zone has a region if its role needs one.

    Returns:
        The errors: none, or one for the zone.
    """
    zone = sections[role].get('zone') if role in ROLES_WITH_REGION else None
    if zone is None or zone in regions:
        return []
    known = ', '.join(regions) or 'none'
    text = f'{zone!r} has no region; zones in [{REGIONS_SECTION}]: {known}'
    return [Problem(source, role, 'zone', text)]
