"""Decoding of the store's listings and watches, also beside entries that can't be read.

Any process may write entries. One that is nested too deeply or is not JSON must not
hide the other entries of its page, nor end the process that reads it.
"""

from collections.abc import Iterable
from typing import Any, NotRequired, TypedDict

import msgspec
from loguru import logger

from pollenwalk.errors import StoreUnavailable
from pollenwalk.platform.json_parts import split_elements, split_members
from pollenwalk.process.store import StoredObject

# What a decoder raises: for text that is not JSON of the expected form, for deep
# nesting, for invalid UTF-8, and for numbers with too many digits.
UNREADABLE = (msgspec.MsgspecError, RecursionError, ValueError, OverflowError)
JSON_TRUE = b'true'


class WireMetadata(TypedDict):
    """The metadata of an object; the store sets the revision."""

    name: str
    revision: int


class WireObject(TypedDict):
    """An object; its `spec` stays encoded for the decoder of its kind."""

    metadata: WireMetadata
    spec: NotRequired[msgspec.Raw]


class WireList(TypedDict):
    """One page of a list; if `truncated` is set, more pages follow."""

    items: list[msgspec.Raw]
    truncated: NotRequired[bool]
    store_revision: int


class WireEvent(TypedDict):
    """A change of an object; if `tombstone` is set, the object was deleted."""

    object: NotRequired[msgspec.Raw]
    tombstone: NotRequired[bool]


class WireEvents(TypedDict):
    """The answer to a watch: the changes after the watched revision."""

    events: list[WireEvent]
    store_revision: int


METADATA_DECODER = msgspec.json.Decoder(WireMetadata)
OBJECT_DECODER = msgspec.json.Decoder(WireObject)
LIST_DECODER = msgspec.json.Decoder(WireList)
EVENTS_DECODER = msgspec.json.Decoder(WireEvents)
REVISION_DECODER = msgspec.json.Decoder(int)


def decode_list(body: bytes) -> WireList:
    """Decode one page of a list.

    Raises:
        StoreUnavailable: the answer is not a page.
    """
    try:
        return LIST_DECODER.decode(body)
    except UNREADABLE:
        members = split_members(body)
    return WireList(
        items=list(map(msgspec.Raw, split_elements(members.get(b'items', b'')))),
        truncated=members.get(b'truncated') == JSON_TRUE,
        store_revision=decode_revision('list', members),
    )


def decode_events(kind: str, body: bytes) -> WireEvents:
    """Decode the answer to a watch of a kind of objects.

    Raises:
        StoreUnavailable: the answer is not one to a watch.
    """
    try:
        return EVENTS_DECODER.decode(body)
    except UNREADABLE:
        members = split_members(body)
    events = map(split_members, split_elements(members.get(b'events', b'')))
    return WireEvents(
        events=[salvage_event(event) for event in events],
        store_revision=decode_revision(f'watch of {kind}', members),
    )


def salvage_event(members: dict[bytes, bytes]) -> WireEvent:
    """Return an event whose members have been split."""
    return WireEvent(
        object=msgspec.Raw(members.get(b'object', b'null')),
        tombstone=members.get(b'tombstone') == JSON_TRUE,
    )


def decode_revision(what: str, members: dict[bytes, bytes]) -> int:
    """Return the revision of the store in an answer whose members have been split.

    Raises:
        StoreUnavailable: the answer has none, so it is not the store's.
    """
    try:
        return REVISION_DECODER.decode(members.get(b'store_revision', b''))
    except UNREADABLE as error:
        raise StoreUnavailable(f'{what}: {error}') from error


def decode_items(prefix: str, items: Iterable[msgspec.Raw]) -> list[StoredObject]:
    """Decode the objects of a page; those with unreadable metadata are left out."""
    decoded = (decode_item(prefix, raw) for raw in items)
    return [stored for stored in decoded if stored]


def decode_event(prefix: str, event: WireEvent) -> StoredObject | None:
    """Decode a change; None if it is unreadable. Deleted objects have no body."""
    raw = event.get('object')
    stored = None if raw is None else decode_item(prefix, raw)
    if stored is None:
        return None
    return stored._replace(body=b'') if event.get('tombstone') else stored


def decode_item(prefix: str, raw: msgspec.Raw) -> StoredObject | None:
    """Decode an object but not its `spec`; None if its metadata is unreadable."""
    try:
        wire = decode_metadata(bytes(raw))
    except UNREADABLE as error:
        logger.warning('store_entry_unreadable', kind=prefix, reason=str(error))
        return None
    return to_stored_object(f'{prefix}{wire["metadata"]["name"]}', wire)


def decode_metadata(body: bytes) -> WireObject:
    """Decode an object but not its `spec`, which may be unreadable.

    Raises one of UNREADABLE if the metadata can't be decoded.
    """
    try:
        return OBJECT_DECODER.decode(body)
    except UNREADABLE:
        members = split_members(body)
    metadata = METADATA_DECODER.decode(members.get(b'metadata', b''))
    spec = msgspec.Raw(members.get(b'spec', b'null'))
    return WireObject(metadata=metadata, spec=spec)


def decode_object(key: str, body: bytes) -> StoredObject:
    """Decode the answer to a request for one object.

    Raises:
        StoreUnavailable: the answer is not an object.
    """
    try:
        wire = decode_metadata(body)
    except UNREADABLE as error:
        raise StoreUnavailable(f'{key}: {error}') from error
    return to_stored_object(key, wire)


def to_stored_object(key: str, wire: Any) -> StoredObject:
    """Convert a decoded object; one without `spec` gets the body `null`."""
    spec = wire.get('spec')
    body = b'null' if spec is None else bytes(spec)
    return StoredObject(key, body, wire['metadata']['revision'])
