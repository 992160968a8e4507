"""The platform's templates and the fields that it fills them in with.

The platform makes each process's settings from a template of ours and from a
file of its own, of which `check-deployment` is given an example.
"""

import re
from collections.abc import Callable
from pathlib import Path

from pollenwalk.errors import UserError
from pollenwalk.version.fields import read_text

# A section is there once for each entry of a table, or once for a value.
SECTION = re.compile(r'\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n', re.DOTALL)
PLACEHOLDER = re.compile(r'\{\{([\w.]+)\}\}')

Fields = dict[str, str]
# The field that names the class of hosts, which roles are placed on.
HOST_CLASS = 'machine_class'


def read_field_file(path: Path) -> Fields:
    """Read a file of fields, one `name=value` a line.

    Raises:
        UserError: it can't be read, or a line is none of these.
    """
    fields = {}
    for number, line in enumerate(read_text(path).splitlines(), 1):
        name, equals, field = line.partition('=')
        if not equals and line.strip():
            raise UserError(f'{path}:{number}: {line!r} is not name=value')
        fields[name.strip()] = field.strip()
    return fields


def table_entries(fields: Fields, name: str) -> Fields:
    """Give the entries of a table, by their names within it."""
    prefix = f'{name}.'
    return {
        key.removeprefix(prefix): field
        for key, field in fields.items()
        if key.startswith(prefix)
    }


def find_value(fields: Fields, name: str) -> str:
    """Give a field, an entry of a list of values, or nothing."""
    field = fields.get(name)
    if field is not None:
        return field
    whole, _, number = name.rpartition('.')
    entries = fields.get(whole, '').split(',')
    if number.isdigit() and int(number) < len(entries):
        return entries[int(number)]
    return ''


def fill_template(template: str, fields: Fields) -> str:
    """Fill in a template; what has no field is left empty."""
    text = SECTION.sub(section_filler(fields), template)
    return PLACEHOLDER.sub(lambda found: find_value(fields, found.group(1)), text)


def section_filler(fields: Fields) -> Callable[[re.Match[str]], str]:
    """Make the function that fills in one section."""

    def section(found: re.Match[str]) -> str:  # noqa: WPS430
        name, body = found.groups()
        entries = table_entries(fields, name)
        if entries:
            return ''.join(
                body.replace('{{@}}', key).replace('{{.}}', field)
                for key, field in entries.items()
            )
        field = find_value(fields, name)
        return body.replace('{{.}}', field) if field else ''

    return section
