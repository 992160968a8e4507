"""The time that a turn takes at hosts that are not crowded, learned for each route."""

from collections import deque
from typing import NamedTuple

# The uncrowded time is this quantile of the turns of a span. Some turns find a host
# without others even at a high load, so it hardly rises before all hosts are full; the
# few fastest turns are those with short prompts, and say little of the others.
LOW_QUANTILE = 0.25
# A span lasts at least this long and has at least this many turns.
SPAN_MS = 5000.0
MIN_TURNS = 32
# Turns of a span that are remembered.
MAX_TURNS = 128
# The uncrowded time is the least of this many spans, so that a burst of less than a
# minute does not raise it.
SPANS = 12


class TurnTime(NamedTuple):
    """How long one turn took at a host.

    Attributes:
        route: name of its route.
        upstream: name of its upstream.
        host: id of the host that ran it.
        first_ms: time from the send to the first event.
        total_ms: time from the send to the end of the stream.
        events: number of events, the turn's size.
        host_load: calls at the host when the turn began to be answered, as a share
            of its slots.
    """

    route: str
    upstream: str
    host: str
    first_ms: float
    total_ms: float
    events: int
    host_load: float

    @property
    def pace_ms(self) -> float:
        """Return the mean time between two events."""
        return (self.total_ms - self.first_ms) / max(self.events - 1, 1)


class UncrowdedTime(NamedTuple):
    """Time to the first event, and between two, at a host that is not crowded."""

    first_ms: float
    pace_ms: float

    def expected_ms(self, events: int) -> float:
        """Return the time of a turn with this number of events."""
        return self.first_ms + self.pace_ms * max(events - 1, 0)


class TurnTimes:
    """Learns the uncrowded time of the turns of one route.

    The time to the first event and the pace are learned apart, so that the size of a
    turn, which is known at its end, does not count as load.

    Attributes:
        turns: turns of the present span.
        spans: uncrowded times of the last spans.
    """

    def __init__(self, now_ms: float) -> None:
        """Start without turns."""
        self.began_ms = now_ms
        self.count = 0
        self.turns: list[TurnTime] = []
        self.spans: deque[UncrowdedTime] = deque(maxlen=SPANS)

    def record(self, turn: TurnTime, now_ms: float) -> None:
        """Add a turn that ended just now."""
        if self.count < MAX_TURNS:
            self.turns.append(turn)
        else:
            self.turns[self.count % MAX_TURNS] = turn
        self.count += 1
        if self.count >= MIN_TURNS and now_ms >= self.began_ms + SPAN_MS:
            self.spans.append(low_quantile(self.turns))
            self.began_ms = now_ms
            self.count = 0
            self.turns = []

    def uncrowded(self) -> UncrowdedTime | None:
        """Return the uncrowded time; None until enough turns have ended."""
        known = list(self.spans)
        if not known and self.count >= MIN_TURNS:
            known.append(low_quantile(self.turns))
        if not known:
            return None
        return UncrowdedTime(
            min(one.first_ms for one in known), min(one.pace_ms for one in known)
        )


def low_quantile(turns: list[TurnTime]) -> UncrowdedTime:
    """Return the low quantiles of the times to the first event and of the paces."""
    index = int(len(turns) * LOW_QUANTILE)
    firsts = sorted(turn.first_ms for turn in turns)
    paces = sorted(turn.pace_ms for turn in turns)
    return UncrowdedTime(firsts[index], paces[index])
