"""An index of turns by id, from which unused turns expire."""

from collections import OrderedDict
from typing import Generic, NamedTuple, Protocol, TypeVar

from pollenwalk.process.clock import Clock
from pollenwalk.program.turns import TurnRecord

# A turn is kept longer than its retention, as the keepers' clocks, and the times
# of last use that they have recorded, may differ by some seconds.
RETENTION_FACTOR = 1.5
RETENTION_MARGIN_MS = 30_000.0


class IndexedTurn(Protocol):
    """What an index needs to know of a turn; see `TurnRecord`."""

    @property
    def turn(self) -> str:
        """Return the id of the turn."""

    @property
    def previous(self) -> str:
        """Return the id of the turn that it continues; empty for none."""

    @property
    def retention_ms(self) -> float:
        """Return how long the turn is kept after its last use."""

    @property
    def size_bytes(self) -> int:
        """Return how many bytes the turn adds to a prompt."""


Turn = TypeVar('Turn', bound=IndexedTurn)


class UsedChain(NamedTuple, Generic[Turn]):
    """A turn and its predecessors, as far as an index has them.

    Attributes:
        turns: the oldest first.
        missing: id of the turn before the first one; empty if there is none.
    """

    turns: list[Turn]
    missing: str


class TurnIndex(Generic[Turn]):
    """Turns in the order of their last use.

    Attributes:
        records: by turn id, the least recently used first.
        size_bytes: total size of all inputs and outputs.
        last_used_ms: time of each turn's last use, by turn id.
    """

    def __init__(self, clock: Clock, max_bytes: int | None = None) -> None:
        """Start empty.

        Args:
            clock: the clock that last uses are measured on.
            max_bytes: size of inputs and outputs above which the least
                recently used turns are evicted; None for no limit.
        """
        self.clock = clock
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self.records: OrderedDict[str, Turn] = OrderedDict()
        self.last_used_ms: dict[str, float] = {}

    def put(self, record: Turn) -> bool:
        """Add a record and mark it and its chain as just used.

        Returns:
            Whether the record was not in the index yet.
        """
        is_new = record.turn not in self.records
        if is_new:
            self.records[record.turn] = record
            self.size_bytes += record.size_bytes
        self.use_chain(record.turn)
        self.evict()
        return is_new

    def use_chain(self, turn: str) -> UsedChain[Turn]:
        """Return a turn and its predecessors, and mark them as just used."""
        now_ms = self.clock.now_ms()
        found: list[Turn] = []
        missing = turn
        while missing in self.records:
            record = self.records[missing]
            found.append(record)
            self.last_used_ms[missing] = now_ms
            self.records.move_to_end(missing)
            missing = record.previous
        found.reverse()
        return UsedChain(found, missing)

    def keep(self, turns: list[str]) -> list[str]:
        """Mark turns as just used; return those that are not in the index."""
        now_ms = self.clock.now_ms()
        missing = [turn for turn in turns if turn not in self.records]
        for turn in turns:
            if turn in self.records:
                self.last_used_ms[turn] = now_ms
                self.records.move_to_end(turn)
        return missing

    def evict(self) -> None:
        """Remove the least recently used turns while the index is too large."""
        while self.max_bytes is not None and self.size_bytes > self.max_bytes:
            self.remove(next(iter(self.records)))

    def expire(self) -> list[Turn]:
        """Remove the turns whose retention has passed and return them."""
        now_ms = self.clock.now_ms()
        expired = [
            record
            for record in self.records.values()
            if self.last_used_ms[record.turn] + expiry_delay_ms(record.retention_ms)
            < now_ms
        ]
        for record in expired:
            self.remove(record.turn)
        return expired

    def remove(self, turn: str) -> None:
        """Remove a turn."""
        self.size_bytes -= self.records.pop(turn).size_bytes
        self.last_used_ms.pop(turn)


def expiry_delay_ms(retention_ms: float) -> float:
    """Return how long after its last use a record expires, in ms."""
    return retention_ms * RETENTION_FACTOR + RETENTION_MARGIN_MS


def build_prompt(chain: list[TurnRecord], new_input: bytes) -> bytes:
    """Build a prompt: the inputs and outputs of a chain, then the new input."""
    parts = [part for record in chain for part in (record.input, record.output)]
    return b''.join((*parts, new_input))
