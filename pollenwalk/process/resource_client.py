"""Client that operators use to write resources and read what was accepted.

Updates are conditional: an update that was made against another version than
the stored one is refused, so concurrent operators can't overwrite each other's
changes unnoticed.
"""

from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import msgspec

from pollenwalk.errors import PollenwalkError, StoreConflict, StoreUnavailable
from pollenwalk.process.acceptance import (
    DESIRED_DECODER,
    DESIRED_PREFIX,
    STATUS_DECODER,
    STATUS_PREFIX,
    AcceptanceStatus,
    desired_key,
    encode_desired,
    status_key,
)
from pollenwalk.process.clock import Clock
from pollenwalk.process.store import ABSENT, Backoff, ObjectStore
from pollenwalk.version.resources import ResourceId

STATUS_TIMEOUT_MS = 10_000
STATUS_POLL_MS = 200
WRITE_TIMEOUT_MS = 10_000


class UpdateConflict(PollenwalkError):
    """The resource is not at the version that the update was made against."""

    code = 'conflict'


class ResourceView(NamedTuple):
    """A desired resource together with its acceptance status.

    Attributes:
        name: `Kind/name`.
        version: version of the desired resource.
        keys: keys of the desired resource as written; None if it is deleted or
            can't be decoded.
        in_force: the spec that is in force; None if there is none.
        reason: why the last evaluated version was refused; empty if it was not.
        judged: whether this version has been evaluated.
    """

    name: str
    version: int
    keys: dict[str, str] | None
    in_force: dict[str, Any] | None
    reason: str
    judged: bool


class ResourceClient:
    """Writes and reads resources through the platform's object API."""

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        """Create a client of `store`."""
        self.store = store
        self.clock = clock

    async def apply(
        self,
        resource_id: ResourceId,
        keys: dict[str, str] | None,
        version: int | None = None,
    ) -> int:
        """Write a desired resource, retrying while the store is unavailable.

        Args:
            resource_id: the resource.
            keys: its keys as in the INI file; None deletes it.
            version: the version that the change was made against; None accepts
                whatever version is stored.

        Returns:
            The version of the desired resource.

        Raises:
            UpdateConflict: the resource has another version.
            StoreUnavailable: the store did not answer for WRITE_TIMEOUT_MS.
        """
        key = desired_key(resource_id)
        body = encode_desired(resource_id, keys)
        backoff = Backoff(self.clock)
        deadline_ms = self.clock.now_ms() + WRITE_TIMEOUT_MS
        while True:
            try:
                return await self.write(key, body, version)
            except StoreUnavailable:
                if self.clock.now_ms() > deadline_ms:
                    raise
            await backoff.pause()

    async def write(self, key: str, body: bytes, version: int | None) -> int:
        """Try once to write an object, unless it is stored already.

        Args:
            key: key of the object.
            body: its new content.
            version: the version that the object must have; None for any.

        Returns:
            The version of the object.

        Raises:
            UpdateConflict: the object has another version.
            StoreUnavailable: the store did not answer.
        """
        present = await self.store.get(key)
        if present is not None and present.body == body:
            return present.version
        present_version = present.version if present else ABSENT
        if version is not None and version != present_version:
            raise UpdateConflict(f'{key} is at version {present_version}')
        try:
            return await self.store.put(key, body, present_version)
        except StoreConflict as error:
            raise UpdateConflict(f'{key} was changed concurrently') from error

    async def wait_for_status(
        self, resource_id: ResourceId, version: int
    ) -> AcceptanceStatus | None:
        """Wait until a version of a desired resource has been evaluated.

        Returns:
            The acceptance status, or None if there is none after
            STATUS_TIMEOUT_MS.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        deadline_ms = self.clock.now_ms() + STATUS_TIMEOUT_MS
        while self.clock.now_ms() < deadline_ms:
            stored = await self.store.get(status_key(resource_id))
            if stored is not None:
                status = STATUS_DECODER.decode(stored.body)
                if status.observed >= version:
                    return status
            await self.clock.sleep_ms(STATUS_POLL_MS)
        return None

    async def list_resources(self) -> list[ResourceView]:
        """Return all desired resources with their acceptance statuses."""
        desired = await self.store.scan(DESIRED_PREFIX)
        statuses = await self.store.scan(STATUS_PREFIX)
        status_by_name = {
            stored.key.removeprefix(STATUS_PREFIX): STATUS_DECODER.decode(stored.body)
            for stored in statuses.objects
        }
        return [
            make_view(
                stored.key.removeprefix(DESIRED_PREFIX),
                stored.version,
                stored.body,
                status_by_name.get(stored.key.removeprefix(DESIRED_PREFIX)),
            )
            for stored in desired.objects
        ]

    async def watch(self) -> AsyncIterator[AcceptanceStatus]:
        """Yield the stored acceptance statuses, then each new one."""
        changes = await self.store.scan(STATUS_PREFIX)
        while True:
            for stored in changes.objects:
                if stored.body:
                    yield STATUS_DECODER.decode(stored.body)
            changes = await self.store.watch(STATUS_PREFIX, changes.revision)


def make_view(
    name: str,
    version: int,
    body: bytes,
    status: AcceptanceStatus | None,
) -> ResourceView:
    """Combine a desired resource and its acceptance status.

    Args:
        name: `Kind/name`.
        version: version of the desired resource.
        body: the stored desired resource.
        status: its acceptance status; None if it has none yet.
    """
    try:
        keys = DESIRED_DECODER.decode(body).keys
    except msgspec.DecodeError:
        keys = None
    if status is None:
        return ResourceView(name, version, keys, None, '', judged=False)
    return ResourceView(
        name,
        version,
        keys,
        status.spec,
        status.reason,
        status.observed >= version,
    )
