"""Turns by their ids, with their chains, for as long as they are used."""

from collections import OrderedDict

from pollenwalk.process.clock import Clock
from pollenwalk.program.turns import Chain, TurnRecord

# A turn is kept longer than promised: clocks and the last use seen by other
# keepers may differ by some seconds.
RETENTION_FACTOR = 1.5
RETENTION_MARGIN_MS = 30_000.0


class TurnIndex:
    """Records in the order of their last use.

    Attributes:
        size_bytes: total size of all inputs and outputs.
    """

    def __init__(self, clock: Clock, max_bytes: int | None = None) -> None:
        """Start empty.

        Args:
            clock: tells the time of the last use.
            max_bytes: beyond which the least recently used turns go; None
                to keep each for its time.
        """
        self.clock = clock
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self.records: OrderedDict[str, TurnRecord] = OrderedDict()
        self.last_used_ms: dict[str, float] = {}

    def put(self, record: TurnRecord) -> bool:
        """Add a record; it and its chain count as used.

        Returns:
            Whether it is new.
        """
        new = record.turn not in self.records
        if new:
            self.records[record.turn] = record
            self.size_bytes += record.size_bytes
        self.chain(record.turn)
        self.evict()
        return new

    def chain(self, turn: str) -> Chain:
        """Give a turn and those before it; all of them count as used."""
        now_ms = self.clock.now_ms()
        found: list[TurnRecord] = []
        missing = turn
        while missing in self.records:
            record = self.records[missing]
            found.append(record)
            self.last_used_ms[missing] = now_ms
            self.records.move_to_end(missing)
            missing = record.previous
        found.reverse()
        return Chain(True, found, missing)

    def evict(self) -> None:
        """Drop the least recently used turns beyond the room."""
        while self.max_bytes is not None and self.size_bytes > self.max_bytes:
            self.drop(next(iter(self.records)))

    def expire(self) -> list[TurnRecord]:
        """Drop the turns whose time is over, and give them."""
        now_ms = self.clock.now_ms()
        over = [
            record
            for record in self.records.values()
            if self.last_used_ms[record.turn] + expiry_delay_ms(record.retention_ms)
            < now_ms
        ]
        for record in over:
            self.drop(record.turn)
        return over

    def drop(self, turn: str) -> None:
        """Forget a turn."""
        self.size_bytes -= self.records.pop(turn).size_bytes
        self.last_used_ms.pop(turn)


def expiry_delay_ms(retention_ms: float) -> float:
    """Give how long a record is really kept."""
    return retention_ms * RETENTION_FACTOR + RETENTION_MARGIN_MS


def build_prompt(chain: list[TurnRecord], new_input: bytes) -> bytes:
    """Put a prompt together: all that came before, then the new input."""
    parts = [part for record in chain for part in (record.input, record.output)]
    return b''.join((*parts, new_input))
