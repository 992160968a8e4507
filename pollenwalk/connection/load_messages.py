"""Messages by which gateways learn how loaded the others are."""

from typing import NamedTuple


class GatewayLoad(NamedTuple):
    """Tells a keeper how well a gateway keeps up with its own load.

    Attributes:
        name: name of the gateway.
        zone: its availability zone.
        delay_ms: average delay of its event loop.
        wants_to_leave: whether it asks to get no new callers for a while.
    """

    name: str
    zone: str
    delay_ms: float
    wants_to_leave: bool


class FleetState(NamedTuple):
    """The answer to `GatewayLoad`.

    Attributes:
        may_leave: whether the gateway may ask for no new callers now.
        others_have_room: whether callers that it sends away would find room.
    """

    may_leave: bool
    others_have_room: bool
