"""Templates of settings files, filled in as the platform does it.

The platform makes the settings of each process from one of pollenwalk's
templates and from a host's fields. `check-deployment` does the same with an
example of a host's field file.
"""

import re
from collections.abc import Callable
from pathlib import Path

from pollenwalk.errors import UserError
from pollenwalk.version.fields import read_text

# The body of a section appears once for each entry of a table, or once if the
# name has a value, else not at all.
SECTION = re.compile(r'\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n', re.DOTALL)
PLACEHOLDER = re.compile(r'\{\{([\w.]+)\}\}')

Fields = dict[str, str]
# The field with the class of the host, which decides what roles run there.
HOST_CLASS = 'machine_class'


def read_field_file(path: Path) -> Fields:
    """Read a file of fields with one `name=value` on each line.

    Raises:
        UserError: the file can't be read, or a line has another form.
    """
    fields = {}
    for number, line in enumerate(read_text(path).splitlines(), 1):
        name, equals, field = line.partition('=')
        if not equals and line.strip():
            raise UserError(f'{path}:{number}: {line!r} is not name=value')
        fields[name.strip()] = field.strip()
    return fields


def table_entries(fields: Fields, name: str) -> Fields:
    """Return the entries of a table by name; each is a field `TABLE.ENTRY`."""
    prefix = f'{name}.'
    return {
        key.removeprefix(prefix): field
        for key, field in fields.items()
        if key.startswith(prefix)
    }


def find_value(fields: Fields, name: str) -> str:
    """Return the value of a field, or of one item of a list.

    The name `LIST.NUMBER` stands for an item of a field whose value is a list
    separated by commas. The value of an unknown name is empty.
    """
    field = fields.get(name)
    if field is not None:
        return field
    list_name, _, number = name.rpartition('.')
    list_items = fields.get(list_name, '').split(',')
    if number.isdigit() and int(number) < len(list_items):
        return list_items[int(number)]
    return ''


def fill_template(template: str, fields: Fields) -> str:
    """Fill in a template; placeholders without a value become empty."""
    text = SECTION.sub(section_filler(fields), template)
    return PLACEHOLDER.sub(lambda found: find_value(fields, found.group(1)), text)


def section_filler(fields: Fields) -> Callable[[re.Match[str]], str]:
    """Make the function that replaces a matched section by its text."""

    def fill_section(found: re.Match[str]) -> str:  # noqa: WPS430
        name, body = found.groups()
        entries = table_entries(fields, name)
        if entries:
            return ''.join(
                body.replace('{{@}}', key).replace('{{.}}', field)
                for key, field in entries.items()
            )
        field = find_value(fields, name)
        return body.replace('{{.}}', field) if field else ''

    return fill_section
