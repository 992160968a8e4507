"""Own load: whether a gateway itself can keep up with more callers.

Answers the load of a gateway whose processor is the bottleneck, as a small one in an
availability zone that has lost its other gateways. Each request takes several turns
of the event loop, so a late loop makes every request late, and the wait for hosts does
not show it. New programs are then refused as if the hosts were busy, and the gateway
asks to get no new callers for a while, so that the load balancer sends them to gateways
with room, in a neighbouring zone if need be. Whether there are such gateways is decided
for the whole fleet (`fleet_load`); a gateway that knows of no fleet decides alone.
"""

import math

from pollenwalk.connection.load_messages import FleetState

# Weight of a new delay in the moving average.
SMOOTHING = 0.2
# A longer delay counts as this one: a process that was paused once is not overloaded.
MAX_DELAY_MS = 100.0
# Turns of the event loop that a call takes one after the other until its first event.
TURNS_PER_CALL = 6
# Average delay from which a gateway asks for no more callers. A call then takes half of
# a usual latency target longer than at an idle gateway.
OVERLOAD_DELAY_MS = 25.0
# Average delay below which callers keep their connections.
RELAXED_DELAY_MS = 10.0
# How long a gateway asks for no more callers. A load balancer needs up to 2 s until it
# sends none.
AWAY_MS = 6000.0
# How long it accepts callers again at least. So if all gateways are overloaded, not all
# of them stay away.
RETURN_MS = 2000.0
# How long a permission to leave holds.
PERMISSION_MS = 1000.0


class OwnLoad:
    """Decides from the delay of the event loop whether a gateway takes more callers.

    Attributes:
        delay_ms: moving average of the delay.
        away_until_ms: time until which the gateway asks for no more callers.
        wants_to_leave: whether the gateway would ask for no more callers now.
        permitted_until_ms: time until which it may do so.
        others_have_room: whether callers that are sent away find room elsewhere.
    """

    def __init__(self) -> None:
        """Create the load of an idle gateway."""
        self.delay_ms = 0.0
        self.away_until_ms = -RETURN_MS
        self.wants_to_leave = False
        self.permitted_until_ms = math.inf
        self.others_have_room = True

    def record_delay(self, delay_ms: float, now_ms: float) -> bool:
        """Add one delay to the average.

        Args:
            delay_ms: time for which a task that was ready waited for its turn.
            now_ms: the current time.

        Returns:
            Whether the gateway asks for no more callers from now on.
        """
        counted_ms = min(delay_ms, MAX_DELAY_MS)
        self.delay_ms += (counted_ms - self.delay_ms) * SMOOTHING
        has_returned = now_ms >= self.away_until_ms + RETURN_MS
        self.wants_to_leave = has_returned and self.delay_ms >= OVERLOAD_DELAY_MS
        if not self.wants_to_leave or now_ms > self.permitted_until_ms:
            return False
        self.away_until_ms = now_ms + AWAY_MS
        self.wants_to_leave = False
        return True

    def apply_fleet_state(self, state: FleetState, now_ms: float) -> None:
        """Record what has been decided for the whole fleet."""
        self.others_have_room = state.others_have_room
        self.permitted_until_ms = now_ms + PERMISSION_MS if state.may_leave else 0

    def accepts_callers(self, now_ms: float) -> bool:
        """Return whether a load balancer may send new callers."""
        return now_ms >= self.away_until_ms

    def sends_callers_away(self, now_ms: float) -> bool:
        """Return whether callers should open their next connection elsewhere."""
        return not self.accepts_callers(now_ms) and not self.is_relaxed

    @property
    def is_relaxed(self) -> bool:
        """Return whether the gateway is far from overloaded."""
        return self.delay_ms <= RELAXED_DELAY_MS

    @property
    def expected_wait_ms(self) -> float:
        """Return the expected time for which a new call waits for its turns."""
        return self.delay_ms * TURNS_PER_CALL
