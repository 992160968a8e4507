"""The resources that operators declare, and their checks.

A resource is an INI section `[Kind name]`. All errors of a file are reported
at once, each with the file, the section, the key and the allowed values.
"""

import configparser
import enum
from typing import Any, NamedTuple

from pollenwalk.version.fields import (
    NAME,
    NAMES,
    Field,
    InvalidFile,
    Problem,
    choice_field,
    field_errors,
    int_field,
    missing_keys,
    number_field,
    parse_fields,
    parse_name,
)


class Kind(enum.StrEnum):
    """The kinds of resources; the values are the kinds' names in INI files."""

    PROGRAM = 'Program'
    UPSTREAM = 'Upstream'
    BUDGET = 'Budget'
    PRIORITY = 'Priority'


class ProgramSpec(NamedTuple):
    """The limits of a declared program, which apply to each of its runs.

    A run is a program that a caller has begun.

    Attributes:
        upstreams: names of the upstreams that a run may call.
        budget_tokens: the most tokens that a run may spend.
        reserve_tokens: tokens reserved in advance for the next model call.
        priority: name of the run's Priority resource.
        max_calls: the most calls that a run may make.
        loop_limit: number of identical calls in a row after which the next
            identical call is refused, as the run seems to loop.
        deadline_ms: the longest time that a run may take.
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
    """The operations and the capacity of an upstream.

    Attributes:
        kind: 'model' for a model engine, 'plain' for any other service.
        idempotent: operations that may run more than once.
        non_idempotent: operations that must run at most once.
        timeout_ms: the longest time that one call may take at the upstream.
        slots: calls that an upstream host runs at the same time.
        queue: the most calls that may wait at an upstream host.
        prefill_ms: processing time of an engine per prompt token.
        decode_ms: time between two generated tokens of an answer.
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
    """The limits of one caller; the resource has the caller's name.

    Attributes:
        concurrent_programs: the most programs that may run at the same time.
        tokens: the most tokens that the budgets of running programs may add
            up to.
    """

    concurrent_programs: int = 1000
    tokens: int = 100_000_000


class PrioritySpec(NamedTuple):
    """The level of a priority; calls of a lower level are served first."""

    level: int = 5


Spec = ProgramSpec | UpstreamSpec | BudgetSpec | PrioritySpec


class ResourceId(NamedTuple):
    """The kind and the name of a resource, which identify it."""

    kind: Kind
    name: str


class Resource(NamedTuple):
    """A resource as it is declared in a file."""

    id: ResourceId
    spec: Spec


DAY_MS = 86_400_000
TOKENS = int_field(1, 1_000_000_000)
DURATION = int_field(1, DAY_MS)
SCHEMAS: dict[Kind, dict[str, Field]] = {
    Kind.PROGRAM: {
        'upstreams': NAMES,
        'budget_tokens': TOKENS,
        'reserve_tokens': TOKENS,
        'priority': NAME,
        'max_calls': int_field(1, 100_000),
        'loop_limit': int_field(1, 10_000),
        'deadline_ms': DURATION,
        'idle_ms': DURATION,
    },
    Kind.UPSTREAM: {
        'kind': choice_field('model', 'plain'),
        'idempotent': NAMES,
        'non_idempotent': NAMES,
        'timeout_ms': DURATION,
        'slots': int_field(1, 10_000),
        'queue': int_field(0, 100_000),
        'prefill_ms': number_field(0, 1000),
        'decode_ms': number_field(0, 10_000),
    },
    Kind.BUDGET: {
        'concurrent_programs': int_field(0, 1_000_000),
        'tokens': int_field(0, 1_000_000_000_000),
    },
    Kind.PRIORITY: {'level': int_field(0, 9)},
}
REQUIRED = {Kind.PROGRAM: ('upstreams',), Kind.UPSTREAM: ('kind',)}
SPEC_TYPES: dict[Kind, type[Any]] = {
    Kind.PROGRAM: ProgramSpec,
    Kind.UPSTREAM: UpstreamSpec,
    Kind.BUDGET: BudgetSpec,
    Kind.PRIORITY: PrioritySpec,
}


def parse_resources(text: str, source: str) -> list[Resource]:
    """Parse the resources of an INI file.

    Args:
        text: the content of the file.
        source: the file's name, for errors.

    Returns:
        The resources in the order of the file.

    Raises:
        InvalidFile: the file has errors; the exception holds all of them.
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
        raise InvalidFile([problem]) from error
    problems: list[Problem] = []
    resources = []
    for section in parser.sections():
        section_problems, resource = parse_section(
            section, dict(parser[section]), source
        )
        problems.extend(section_problems)
        if resource is not None:
            resources.append(resource)
    if problems:
        raise InvalidFile(problems)
    return resources


def parse_section(
    section: str,
    keys: dict[str, str],
    source: str,
) -> tuple[list[Problem], Resource | None]:
    """Parse one section.

    Args:
        section: the section's name, which is the kind and the name.
        keys: the values of the section.
        source: the file's name, for errors.

    Returns:
        All errors of the section, and the resource; None if there are errors.
    """
    kind_name, _, name = section.partition(' ')
    kinds = [kind.value for kind in Kind]
    if kind_name not in kinds:
        text = f'unknown kind; allowed: {", ".join(kinds)}'
        return [Problem(source, section, '', text)], None
    try:
        parse_name(name)
    except ValueError:
        return [Problem(source, section, '', f'needs {NAME.allowed}')], None
    kind = Kind(kind_name)
    fields = dict(parse_fields(SCHEMAS[kind], keys))
    problems = [
        Problem(source, section, key, text)
        for key, text in (
            *field_errors(fields),
            *missing_keys(SCHEMAS[kind], REQUIRED.get(kind, ()), keys),
        )
    ]
    if problems:
        return problems, None
    return [], Resource(ResourceId(kind, name), SPEC_TYPES[kind](**fields))
