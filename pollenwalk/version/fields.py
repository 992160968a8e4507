"""How the keys of INI files are read, and how their errors are shown.

Settings and resources share these: every error of a file is found in one
reading, each with the file, section, key and what is allowed.
"""

import ipaddress
from collections.abc import Callable, Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import urlsplit

from pollenwalk.errors import UserError

MAX_NAME_LENGTH = 63
MAX_PORT = 65_535


class Field(NamedTuple):
    """How one key is read and what it may hold."""

    read: Callable[[str], Any]
    allowed: str


class Problem(NamedTuple):
    """One error in a file."""

    source: str
    section: str
    key: str
    text: str

    def describe(self) -> str:
        """Describe the error in one line."""
        return f'{self.source}: [{self.section}] {self.key}: {self.text}'


class InvalidFile(UserError):
    """A file with one or more errors."""

    code = 'invalid_file'

    def __init__(self, problems: list[Problem]) -> None:
        """Keep all errors."""
        super().__init__('\n'.join(problem.describe() for problem in problems))
        self.problems = problems


def read_text(path: Path) -> str:
    """Read a file that a user has written.

    Raises:
        UserError: it can't be read.
    """
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise UserError(f'{path}: {error}') from error


def int_field(low: int, high: int) -> Field:
    """Make a field that holds a whole number within bounds."""

    def read(text: str) -> int:  # noqa: WPS430
        number = int(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return Field(read, f'a whole number from {low} to {high}')


def number_field(low: float, high: float) -> Field:
    """Make a field that holds a number within bounds."""

    def read(text: str) -> float:  # noqa: WPS430
        number = float(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return Field(read, f'a number from {low} to {high}')


def choice_field(*choices: str) -> Field:
    """Make a field that holds one of a few words."""

    def read(text: str) -> str:  # noqa: WPS430
        if text not in choices:
            raise ValueError(text)
        return text

    return Field(read, ' or '.join(choices))


def read_name(text: str) -> str:
    """Read a name of letters, digits, hyphens and underscores."""
    plain = text.replace('-', '').replace('_', '')
    if not plain.isalnum() or not plain.isascii() or len(text) > MAX_NAME_LENGTH:
        raise ValueError(text)
    return text


def read_names(text: str) -> list[str]:
    """Read a list of names, split at commas."""
    return [read_name(part.strip()) for part in text.split(',') if part.strip()]


NAME = Field(read_name, f'a name: letters, digits, - and _, at most {MAX_NAME_LENGTH}')
NAMES = Field(read_names, 'names split by commas')


def read_address(text: str) -> str:
    """Read `ip:port`."""
    host, _, port = text.rpartition(':')
    ipaddress.ip_address(host.strip('[]'))
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(text)
    return text


def read_addresses(text: str) -> list[str]:
    """Read a list of addresses, split at commas."""
    return [read_address(part.strip()) for part in text.split(',') if part.strip()]


def read_url(text: str) -> str:
    """Read an HTTP URL."""
    parts = urlsplit(text)
    if parts.scheme not in {'http', 'https'} or not parts.netloc:
        raise ValueError(text)
    return text.rstrip('/')


def read_urls(text: str) -> list[str]:
    """Read a list of HTTP URLs, split at commas."""
    return [read_url(part.strip()) for part in text.split(',') if part.strip()]


ADDRESS = Field(read_address, 'ip:port')
ADDRESSES = Field(read_addresses, 'ip:port, split by commas')
URL = Field(read_url, 'an http:// or https:// URL')
URLS = Field(read_urls, 'URLs split by commas')
TEXT = Field(str, 'any text')


class FieldError(NamedTuple):
    """Why a key can't be read."""

    text: str


def read_fields(
    schema: Mapping[str, Field],
    keys: Mapping[str, str],
) -> Iterator[tuple[str, Any]]:
    """Read each key, giving its value or its error."""
    for key, text in keys.items():
        field = schema.get(key)
        if field is None:
            known = ', '.join(schema)
            yield key, FieldError(f'unknown key; allowed: {known}')
            continue
        try:
            yield key, field.read(text)
        except ValueError:
            yield key, FieldError(f'{text!r} is not {field.allowed}')


def field_errors(fields: dict[str, Any]) -> Iterator[tuple[str, str]]:
    """Give the keys that could not be read."""
    for key, outcome in fields.items():
        if isinstance(outcome, FieldError):
            yield key, outcome.text


def missing_keys(
    schema: Mapping[str, Field],
    required: Iterable[str],
    keys: Iterable[str],
) -> Iterator[tuple[str, str]]:
    """Give the required keys that are not there."""
    present = set(keys)
    for key in required:
        if key not in present:
            yield key, f'is required: {schema[key].allowed}'
