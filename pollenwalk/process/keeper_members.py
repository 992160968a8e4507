"""The list of keepers in the store.

A keeper that is gone for good is replaced in a single conditional write: its successor
enters itself into the object of the lost one. From then on the list has the successor,
and the records of the lost one are not needed by anybody. It still counts for majorities
until its object is deleted, so that majorities before and after each change share a
keeper, even if it lives.
"""

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
        successor: the keeper that has taken its place and has a copy of each turn that
            it may have had; None for none.
        full: whether its disk is nearly full.
        extends_turns: whether it knows `ExtendTurns` and `RaiseRetention`.
    """

    name: str
    address: str
    zone: str
    retiring: bool = False
    successor: 'Member | None' = None
    full: bool = False
    extends_turns: bool = False

    @property
    def key(self) -> str:
        """Return the key of the keeper's object in the store."""
        return f'{KEEPERS_PREFIX}{self.name}'

    @property
    def is_replaced(self) -> bool:
        """Return whether another keeper has taken its place."""
        return self.successor is not None

    @property
    def stays(self) -> bool:
        """Return whether copies of turns at this keeper count in the future."""
        return not self.retiring and not self.is_replaced

    def encode(self) -> bytes:
        """Return the body of the keeper's object in the store, as JSON."""
        fields = self._asdict()
        fields.pop('successor')
        for name in ('full', 'extends_turns'):
            if not fields[name]:
                fields.pop(name)
        if self.successor is not None:
            fields['successor'] = SuccessorObject(
                name=self.successor.name,
                address=self.successor.address,
                zone=self.successor.zone,
                extends_turns=self.successor.extends_turns,
            )
        return msgspec.json.encode(fields)


class SuccessorObject(TypedDict):
    """The successor in the object of a replaced keeper; see `Member`."""

    name: str
    address: str
    zone: str
    extends_turns: NotRequired[bool]


class MemberObject(TypedDict):
    """The object of a keeper in the store; see `Member` for the fields."""

    name: str
    address: str
    zone: str
    retiring: NotRequired[bool]
    successor: NotRequired[SuccessorObject]
    full: NotRequired[bool]
    extends_turns: NotRequired[bool]


MEMBER_DECODER = msgspec.json.Decoder(MemberObject)


def decode_member(key: str, body: bytes) -> Member:
    """Decode the object of a keeper.

    Raises:
        MalformedObject: the body is not valid, or is that of another keeper.
    """
    fields: MemberObject = decode(MEMBER_DECODER, key, body)
    successor_fields = fields.pop('successor', None)
    successor = Member(**successor_fields) if successor_fields else None
    member = Member(**fields, successor=successor)
    if member.key != key or not has_valid_port(member.address):
        raise MalformedObject(f'{key}: another name or a malformed address')
    if successor and not is_valid_successor(member, successor):
        raise MalformedObject(f'{key}: a malformed successor')
    return member


def is_valid_successor(member: Member, successor: Member) -> bool:
    """Return whether a keeper can be the successor of another one."""
    return successor.name != member.name and has_valid_port(successor.address)


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
        registered: the keepers with an object of their own, by their names.
        by_name: these, and successors that have no object of their own yet.
        versions: the versions of the objects, by the names of the keepers.
        unreadable: the objects that could not be decoded. A keeper that was listed
            under the key of one before still is.
        loaded: whether the list has been read from the store.
    """

    def __init__(self, listed: Iterable[StoredObject] = ()) -> None:
        """Create a list of some objects; by default one that has not been read."""
        self.registered: dict[str, Member] = {}
        self.by_name: dict[str, Member] = {}
        self.versions: dict[str, int] = {}
        self.unreadable = UnreadableObjects()
        self.loaded = False
        for stored in listed:
            self.apply(stored)

    def counted(self) -> list[Member]:
        """Return the keepers whose records are needed: those that nobody has replaced."""
        return [member for member in self.by_name.values() if not member.is_replaced]

    def is_counted(self, name: str) -> bool:
        """Return whether a keeper is listed and nobody has replaced it."""
        member = self.by_name.get(name)
        return member is not None and not member.is_replaced

    def successors(self) -> set[str]:
        """Return the names of the keepers that have taken the place of another one."""
        replaced = (member.successor for member in self.registered.values())
        return {successor.name for successor in replaced if successor}

    def replaced_by(self, name: str) -> list[Member]:
        """Return the listed keepers whose place a keeper has taken."""
        return [
            member
            for member in self.registered.values()
            if member.successor and member.successor.name == name
        ]

    def apply_change(self, stored: StoredObject) -> None:
        """Apply and log a changed or deleted object of one keeper."""
        self.apply(stored)
        logger.info(
            'keepers',
            changed=name_of(stored),
            members=sorted(self.by_name),
            replaced=sorted(set(self.by_name).difference(names(self.counted()))),
            revision=stored.version,
        )

    def apply(self, stored: StoredObject) -> None:
        """Apply a changed or deleted object of one keeper."""
        name = name_of(stored)
        if stored.body:
            self.add(name, stored)
            self.versions[name] = stored.version
        else:
            self.unreadable.remove(stored.key)
            self.registered.pop(name, None)
            self.versions.pop(name, None)
        self.update_names()

    def add(self, name: str, stored: StoredObject) -> None:
        """Add or replace a keeper; log and ignore an unreadable object."""
        try:
            self.registered[name] = decode_member(stored.key, stored.body)
        except MalformedObject as error:
            self.unreadable.add(stored, error)
        else:
            self.unreadable.remove(stored.key)

    def update_names(self) -> None:
        """List all keepers with an object, and successors that have none yet."""
        successors = (member.successor for member in self.registered.values())
        self.by_name.clear()
        self.by_name.update(
            (successor.name, successor) for successor in successors if successor
        )
        self.by_name.update(self.registered)

    def note_registered(self, member: Member) -> None:
        """Note an object that this process has just written."""
        self.registered[member.name] = member
        self.unreadable.remove(member.key)
        self.update_names()

    def mark_loaded(self) -> None:
        """Record that the list has been read from the store."""
        self.loaded = True


def name_of(stored: StoredObject) -> str:
    """Return the name of the keeper that an object is of."""
    return stored.key.removeprefix(KEEPERS_PREFIX)


def names(members: Iterable[Member]) -> list[str]:
    """Return the names of some keepers."""
    return [member.name for member in members]
