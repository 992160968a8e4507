"""The resources that operators declare, and the checks on them.

A resource is one INI section `[Kind name]`. Every error of a file is found
in one reading, each with the file, section, key and what is allowed.
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
    read_fields,
    read_name,
)


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


class ResourceId(NamedTuple):
    """A resource's kind and name."""

    kind: Kind
    name: str


class Resource(NamedTuple):
    """One declared resource."""

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
    """Read the resources of one INI text.

    Args:
        text: the INI text.
        source: the file's name, for errors.

    Returns:
        The resources in the order of the file.

    Raises:
        InvalidFile: with every error of the text.
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
        found, resource = parse_section(section, dict(parser[section]), source)
        problems.extend(found)
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
    fields = dict(read_fields(SCHEMAS[kind], keys))
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
