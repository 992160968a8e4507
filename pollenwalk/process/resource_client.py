"""What operators do: write wishes, read verdicts, and watch both.

Updates are conditional: one that was made against another version than the
present one is refused, so racing operators can't overwrite each other unseen.
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
    """Another operator has changed the resource."""

    code = 'conflict'


class ResourceView(NamedTuple):
    """A resource as operators see it.

    Attributes:
        name: `Kind/name`.
        version: of the last wish; 0 when there is none.
        keys: what was wished.
        in_force: what is in force.
        reason: why the last wish was refused; empty when it was not.
        judged: whether the last wish has been looked at.
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
        """Act on `store`."""
        self.store = store
        self.clock = clock

    async def apply(
        self,
        resource_id: ResourceId,
        keys: dict[str, str] | None,
        version: int | None = None,
    ) -> int:
        """Write a wish.

        Args:
            resource_id: the resource.
            keys: its keys as in the INI file; None deletes it.
            version: the version the change was made against; None takes the
                present one.

        Returns:
            The wish's version.

        Raises:
            UpdateConflict: the resource has another version.
            StoreUnavailable: the store did not answer for long.
        """
        key = desired_key(resource_id)
        body = encode_desired(resource_id, keys)
        backoff = Backoff(self.clock)
        until_ms = self.clock.now_ms() + WRITE_TIMEOUT_MS
        while True:
            try:
                return await self.write(key, body, version)
            except StoreUnavailable:
                if self.clock.now_ms() > until_ms:
                    raise
            await backoff.pause()

    async def write(self, key: str, body: bytes, version: int | None) -> int:
        """Try once; a wish that is already there needs no writing."""
        present = await self.store.get(key)
        if present is not None and present.body == body:
            return present.version
        present_version = present.version if present else ABSENT
        if version is not None and version != present_version:
            raise UpdateConflict(f'{key} is at version {present_version}')
        try:
            return await self.store.put(key, body, present_version)
        except StoreConflict as error:
            raise UpdateConflict(f'{key} was changed meanwhile') from error

    async def wait_for_status(
        self, resource_id: ResourceId, version: int
    ) -> AcceptanceStatus | None:
        """Wait for the verdict on a wish.

        Returns:
            The verdict, or None when none came in time.
        """
        until_ms = self.clock.now_ms() + STATUS_TIMEOUT_MS
        while self.clock.now_ms() < until_ms:
            stored = await self.store.get(status_key(resource_id))
            if stored is not None:
                status = STATUS_DECODER.decode(stored.body)
                if status.observed >= version:
                    return status
            await self.clock.sleep_ms(STATUS_POLL_MS)
        return None

    async def list_resources(self) -> list[ResourceView]:
        """Read all resources with what is in force."""
        wishes = await self.store.scan(DESIRED_PREFIX)
        statuses = await self.store.scan(STATUS_PREFIX)
        judged = {
            stored.key.removeprefix(STATUS_PREFIX): STATUS_DECODER.decode(stored.body)
            for stored in statuses.objects
        }
        return [
            make_view(
                stored.key.removeprefix(DESIRED_PREFIX),
                stored.version,
                stored.body,
                judged.get(stored.key.removeprefix(DESIRED_PREFIX)),
            )
            for stored in wishes.objects
        ]

    async def watch(self) -> AsyncIterator[AcceptanceStatus]:
        """Give the present verdicts, then each new one."""
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
    """Put a wish and its verdict together."""
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
