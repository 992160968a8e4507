"""The list of keepers in the store."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple, NotRequired, TypedDict

import msgspec
from loguru import logger

from pollenwalk.connection.addresses import has_valid_port
from pollenwalk.errors import MalformedObject
from pollenwalk.platform.documents import decode
from pollenwalk.process.store import StoredObject
from pollenwalk.process.unreadable_objects import UnreadableObjects

KEEPERS_PREFIX = 'keepers/'


class Member(NamedTuple):
    """One keeper, as it registers itself in the store.

    Attributes:
        name: name of the keeper, which is that of its host.
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


class MemberObject(TypedDict):
    """The object of a keeper in the store; see `Member` for the fields."""

    name: str
    address: str
    zone: str
    retiring: NotRequired[bool]


MEMBER_DECODER = msgspec.json.Decoder(MemberObject)


def decode_member(key: str, body: bytes) -> Member:
    """Decode the object of a keeper.

    Raises:
        MalformedObject: the body is not valid, or is that of another keeper.
    """
    fields: MemberObject = decode(MEMBER_DECODER, key, body)
    member = Member(**fields)
    if member.key != key or not has_valid_port(member.address):
        raise MalformedObject(f'{key}: another name or a malformed address')
    return member


def readable_members(listed: Iterable[StoredObject]) -> Iterator[Member]:
    """Yield the keepers of those objects that can be decoded."""
    for stored in listed:
        try:
            yield decode_member(stored.key, stored.body)
        except MalformedObject as error:
            logger.warning('keeper_not_read', key=stored.key, reason=error.message)


class Members:
    """The keepers that the store lists.

    Attributes:
        by_name: the keepers by their names.
        unreadable: the objects that could not be decoded. A keeper that was listed
            under the key of one before still is.
        loaded: whether the list has been read from the store.
    """

    def __init__(self) -> None:
        """Create an empty list that has not been read from the store."""
        self.by_name: dict[str, Member] = {}
        self.unreadable = UnreadableObjects()
        self.loaded = False

    def apply_change(self, stored: StoredObject) -> None:
        """Apply a changed or deleted object of one keeper."""
        name = stored.key.removeprefix(KEEPERS_PREFIX)
        if stored.body:
            self.add(name, stored)
        else:
            self.unreadable.remove(stored.key)
            self.by_name.pop(name, None)
        logger.info(
            'keepers',
            changed=name,
            members=sorted(self.by_name),
            revision=stored.version,
        )

    def add(self, name: str, stored: StoredObject) -> None:
        """Add or replace a keeper; log and ignore an unreadable object."""
        try:
            self.by_name[name] = decode_member(stored.key, stored.body)
        except MalformedObject as error:
            self.unreadable.add(stored, error)
        else:
            self.unreadable.remove(stored.key)

    def mark_loaded(self) -> None:
        """Record that the list has been read from the store."""
        self.loaded = True
