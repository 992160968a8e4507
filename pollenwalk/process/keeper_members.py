"""The keepers as the store lists them."""

from typing import NamedTuple

import msgspec
from loguru import logger

from pollenwalk.process.store import StoredObject

KEEPERS_PREFIX = 'keepers/'


class Member(NamedTuple):
    """One keeper.

    Attributes:
        name: of its host.
        address: where it takes messages.
        zone: its availability zone.
        retiring: whether it takes no new records.
    """

    name: str
    address: str
    zone: str
    retiring: bool = False

    @property
    def key(self) -> str:
        """Give the key of its object in the store."""
        return f'{KEEPERS_PREFIX}{self.name}'

    def encode(self) -> bytes:
        """Give the body of its object in the store."""
        return msgspec.json.encode(self._asdict())


class Members:
    """All keepers, by name.

    Attributes:
        loaded: whether the store has been read.
    """

    def __init__(self) -> None:
        """Start with none known."""
        self.by_name: dict[str, Member] = {}
        self.loaded = False

    def apply_change(self, stored: StoredObject) -> None:
        """Take a change of one keeper's object."""
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
        """Add a keeper; an object that can't be read changes nothing."""
        try:
            self.by_name[name] = msgspec.convert(
                tuple(msgspec.json.decode(body).values()),
                Member,
            )
        except (msgspec.DecodeError, msgspec.ValidationError, AttributeError) as error:
            logger.error('keeper_unreadable', keeper=name, reason=str(error))

    def mark_loaded(self) -> None:
        """Note that the store has been read."""
        self.loaded = True
