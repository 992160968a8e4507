"""The accepted resources that are in force; a resource's version only grows."""

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

# The level of a priority for which no Priority resource is declared.
DEFAULT_LEVEL = 5


class Accepted(NamedTuple):
    """An accepted resource.

    Attributes:
        kind: the resource's kind.
        name: the resource's name.
        version: store version of the desired resource that was accepted.
        spec: the declared fields as JSON; None if the resource was deleted.
    """

    kind: str
    name: str
    version: int
    spec: dict[str, Any] | None


class AcceptedResources:
    """All resources that are in force in one process.

    Attributes:
        accepted: the newest accepted version of each resource, deleted ones
            included.
        specs: the declared fields of the resources that are not deleted.
        on_accept: called with each resource that is put in force or deleted.
    """

    def __init__(self) -> None:
        """Start without resources."""
        self.accepted: dict[ResourceId, Accepted] = {}
        self.specs: dict[ResourceId, Spec] = {}
        self.on_accept: Callable[[Accepted], None] = lambda accepted: None

    def accept(self, accepted: Accepted) -> bool:
        """Put a resource in force unless its version, or a later one, already is.

        Returns:
            Whether the resource was put in force.
        """
        resource_id = ResourceId(Kind(accepted.kind), accepted.name)
        current = self.accepted.get(resource_id)
        if current is not None and current.version >= accepted.version:
            return False
        self.accepted[resource_id] = accepted
        if accepted.spec is None:
            self.specs.pop(resource_id, None)
        else:
            self.specs[resource_id] = spec_from_json(resource_id.kind, accepted.spec)
        self.on_accept(accepted)
        return True

    def program(self, name: str) -> ProgramSpec | None:
        """Return a declared program; None if there is none of this name."""
        return self.specs.get(ResourceId(Kind.PROGRAM, name))

    def upstream(self, name: str) -> UpstreamSpec | None:
        """Return a declared upstream; None if there is none of this name."""
        return self.specs.get(ResourceId(Kind.UPSTREAM, name))

    def budget(self, caller: str) -> BudgetSpec:
        """Return a caller's limits, or the default ones if none are declared."""
        return self.specs.get(ResourceId(Kind.BUDGET, caller)) or BudgetSpec()

    def priority_level(self, priority: str) -> int:
        """Return the level of a priority; calls of a lower level are served first."""
        spec = self.specs.get(ResourceId(Kind.PRIORITY, priority))
        return spec.level if isinstance(spec, PrioritySpec) else DEFAULT_LEVEL

    def highest_version(self) -> int:
        """Return the highest version of all accepted resources, at least 0."""
        return max((resource.version for resource in self.accepted.values()), default=0)


def spec_from_json(kind: Kind, fields: dict[str, Any]) -> Spec:
    """Rebuild a spec from JSON; unknown fields are ignored."""
    known = SPEC_TYPES[kind]._fields
    return SPEC_TYPES[kind](
        **{key: field for key, field in fields.items() if key in known}
    )


def spec_to_json(spec: Spec) -> dict[str, Any]:
    """Return a spec's fields as JSON."""
    return msgspec.to_builtins(spec._asdict())


def undeclared_references(resource: Resource, config: AcceptedResources) -> list[str]:
    """Return a message for each upstream of a program that is not declared."""
    spec = resource.spec
    if not isinstance(spec, ProgramSpec):
        return []
    return [
        f'upstream {name} is not declared'
        for name in spec.upstreams
        if config.upstream(name) is None
    ]
