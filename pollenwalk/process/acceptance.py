"""Acceptance of the resources that operators declare.

Operators write desired resources below `resources/`. One entry validates each
and writes its acceptance status below `accepted/` by a conditional update, so
that all entries agree on it. What has been accepted stays in force until a
later version is accepted, even if the desired resource becomes invalid.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from loguru import logger

from pollenwalk.errors import StoreConflict, StoreUnavailable
from pollenwalk.process.clock import Clock
from pollenwalk.process.prefix_watcher import watch_prefix
from pollenwalk.process.store import ABSENT, ObjectStore, StoredObject
from pollenwalk.version.config import (
    Accepted,
    Configuration,
    spec_to_json,
    undeclared_references,
)
from pollenwalk.version.fields import InvalidFile
from pollenwalk.version.resources import Kind, ResourceId, parse_section

DESIRED_PREFIX = 'resources/'
STATUS_PREFIX = 'accepted/'
EVALUATION_INTERVAL_MS = 250


class DesiredResource(NamedTuple):
    """A resource as an operator wrote it.

    Attributes:
        kind: kind of the resource.
        name: name of the resource.
        keys: its keys as in the INI file; None deletes the resource.
    """

    kind: str
    name: str
    keys: dict[str, str] | None


class AcceptanceStatus(NamedTuple):
    """Whether a desired resource was accepted, and what is in force.

    Attributes:
        kind: kind of the resource.
        name: name of the resource.
        observed: version of the desired resource that was evaluated last.
        version: version of the desired resource that is in force; 0 if none is.
        spec: the spec that is in force; None if none is, or if the resource is
            deleted.
        reason: why the observed version was refused; empty if it was accepted.
    """

    kind: str
    name: str
    observed: int
    version: int
    spec: dict[str, Any] | None
    reason: str


class KnownStatus(NamedTuple):
    """The versions of an acceptance status that this entry has applied.

    Attributes:
        version: store version of the status object.
        observed: version of the desired resource that it is about.
    """

    version: int
    observed: int


DESIRED_DECODER = msgspec.json.Decoder(DesiredResource)
STATUS_DECODER = msgspec.json.Decoder(AcceptanceStatus)


def desired_key(resource_id: ResourceId) -> str:
    """Return the store key of a desired resource."""
    return f'{DESIRED_PREFIX}{resource_id.kind}/{resource_id.name}'


def status_key(resource_id: ResourceId) -> str:
    """Return the store key of an acceptance status."""
    return f'{STATUS_PREFIX}{resource_id.kind}/{resource_id.name}'


class AcceptanceController:
    """Evaluates desired resources and applies acceptance statuses for one entry.

    Attributes:
        statuses: the known acceptance statuses, by key.
        desired_versions: last seen version of each desired resource, by key.
        pending: desired resources that are not evaluated yet, by key.
        synced: whether all acceptance statuses have been read once.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        config: Configuration,
    ) -> None:
        """Create a controller that applies accepted resources to `config`."""
        self.store = store
        self.clock = clock
        self.config = config
        self.statuses: dict[str, KnownStatus] = {}
        self.desired_versions: dict[str, int] = {}
        self.pending: dict[str, StoredObject] = {}
        self.synced = False

    async def follow_statuses(self) -> None:
        """Follow the acceptance statuses and apply them, until cancelled."""
        await watch_prefix(
            self.store,
            self.clock,
            STATUS_PREFIX,
            self.apply_status,
            self.mark_synced,
        )

    def mark_synced(self) -> None:
        """Record that the acceptance statuses have been read."""
        self.synced = True

    def apply_status(self, stored: StoredObject) -> None:
        """Apply an acceptance status unless it or a later one has been applied."""
        known = self.statuses.get(stored.key)
        if not stored.body or (known and known.version >= stored.version):
            return
        status = STATUS_DECODER.decode(stored.body)
        self.statuses[stored.key] = KnownStatus(stored.version, status.observed)
        desired = self.pending.get(stored.key.replace(STATUS_PREFIX, DESIRED_PREFIX, 1))
        if desired is not None and self.is_evaluated(desired):
            self.pending.pop(desired.key)
        if status.version:
            self.config.accept(
                Accepted(
                    status.kind,
                    status.name,
                    status.version,
                    status.spec,
                ),
            )

    async def follow_desired_resources(self) -> None:
        """Follow the desired resources, until cancelled."""
        await watch_prefix(self.store, self.clock, DESIRED_PREFIX, self.record_desired)

    async def evaluate_desired_resources(
        self, is_responsible: Callable[[], bool]
    ) -> None:
        """Evaluate pending desired resources periodically, until cancelled.

        Args:
            is_responsible: returns whether this entry is the one that evaluates.
        """
        while True:
            try:
                if is_responsible():
                    await self.evaluate_pending()
            except StoreUnavailable as error:
                logger.info('evaluation_postponed', reason=error.message)
            await self.clock.sleep_ms(EVALUATION_INTERVAL_MS)

    def record_desired(self, stored: StoredObject) -> None:
        """Record a desired resource; keep its body only until it is evaluated."""
        if self.desired_versions.get(stored.key, 0) >= stored.version:
            return
        self.desired_versions[stored.key] = stored.version
        if not self.is_evaluated(stored):
            self.pending[stored.key] = stored

    async def evaluate_pending(self) -> None:
        """Evaluate the pending desired resources, programs last.

        Programs refer to upstreams, which must be accepted first.
        """
        order = sorted(
            self.pending.values(),
            key=lambda stored: (Kind.PROGRAM in stored.key, stored.key),
        )
        for stored in order:
            await self.evaluate(stored)

    def is_evaluated(self, stored: StoredObject) -> bool:
        """Return whether this version of a desired resource was evaluated."""
        key = stored.key.replace(DESIRED_PREFIX, STATUS_PREFIX, 1)
        known = self.statuses.get(key)
        return known is not None and known.observed >= stored.version

    async def evaluate(self, stored: StoredObject) -> None:
        """Validate one desired resource and write its acceptance status.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        key = stored.key.replace(DESIRED_PREFIX, STATUS_PREFIX, 1)
        present = await self.store.get(key)
        if present is not None:
            self.apply_status(present)
            if self.is_evaluated(stored):
                return
        status = self.build_status(stored, present)
        body = msgspec.json.encode(status)
        version = present.version if present else ABSENT
        try:
            written = await self.store.put(key, body, version)
        except StoreConflict:
            # Another entry wrote the status first; it arrives through the watch.
            return
        self.apply_status(StoredObject(key, body, written))
        logger.info('resource_judged', key=key, reason=status.reason)

    def build_status(
        self,
        stored: StoredObject,
        present: StoredObject | None,
    ) -> AcceptanceStatus:
        """Return the acceptance status of a desired resource.

        A refusal leaves the version and spec that are in force unchanged.

        Args:
            stored: the desired resource.
            present: the stored acceptance status; None if there is none yet.
        """
        kind, name = stored.key.removeprefix(DESIRED_PREFIX).split('/', 1)
        previous = AcceptanceStatus(kind, name, 0, 0, None, '')
        if present is not None:
            previous = STATUS_DECODER.decode(present.body)
        spec, reason = self.validate(stored)
        if reason:
            return previous._replace(observed=stored.version, reason=reason)
        return previous._replace(
            observed=stored.version,
            version=stored.version,
            spec=spec,
            reason='',
        )

    def validate(self, stored: StoredObject) -> tuple[dict[str, Any] | None, str]:
        """Validate a desired resource.

        Returns:
            The spec and an empty reason, or None and the reason for refusing
            it. A deletion gives None and an empty reason.
        """
        if not stored.body:
            return None, ''
        try:
            desired = DESIRED_DECODER.decode(stored.body)
        except msgspec.DecodeError as error:
            return None, f'the stored resource cannot be decoded: {error}'
        if desired.keys is None:
            return None, ''
        section = f'{desired.kind} {desired.name}'
        problems, resource = parse_section(section, desired.keys, stored.key)
        if resource is None:
            return None, InvalidFile(problems).message
        undeclared = undeclared_references(resource, self.config)
        if undeclared:
            return None, '; '.join(undeclared)
        return spec_to_json(resource.spec), ''


def encode_desired(resource_id: ResourceId, keys: dict[str, str] | None) -> bytes:
    """Encode a desired resource as JSON; `keys` None deletes the resource."""
    return msgspec.json.encode(
        DesiredResource(resource_id.kind, resource_id.name, keys)
    )
