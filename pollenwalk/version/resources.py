"""The resources that operators declare, and the checks on them.

A resource is one INI section `[Kind name]`. Every error of a file is found
in one reading, each with the file, section, key and what is allowed.
"""

import configparser
import enum
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from pollenwalk.errors import UserError

MAX_NAME = 63


class Kind(enum.StrEnum):
    """The kinds of resource."""

    PROGRAM = 'Program'
    UPSTREAM = 'Upstream'
    BUDGET = 'Budget'
    PRIORITY = 'Priority'


class ProgramSpec(NamedTuple):
    """What a declared program may do.

    Attributes:
        upstreams: names of the upstreams it may call.
        budget_tokens: tokens that one run may spend.
        reserve_tokens: tokens set aside ahead of each model call.
        priority: name of a Priority.
        max_calls: calls of one run.
        loop_limit: identical calls in a row before a run counts as looping.
        deadline_ms: time for a whole run.
        idle_ms: time without a call after which a run is ended.
    """

    upstreams: list[str]
    budget_tokens: int = 100_000
    reserve_tokens: int = 256
    priority: str = 'normal'
    max_calls: int = 490
    loop_limit: int = 20
    deadline_ms: int = 3_600_000
    idle_ms: int = 600_000


class UpstreamSpec(NamedTuple):
    """What an upstream offers.

    Attributes:
        kind: 'model' or 'plain'.
        idempotent: operations that may be repeated.
        non_idempotent: operations that must run at most once.
        timeout_ms: time for one call at the upstream.
        slots: calls that one upstream host runs at a time.
        queue: calls that may wait at one upstream host.
        prefill_ms: time to compute one prompt token.
        decode_ms: time between two tokens of one answer.
    """

    kind: str
    idempotent: list[str] = []
    non_idempotent: list[str] = []
    timeout_ms: int = 30_000
    slots: int = 8
    queue: int = 64
    prefill_ms: float = 0.5
    decode_ms: float = 20.0


class BudgetSpec(NamedTuple):
    """Limits of one caller; its name is the caller's.

    Attributes:
        concurrent_programs: programs that may run at the same time.
        tokens: tokens of all programs that run at the same time.
    """

    concurrent_programs: int = 1000
    tokens: int = 100_000_000


class PrioritySpec(NamedTuple):
    """A priority class; a lower level is served first."""

    level: int = 5


Spec = ProgramSpec | UpstreamSpec | BudgetSpec | PrioritySpec


class Field(NamedTuple):
    """How one key is read and what it may hold."""

    read: Callable[[str], Any]
    allowed: str


class ResourceId(NamedTuple):
    """A resource's kind and name."""

    kind: Kind
    name: str


class Resource(NamedTuple):
    """One declared resource."""

    id: ResourceId
    spec: Spec


class Problem(NamedTuple):
    """One error in a file."""

    source: str
    section: str
    key: str
    text: str

    def line(self) -> str:
        """Describe the error in one line."""
        return f'{self.source}: [{self.section}] {self.key}: {self.text}'


class InvalidResources(UserError):
    """A file with one or more errors."""

    code = 'invalid_resources'

    def __init__(self, problems: list[Problem]) -> None:
        """Keep all errors."""
        super().__init__('\n'.join(problem.line() for problem in problems))
        self.problems = problems


def read_int(low: int, high: int) -> Field:
    """Make a field that holds a whole number within bounds."""

    def read(text: str) -> int:  # noqa: WPS430
        number = int(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return Field(read, f'a whole number from {low} to {high}')


def read_number(low: float, high: float) -> Field:
    """Make a field that holds a number within bounds."""

    def read(text: str) -> float:  # noqa: WPS430
        number = float(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return Field(read, f'a number from {low} to {high}')


def read_choice(*choices: str) -> Field:
    """Make a field that holds one of a few words."""

    def read(text: str) -> str:  # noqa: WPS430
        if text not in choices:
            raise ValueError(text)
        return text

    return Field(read, ' or '.join(choices))


def read_name(text: str) -> str:
    """Read a name of letters, digits, hyphens and underscores."""
    plain = text.replace('-', '').replace('_', '')
    if not plain.isalnum() or not plain.isascii() or len(text) > MAX_NAME:
        raise ValueError(text)
    return text


def read_names(text: str) -> list[str]:
    """Read a list of names, split at commas."""
    return [read_name(part.strip()) for part in text.split(',') if part.strip()]


NAME = Field(read_name, f'a name: letters, digits, - and _, at most {MAX_NAME}')
NAMES = Field(read_names, 'names split by commas')
DAY_MS = 86_400_000
TOKENS = read_int(1, 1_000_000_000)
DURATION = read_int(1, DAY_MS)
SCHEMAS: dict[Kind, dict[str, Field]] = {
    Kind.PROGRAM: {
        'upstreams': NAMES,
        'budget_tokens': TOKENS,
        'reserve_tokens': TOKENS,
        'priority': NAME,
        'max_calls': read_int(1, 100_000),
        'loop_limit': read_int(1, 10_000),
        'deadline_ms': DURATION,
        'idle_ms': DURATION,
    },
    Kind.UPSTREAM: {
        'kind': read_choice('model', 'plain'),
        'idempotent': NAMES,
        'non_idempotent': NAMES,
        'timeout_ms': DURATION,
        'slots': read_int(1, 10_000),
        'queue': read_int(0, 100_000),
        'prefill_ms': read_number(0, 1000),
        'decode_ms': read_number(0, 10_000),
    },
    Kind.BUDGET: {
        'concurrent_programs': read_int(0, 1_000_000),
        'tokens': read_int(0, 1_000_000_000_000),
    },
    Kind.PRIORITY: {'level': read_int(0, 9)},
}
REQUIRED = {Kind.PROGRAM: ('upstreams',), Kind.UPSTREAM: ('kind',)}
SPEC_TYPES: dict[Kind, type[Any]] = {
    Kind.PROGRAM: ProgramSpec,
    Kind.UPSTREAM: UpstreamSpec,
    Kind.BUDGET: BudgetSpec,
    Kind.PRIORITY: PrioritySpec,
}


def parse_resources(text: str, source: str) -> list[Resource]:
    """Read the resources of one INI text.

    Args:
        text: the INI text.
        source: the file's name, for errors.

    Returns:
        The resources in the order of the file.

    Raises:
        InvalidResources: with every error of the text.
    """
    parser = configparser.ConfigParser(
        interpolation=None,
        default_section='',
        inline_comment_prefixes=('#', ';'),
    )
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        problem = Problem(source, '', '', str(error).replace('\n', ' '))
        raise InvalidResources([problem]) from error
    problems: list[Problem] = []
    resources = []
    for section in parser.sections():
        found, resource = parse_section(section, dict(parser[section]), source)
        problems.extend(found)
        if resource is not None:
            resources.append(resource)
    if problems:
        raise InvalidResources(problems)
    return resources


def parse_section(
    section: str,
    keys: dict[str, str],
    source: str,
) -> tuple[list[Problem], Resource | None]:
    """Read one section, giving its errors or its resource."""
    kind_name, _, name = section.partition(' ')
    kinds = [kind.value for kind in Kind]
    if kind_name not in kinds:
        text = f'unknown kind; allowed: {", ".join(kinds)}'
        return [Problem(source, section, '', text)], None
    try:
        read_name(name)
    except ValueError:
        return [Problem(source, section, '', f'needs {NAME.allowed}')], None
    kind = Kind(kind_name)
    fields = dict(read_fields(kind, keys))
    problems = [
        Problem(source, section, key, text)
        for key, text in [*field_errors(fields), *missing_keys(kind, keys)]
    ]
    if problems:
        return problems, None
    return [], Resource(ResourceId(kind, name), SPEC_TYPES[kind](**fields))


class FieldError(NamedTuple):
    """Why a key can't be read."""

    text: str


def read_fields(kind: Kind, keys: dict[str, str]) -> Iterator[tuple[str, Any]]:
    """Read each key, giving its value or its error."""
    schema = SCHEMAS[kind]
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


def missing_keys(kind: Kind, keys: Iterable[str]) -> Iterator[tuple[str, str]]:
    """Give the required keys that are not there."""
    present = set(keys)
    for key in REQUIRED.get(kind, ()):
        if key not in present:
            yield key, f'is required: {SCHEMAS[kind][key].allowed}'
