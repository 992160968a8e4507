"""Messages of every connection between pollenwalk processes."""

from typing import NamedTuple

PROTOCOL_VERSION = 1


class Hello(NamedTuple):
    """First message on a connection, sent by the side that connects.

    Attributes:
        protocol: protocol version of the sender.
        incarnation: id of this start of the sending process.
        epoch: a number that increases with each connection from this incarnation
            to the same peer, so that the peer can reject requests that still
            arrive on an earlier connection.
        zone: availability zone of the sender.
    """

    protocol: int
    incarnation: str
    epoch: int
    zone: str


class Welcome(NamedTuple):
    """The answer to `Hello`.

    Attributes:
        protocol: protocol version of the answering process.
        boot_id: id of this start of the answering process.
    """

    protocol: int
    boot_id: str


class Done(NamedTuple):
    """Answer without content to a request that has succeeded."""
