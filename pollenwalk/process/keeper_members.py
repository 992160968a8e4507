"""The list of keepers in the store."""

from typing import NamedTuple

import msgspec
from loguru import logger

from pollenwalk.process.store import StoredObject

KEEPERS_PREFIX = 'keepers/'


class Member(NamedTuple):
    """One keeper, as it registers itself in the store.

    Attributes:
        name: name of the keeper's host.
        address: `host:port` on which the keeper accepts connections.
        zone: availability zone of the keeper.
        retiring: whether the keeper accepts no new turns.
    """

    name: str
    address: str
    zone: str
    retiring: bool = False

    @property
    def key(self) -> str:
        """Return the key of the keeper's object in the store."""
        return f'{KEEPERS_PREFIX}{self.name}'

    def encode(self) -> bytes:
        """Return the body of the keeper's object in the store, as JSON."""
        return msgspec.json.encode(self._asdict())


class Members:
    """The keepers that the store lists.

    Attributes:
        by_name: the keepers by their names.
        loaded: whether the list has been read from the store.
    """

    def __init__(self) -> None:
        """Create an empty list that has not been read from the store."""
        self.by_name: dict[str, Member] = {}
        self.loaded = False

    def apply_change(self, stored: StoredObject) -> None:
        """Apply a changed or deleted object of one keeper."""
        name = stored.key.removeprefix(KEEPERS_PREFIX)
        if stored.body:
            self.add(name, stored.body)
        else:
            self.by_name.pop(name, None)
        logger.info(
            'keepers',
            changed=name,
            members=sorted(self.by_name),
            revision=stored.version,
        )

    def add(self, name: str, body: bytes) -> None:
        """Add or replace a keeper; log and ignore an unreadable object."""
        try:
            self.by_name[name] = msgspec.convert(
                tuple(msgspec.json.decode(body).values()),
                Member,
            )
        except (msgspec.DecodeError, msgspec.ValidationError, AttributeError) as error:
            logger.error('keeper_unreadable', keeper=name, reason=str(error))

    def mark_loaded(self) -> None:
        """Record that the list has been read from the store."""
        self.loaded = True
