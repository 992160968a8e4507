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
    spec_to_json,
    undeclared_references,
)
from pollenwalk.version.fields import InvalidFile
from pollenwalk.version.resources import (
    Kind,
    ResourceId,
    parse_section,
)

WISHES = 'resources/'
VERDICTS = 'accepted/'
JUDGE_MS = 250


class Wish(NamedTuple):
    """A resource as an operator wrote it; no keys means delete it."""

    kind: str
    name: str
    keys: dict[str, str] | None


class Verdict(NamedTuple):
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


class Judged(NamedTuple):
    """What is remembered of a verdict.

    Attributes:
        version: of the verdict's object.
        observed: version of the wish it was about.
    """

    version: int
    observed: int


WISH_DECODER = msgspec.json.Decoder(Wish)
VERDICT_DECODER = msgspec.json.Decoder(Verdict)


def wish_key(resource_id: ResourceId) -> str:
    """Name the object of a wish."""
    return f'{WISHES}{resource_id.kind}/{resource_id.name}'


def verdict_key(resource_id: ResourceId) -> str:
    """Name the object of a verdict."""
    return f'{VERDICTS}{resource_id.kind}/{resource_id.name}'


class Acceptance:
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
        self.verdicts: dict[str, Judged] = {}
        self.wishes: dict[str, int] = {}
        self.pending: dict[str, StoredObject] = {}
        self.synced = False

    async def follow_verdicts(self) -> None:
        """Keep the configuration current for as long as the process lives."""
        await follow(
            self.store,
            self.clock,
            VERDICTS,
            self.take_verdict,
            self.note_synced,
        )

    def note_synced(self) -> None:
        """Note that the verdicts have been read."""
        self.synced = True

    def take_verdict(self, stored: StoredObject) -> None:
        """Put a verdict in force unless a newer one is."""
        known = self.verdicts.get(stored.key)
        if not stored.body or (known and known.version >= stored.version):
            return
        verdict = VERDICT_DECODER.decode(stored.body)
        self.verdicts[stored.key] = Judged(stored.version, verdict.observed)
        wish = self.pending.get(stored.key.replace(VERDICTS, WISHES, 1))
        if wish is not None and self.observed(wish):
            self.pending.pop(wish.key)
        if verdict.version:
            self.config.accept(
                Accepted(
                    verdict.kind,
                    verdict.name,
                    verdict.version,
                    verdict.spec,
                ),
            )

    async def follow_wishes(self) -> None:
        """Follow what operators write for as long as the process lives."""
        await follow(self.store, self.clock, WISHES, self.take_wish)

    async def judge_wishes(self, is_ours: Callable[[], bool]) -> None:
        """Judge wishes while `is_ours()` says that this entry should."""
        while True:
            try:
                if is_ours():
                    await self.judge_all()
            except StoreUnavailable as error:
                logger.info('judging_put_off', reason=error.message)
            await self.clock.sleep_ms(JUDGE_MS)

    def take_wish(self, stored: StoredObject) -> None:
        """Note a wish; only its version is kept once it has been judged."""
        if self.wishes.get(stored.key, 0) >= stored.version:
            return
        self.wishes[stored.key] = stored.version
        if not self.observed(stored):
            self.pending[stored.key] = stored

    async def judge_all(self) -> None:
        """Judge what no verdict has looked at; upstreams go first."""
        order = sorted(
            self.pending.values(),
            key=lambda stored: (Kind.PROGRAM in stored.key, stored.key),
        )
        for stored in order:
            await self.judge(stored)

    def observed(self, stored: StoredObject) -> bool:
        """Tell whether a verdict has looked at this wish."""
        key = stored.key.replace(WISHES, VERDICTS, 1)
        judged = self.verdicts.get(key)
        return judged is not None and judged.observed >= stored.version

    async def judge(self, stored: StoredObject) -> None:
        """Check one wish and write the verdict."""
        key = stored.key.replace(WISHES, VERDICTS, 1)
        present = await self.store.get(key)
        if present is not None:
            self.take_verdict(present)
            if self.observed(stored):
                return
        verdict = self.verdict_on(stored, present)
        body = msgspec.json.encode(verdict)
        version = present.version if present else ABSENT
        try:
            written = await self.store.put(key, body, version)
        except StoreConflict:
            # Another entry was faster; its verdict comes with the watch.
            return
        self.take_verdict(StoredObject(key, body, written))
        logger.info('resource_judged', key=key, reason=verdict.reason)

    def verdict_on(
        self,
        stored: StoredObject,
        present: StoredObject | None,
    ) -> Verdict:
        """Decide on a wish; a refused one leaves in force what is."""
        kind, name = stored.key.removeprefix(WISHES).split('/', 1)
        before = Verdict(kind, name, 0, 0, None, '')
        if present is not None:
            before = VERDICT_DECODER.decode(present.body)
        spec, reason = self.check(stored)
        if reason:
            return before._replace(observed=stored.version, reason=reason)
        return before._replace(
            observed=stored.version,
            version=stored.version,
            spec=spec,
            reason='',
        )

    def check(self, stored: StoredObject) -> tuple[dict[str, Any] | None, str]:
        """Give a wish's spec, or the reason why it is refused.

        A wish to delete has neither.
        """
        if not stored.body:
            return None, ''
        try:
            wish = WISH_DECODER.decode(stored.body)
        except msgspec.DecodeError as error:
            return None, f'not a resource: {error}'
        if wish.keys is None:
            return None, ''
        section = f'{wish.kind} {wish.name}'
        problems, resource = parse_section(section, wish.keys, stored.key)
        if resource is None:
            return None, InvalidFile(problems).message
        missing = undeclared_references(resource, self.config)
        if missing:
            return None, '; '.join(missing)
        return spec_to_json(resource.spec), ''


def encode_wish(resource_id: ResourceId, keys: dict[str, str] | None) -> bytes:
    """Pack an operator's wish."""
    return msgspec.json.encode(Wish(resource_id.kind, resource_id.name, keys))
