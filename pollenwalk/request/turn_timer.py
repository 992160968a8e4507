"""Measures how long a host takes for one turn, apart from the time of the caller."""

from pollenwalk.policy.turn_times import TurnTime
from pollenwalk.process.clock import Clock
from pollenwalk.request.exchange import Exchange
from pollenwalk.request.gateway_call import Call

# A turn is not measured if forwarding its events took more than this share of its time:
# its caller read slowly, or the keepers answered late.
MAX_FORWARDING_SHARE = 0.25


class TurnTimer:
    """Measures the stream of one turn.

    Attributes:
        first_at_ms: when the first event arrived; None before it.
        last_at_ms: when the last one arrived.
        events: number of events with data.
        forwarding_ms: time that was spent to forward events.
        host_load: calls at the host as a share of its slots, at the first event.
    """

    def __init__(self, clock: Clock) -> None:
        """Start before the first event."""
        self.clock = clock
        self.first_at_ms: float | None = None
        self.last_at_ms = 0.0
        self.events = 0
        self.forwarding_ms = 0.0
        self.host_load = 0.0

    def record_arrival(self, exchange: Exchange) -> None:
        """Record that an event with data has arrived."""
        self.last_at_ms = self.clock.now_ms()
        self.events += 1
        if self.first_at_ms is None:
            self.first_at_ms = self.last_at_ms
            state = exchange.state
            slots = max(state.registration.slots, 1)
            self.host_load = state.load(self.last_at_ms) / slots

    def record_forwarded(self) -> None:
        """Record that the last event has been sent to the caller."""
        self.forwarding_ms += self.clock.now_ms() - self.last_at_ms

    def measure(self, call: Call, host: str, sent_ms: float) -> TurnTime | None:
        """Return the time of the whole turn; None if it says little of the host.

        Args:
            call: the call of the turn.
            host: id of the only host that ran it.
            sent_ms: when it was sent there.
        """
        total_ms = self.last_at_ms - sent_ms
        held = self.forwarding_ms > total_ms * MAX_FORWARDING_SHARE
        if self.first_at_ms is None or held:
            return None
        return TurnTime(
            call.route.name,
            call.upstream,
            host,
            self.first_at_ms - sent_ms,
            total_ms,
            self.events,
            self.host_load,
        )
