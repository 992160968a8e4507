"""Encoding and decoding of the messages between pollenwalk processes.

A `Frame` contains one message and states its kind, which is the name of the message
type. Several frames can be encoded together as one payload for a channel. A payload that
can't be decoded ends the connection.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from pollenwalk.connection.message_types import DECODERS
from pollenwalk.errors import Outcome, Refusal, RefusalCode

CANCEL_KIND = 'cancel'
END_KIND = 'end'


class Frame(NamedTuple):
    """One message of an exchange, which is a request with its answers.

    Attributes:
        exchange: number of the exchange on its connection.
        kind: name of the message type, CANCEL_KIND or END_KIND.
        body: the message; None for CANCEL_KIND and END_KIND.
    """

    exchange: int
    kind: str
    body: Any


class RawFrame(NamedTuple):
    """A frame whose body is still encoded."""

    exchange: int
    kind: str
    body: msgspec.Raw


ENCODER = msgspec.msgpack.Encoder()
FRAMES_DECODER = msgspec.msgpack.Decoder(list[RawFrame])
DATAGRAM_DECODER = msgspec.msgpack.Decoder(RawFrame)


def encode_frame(frame: Frame) -> bytes:
    """Encode one frame, as a part of a payload."""
    return ENCODER.encode(frame)


def encode_frames(frames: Iterable[Frame | msgspec.Raw]) -> bytes:
    """Encode frames, or put encoded ones together, as one payload for a channel."""
    return ENCODER.encode(list(frames))


def decode_frames(payload: bytes) -> list[Frame]:
    """Decode the frames in one payload of a channel.

    Raises:
        Refusal: the payload is malformed; the code is `protocol`.
    """
    try:
        return [decode_body(raw) for raw in FRAMES_DECODER.decode(payload)]
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise malformed(error) from error


def decode_body(raw: RawFrame) -> Frame:
    """Decode the body of a frame according to its kind.

    Raises:
        Refusal: the kind is unknown; the code is `protocol`.
        msgspec.DecodeError: the body is malformed.
    """
    if raw.kind in {CANCEL_KIND, END_KIND}:
        return Frame(raw.exchange, raw.kind, None)
    decoder = DECODERS.get(raw.kind)
    if decoder is None:
        raise Refusal(RefusalCode.PROTOCOL, f'unknown message kind {raw.kind!r}')
    return Frame(raw.exchange, raw.kind, decoder.decode(raw.body))


def encode_datagram(message: Any) -> bytes:
    """Encode a message as the payload of a datagram."""
    return ENCODER.encode(Frame(0, type(message).__name__, message))


def decode_datagram(payload: bytes) -> Any:
    """Decode the message in a datagram.

    Raises:
        Refusal: the payload is malformed; the code is `protocol`.
    """
    try:
        return decode_body(DATAGRAM_DECODER.decode(payload)).body
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise malformed(error) from error


def malformed(error: Exception) -> Refusal:
    """Return the refusal of a payload that can't be decoded."""
    return Refusal(
        RefusalCode.PROTOCOL,
        f'malformed message: {error}',
        Outcome.UNKNOWN,
    )
