"""Parsers of the values of INI files, and the errors that they report.

Settings and resources use the same parsers. All errors of a file are reported
at once, each with the file, the section, the key and the allowed values.
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
    """How the value of one key is parsed.

    Attributes:
        parse: parses the value; raises `ValueError` if it is invalid.
        allowed: the allowed values, for error messages.
    """

    parse: Callable[[str], Any]
    allowed: str


class Problem(NamedTuple):
    """One error in a file, with the place where it was found.

    Attributes:
        source: name of the file.
        section: name of the section; empty if the error is not in one.
        key: empty if the error concerns the whole section.
        text: what is wrong.
    """

    source: str
    section: str
    key: str
    text: str

    def describe(self) -> str:
        """Return the error as one line of text."""
        return f'{self.source}: [{self.section}] {self.key}: {self.text}'


class InvalidFile(UserError):
    """A file has one or more errors.

    Attributes:
        problems: all errors of the file.
    """

    code = 'invalid_file'

    def __init__(self, problems: list[Problem]) -> None:
        """Make an error whose message has one line for each problem."""
        super().__init__('\n'.join(problem.describe() for problem in problems))
        self.problems = problems


def read_text(path: Path) -> str:
    """Read a file that a user has written.

    Raises:
        UserError: the file can't be read or is not UTF-8.
    """
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise UserError(f'{path}: {error}') from error


def range_field(
    read: Callable[[str], float],
    kind: str,
    low: float,
    high: float,
) -> Field:
    """Make a field for a number from `low` to `high`.

    Args:
        read: converts the text to the number.
        kind: what users call such a number.
        low: the least number.
        high: the greatest number.
    """

    def parse(text: str) -> float:  # noqa: WPS430
        number = read(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return Field(parse, f'{kind} from {low} to {high}')


def int_field(low: int, high: int) -> Field:
    """Make a field for a whole number from `low` to `high`."""
    return range_field(int, 'a whole number', low, high)


def number_field(low: float, high: float) -> Field:
    """Make a field for a number from `low` to `high`."""
    return range_field(float, 'a number', low, high)


def choice_field(*choices: str) -> Field:
    """Make a field for one of the given words."""

    def parse(text: str) -> str:  # noqa: WPS430
        if text not in choices:
            raise ValueError(text)
        return text

    return Field(parse, ' or '.join(choices))


def parse_name(text: str) -> str:
    """Parse a name of ASCII letters, digits, hyphens and underscores.

    Raises:
        ValueError: it has other characters, no letter or digit, or more than
            `MAX_NAME_LENGTH` characters.
    """
    alphanumerics = text.replace('-', '').replace('_', '')
    if (
        not alphanumerics.isalnum()
        or not alphanumerics.isascii()
        or len(text) > MAX_NAME_LENGTH
    ):
        raise ValueError(text)
    return text


def parse_names(text: str) -> list[str]:
    """Parse a list of names, separated by commas."""
    return [parse_name(part.strip()) for part in text.split(',') if part.strip()]


NAME = Field(
    parse_name, f'a name of at most {MAX_NAME_LENGTH} letters, digits, - and _'
)
NAMES = Field(parse_names, 'names separated by commas')


def parse_address(text: str) -> str:
    """Check an address of the form `ip:port`.

    Raises:
        ValueError: the IP address or the port is not valid.
    """
    host, _, port = text.rpartition(':')
    ipaddress.ip_address(host.strip('[]'))
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(text)
    return text


def parse_addresses(text: str) -> list[str]:
    """Parse a list of addresses, separated by commas."""
    return [parse_address(part.strip()) for part in text.split(',') if part.strip()]


def parse_url(text: str) -> str:
    """Parse an HTTP URL and remove slashes at its end.

    Raises:
        ValueError: it is no http:// or https:// URL, or has no host.
    """
    parts = urlsplit(text)
    if parts.scheme not in {'http', 'https'} or not parts.netloc:
        raise ValueError(text)
    return text.rstrip('/')


def parse_urls(text: str) -> list[str]:
    """Parse a list of HTTP URLs, separated by commas."""
    return [parse_url(part.strip()) for part in text.split(',') if part.strip()]


ADDRESS = Field(parse_address, 'ip:port')
ADDRESSES = Field(parse_addresses, 'ip:port, separated by commas')
URL = Field(parse_url, 'an http:// or https:// URL')
URLS = Field(parse_urls, 'URLs separated by commas')
TEXT = Field(str, 'any text')


class FieldError(NamedTuple):
    """The error of a key that can't be parsed; takes the place of its value."""

    text: str


def parse_fields(
    schema: Mapping[str, Field],
    keys: Mapping[str, str],
) -> Iterator[tuple[str, Any]]:
    """Parse the value of each key.

    Args:
        schema: the allowed keys and their fields.
        keys: the values as they stand in the file.

    Yields:
        Each key with its parsed value, or with a `FieldError`.
    """
    for key, text in keys.items():
        field = schema.get(key)
        if field is None:
            known = ', '.join(schema)
            yield key, FieldError(f'unknown key; allowed: {known}')
            continue
        try:
            yield key, field.parse(text)
        except ValueError:
            yield key, FieldError(f'{text!r} is not {field.allowed}')


def field_errors(fields: dict[str, Any]) -> Iterator[tuple[str, str]]:
    """Yield each key that could not be parsed, with an error message."""
    for key, parsed in fields.items():
        if isinstance(parsed, FieldError):
            yield key, parsed.text


def missing_keys(
    schema: Mapping[str, Field],
    required: Iterable[str],
    keys: Iterable[str],
) -> Iterator[tuple[str, str]]:
    """Yield each required key that is missing, with an error message."""
    present = set(keys)
    for key in required:
        if key not in present:
            yield key, f'is required: {schema[key].allowed}'
