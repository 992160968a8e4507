"""The configuration in force: accepted resources, each at a version that only grows."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from pollenwalk.version.resources import (
    SPEC_TYPES,
    BudgetSpec,
    Kind,
    PrioritySpec,
    ProgramSpec,
    Resource,
    ResourceId,
    Spec,
    UpstreamSpec,
)

DEFAULT_LEVEL = 5


class Accepted(NamedTuple):
    """A resource as accepted; an empty spec means it was deleted."""

    kind: str
    name: str
    version: int
    spec: dict[str, Any] | None


class Configuration:
    """All accepted resources of one process."""

    def __init__(self) -> None:
        """Start empty."""
        self.accepted: dict[ResourceId, Accepted] = {}
        self.specs: dict[ResourceId, Spec] = {}
        self.on_accept: Callable[[Accepted], None] = lambda accepted: None

    def accept(self, accepted: Accepted) -> bool:
        """Put a resource in force unless a later version is.

        Returns:
            Whether it was newer than what was in force.
        """
        resource_id = ResourceId(Kind(accepted.kind), accepted.name)
        present = self.accepted.get(resource_id)
        if present is not None and present.version >= accepted.version:
            return False
        self.accepted[resource_id] = accepted
        if accepted.spec is None:
            self.specs.pop(resource_id, None)
        else:
            self.specs[resource_id] = spec_from_json(resource_id.kind, accepted.spec)
        self.on_accept(accepted)
        return True

    def program(self, name: str) -> ProgramSpec | None:
        """Give a declared program."""
        return self.specs.get(ResourceId(Kind.PROGRAM, name))

    def upstream(self, name: str) -> UpstreamSpec | None:
        """Give a declared upstream."""
        return self.specs.get(ResourceId(Kind.UPSTREAM, name))

    def budget(self, caller: str) -> BudgetSpec:
        """Give a caller's limits."""
        return self.specs.get(ResourceId(Kind.BUDGET, caller)) or BudgetSpec()

    def level(self, priority: str) -> int:
        """Give the level of a priority class."""
        spec = self.specs.get(ResourceId(Kind.PRIORITY, priority))
        return spec.level if isinstance(spec, PrioritySpec) else DEFAULT_LEVEL

    def highest_version(self) -> int:
        """Give the highest version in force."""
        return max((one.version for one in self.accepted.values()), default=0)


def spec_from_json(kind: Kind, fields: dict[str, Any]) -> Spec:
    """Rebuild a spec from JSON."""
    known = SPEC_TYPES[kind]._fields
    return SPEC_TYPES[kind](
        **{key: field for key, field in fields.items() if key in known}
    )


def spec_to_json(spec: Spec) -> dict[str, Any]:
    """Turn a spec into JSON."""
    return msgspec.to_builtins(spec._asdict())


def undeclared_references(resource: Resource, config: Configuration) -> list[str]:
    """Tell what a resource refers to that is not in force."""
    spec = resource.spec
    if not isinstance(spec, ProgramSpec):
        return []
    return [
        f'upstream {name} is not declared'
        for name in spec.upstreams
        if config.upstream(name) is None
    ]
