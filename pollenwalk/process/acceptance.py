"""Accepting declared resources, once and for all entries.

What operators write below `resources/` is a wish. An entry checks it and
writes the verdict below `accepted/` by a conditional update, so the entries
agree on it; what has been accepted stays in force whatever the wish becomes.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from loguru import logger

from pollenwalk.errors import StoreConflict, StoreUnavailable
from pollenwalk.process.clock import Clock
from pollenwalk.process.following import follow
from pollenwalk.process.store import ABSENT, ObjectStore, StoredObject
from pollenwalk.version.config import (
    Accepted,
    Configuration,
    dangling,
    spec_to_json,
)
from pollenwalk.version.fields import InvalidFile
from pollenwalk.version.resources import (
    Kind,
    ResourceId,
    parse_section,
)

DESIRED_PREFIX = 'resources/'
STATUS_PREFIX = 'accepted/'
EVALUATION_INTERVAL_MS = 250


class DesiredResource(NamedTuple):
    """A resource as an operator wrote it; no keys means delete it."""

    kind: str
    name: str
    keys: dict[str, str] | None


class AcceptanceStatus(NamedTuple):
    """What became of a wish.

    Attributes:
        kind: the resource's kind.
        name: the resource's name.
        observed: version of the last wish that was looked at.
        version: version of the wish that is in force.
        spec: what is in force; None when it was deleted.
        reason: why the last wish was refused; empty when it was accepted.
    """

    kind: str
    name: str
    observed: int
    version: int
    spec: dict[str, Any] | None
    reason: str


class KnownStatus(NamedTuple):
    """What is remembered of a verdict.

    Attributes:
        version: of the verdict's object.
        observed: version of the wish it was about.
    """

    version: int
    observed: int


DESIRED_DECODER = msgspec.json.Decoder(DesiredResource)
STATUS_DECODER = msgspec.json.Decoder(AcceptanceStatus)


def desired_key(resource_id: ResourceId) -> str:
    """Name the object of a wish."""
    return f'{DESIRED_PREFIX}{resource_id.kind}/{resource_id.name}'


def status_key(resource_id: ResourceId) -> str:
    """Name the object of a verdict."""
    return f'{STATUS_PREFIX}{resource_id.kind}/{resource_id.name}'


class AcceptanceController:
    """Follows wishes and verdicts for one entry."""

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        config: Configuration,
    ) -> None:
        """Put verdicts in force in `config`."""
        self.store = store
        self.clock = clock
        self.config = config
        self.statuses: dict[str, KnownStatus] = {}
        self.desired_versions: dict[str, int] = {}
        self.pending: dict[str, StoredObject] = {}
        self.synced = False

    async def follow_statuses(self) -> None:
        """Keep the configuration current for as long as the process lives."""
        await follow(
            self.store,
            self.clock,
            STATUS_PREFIX,
            self.apply_status,
            self.mark_synced,
        )

    def mark_synced(self) -> None:
        """Note that the verdicts have been read."""
        self.synced = True

    def apply_status(self, stored: StoredObject) -> None:
        """Put a verdict in force unless a newer one is."""
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
        """Follow what operators write for as long as the process lives."""
        await follow(self.store, self.clock, DESIRED_PREFIX, self.record_desired)

    async def evaluate_desired_resources(
        self, is_responsible: Callable[[], bool]
    ) -> None:
        """Judge wishes while `is_ours()` says that this entry should."""
        while True:
            try:
                if is_responsible():
                    await self.evaluate_pending()
            except StoreUnavailable as error:
                logger.info('judging_put_off', reason=error.message)
            await self.clock.sleep_ms(EVALUATION_INTERVAL_MS)

    def record_desired(self, stored: StoredObject) -> None:
        """Note a wish; only its version is kept once it has been judged."""
        if self.desired_versions.get(stored.key, 0) >= stored.version:
            return
        self.desired_versions[stored.key] = stored.version
        if not self.is_evaluated(stored):
            self.pending[stored.key] = stored

    async def evaluate_pending(self) -> None:
        """Judge what no verdict has looked at; upstreams go first."""
        order = sorted(
            self.pending.values(),
            key=lambda stored: (Kind.PROGRAM in stored.key, stored.key),
        )
        for stored in order:
            await self.evaluate(stored)

    def is_evaluated(self, stored: StoredObject) -> bool:
        """Tell whether a verdict has looked at this wish."""
        key = stored.key.replace(DESIRED_PREFIX, STATUS_PREFIX, 1)
        judged = self.statuses.get(key)
        return judged is not None and judged.observed >= stored.version

    async def evaluate(self, stored: StoredObject) -> None:
        """Check one wish and write the verdict."""
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
            # Another entry was faster; its verdict comes with the watch.
            return
        self.apply_status(StoredObject(key, body, written))
        logger.info('resource_judged', key=key, reason=status.reason)

    def build_status(
        self,
        stored: StoredObject,
        present: StoredObject | None,
    ) -> AcceptanceStatus:
        """Decide on a wish; a refused one leaves in force what is."""
        kind, name = stored.key.removeprefix(DESIRED_PREFIX).split('/', 1)
        before = AcceptanceStatus(kind, name, 0, 0, None, '')
        if present is not None:
            before = STATUS_DECODER.decode(present.body)
        spec, reason = self.validate(stored)
        if reason:
            return before._replace(observed=stored.version, reason=reason)
        return before._replace(
            observed=stored.version,
            version=stored.version,
            spec=spec,
            reason='',
        )

    def validate(self, stored: StoredObject) -> tuple[dict[str, Any] | None, str]:
        """Give a wish's spec, or the reason why it is refused.

        A wish to delete has neither.
        """
        if not stored.body:
            return None, ''
        try:
            desired = DESIRED_DECODER.decode(stored.body)
        except msgspec.DecodeError as error:
            return None, f'not a resource: {error}'
        if desired.keys is None:
            return None, ''
        section = f'{desired.kind} {desired.name}'
        problems, resource = parse_section(section, desired.keys, stored.key)
        if resource is None:
            return None, InvalidFile(problems).message
        missing = dangling(resource, self.config)
        if missing:
            return None, '; '.join(missing)
        return spec_to_json(resource.spec), ''


def encode_desired(resource_id: ResourceId, keys: dict[str, str] | None) -> bytes:
    """Pack an operator's wish."""
    return msgspec.json.encode(
        DesiredResource(resource_id.kind, resource_id.name, keys)
    )
