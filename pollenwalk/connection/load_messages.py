"""Messages by which gateways learn how the fleet is.

Answers to messages that older gateways send must not grow: a gateway reads no answer with
more fields than it knows.
"""

from typing import NamedTuple

from pollenwalk.connection.limit_messages import HostStart


class GatewayLoad(NamedTuple):
    """Tells a keeper how well a gateway keeps up with its own load.

    Attributes:
        name: name of the gateway.
        zone: its availability zone.
        delay_ms: average delay of its event loop.
        wants_to_leave: whether it asks to get no new callers for a while.
        reads_count: whether it reads `CountedFleetState`. Former gateways, which do
            not send this field, read only `FleetState`.
    """

    name: str
    zone: str
    delay_ms: float
    wants_to_leave: bool
    reads_count: bool = False


class FleetState(NamedTuple):
    """The answer to `GatewayLoad`.

    Attributes:
        may_leave: whether the gateway may ask for no new callers now.
        others_have_room: whether callers that it sends away would find room.
        leaving: upstream hosts that have lately said in an answer that they leave.
    """

    may_leave: bool
    others_have_room: bool
    leaving: tuple[HostStart, ...] = ()


class CountedFleetState(NamedTuple):
    """The answer to `GatewayLoad` of a gateway that reads the number of gateways.

    Attributes:
        state: what former gateways are answered.
        gateways: number of gateways that have reported lately, with the asking one.
    """

    state: FleetState
    gateways: int
