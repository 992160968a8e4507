"""An index of turns by id, from which unused turns expire."""

from collections import OrderedDict
from collections.abc import Iterator
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
    """Turns in the order of their last use, each with the time until which it is kept.

    That time only ever moves later, and a turn is kept at least as long as each turn
    here that continues it.

    Attributes:
        records: by turn id, the least recently used first.
        size_bytes: total size of all inputs and outputs.
        kept_until_ms: time until which each turn is kept, by turn id.
        raised_ms: retentions of turns that are needed for longer than their records
            say, by turn id.
    """

    def __init__(self, clock: Clock, max_bytes: int | None = None) -> None:
        """Start empty.

        Args:
            clock: the clock that times are measured on.
            max_bytes: size of inputs and outputs above which the least
                recently used turns are evicted; None for no limit.
        """
        self.clock = clock
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self.records: OrderedDict[str, Turn] = OrderedDict()
        self.kept_until_ms: dict[str, float] = {}
        self.raised_ms: dict[str, float] = {}

    def put(self, record: Turn) -> bool:
        """Add a record and mark it and its chain as just used.

        Returns:
            Whether the record was not in the index yet.
        """
        is_new = record.turn not in self.records
        if is_new:
            self.records[record.turn] = record
            self.size_bytes += record.size_bytes
        self.use_chain(record.turn, record.retention_ms)
        self.evict()
        return is_new

    def use_chain(self, turn: str, retention_ms: float = 0) -> UsedChain[Turn]:
        """Return a turn and its predecessors, and mark them as just used.

        Args:
            turn: id of the turn.
            retention_ms: how long they are needed from now on, if that is longer than
                their own retention.
        """
        found = list(self.mark_used(turn, retention_ms, self.clock.now_ms()))
        missing = found[-1].previous if found else turn
        found.reverse()
        return UsedChain(found, missing)

    def keep(self, turns: list[str], retention_ms: float = 0) -> list[str]:
        """Mark turns and their predecessors as just used.

        Args:
            turns: ids of the turns.
            retention_ms: see `use_chain`.

        Returns:
            The ids of those turns that are not in the index.
        """
        now_ms = self.clock.now_ms()
        listed = set(turns)
        for turn in turns:
            for record in self.mark_used(turn, retention_ms, now_ms):
                # A predecessor that is listed itself is marked in its own turn.
                if record.previous in listed:
                    break
        return [one for one in turns if one not in self.records]

    def mark_used(
        self, turn: str, retention_ms: float, now_ms: float
    ) -> Iterator[Turn]:
        """Mark a turn and its predecessors as used at a time, and yield each."""
        until_ms = now_ms + expiry_delay_ms(retention_ms)
        while turn in self.records:
            record = self.records[turn]
            known_ms = self.retention_of(record)
            if known_ms < retention_ms:
                self.raised_ms[turn] = retention_ms
            elif known_ms > retention_ms:
                retention_ms = known_ms
                until_ms = now_ms + expiry_delay_ms(retention_ms)
            if self.kept_until_ms.get(turn, 0) < until_ms:
                self.kept_until_ms[turn] = until_ms
            self.records.move_to_end(turn)
            yield record
            turn = record.previous

    def retention_of(self, record: Turn) -> float:
        """Return how long a turn is kept after its last use, in ms."""
        return self.raised_ms.get(record.turn, record.retention_ms)

    def evict(self) -> None:
        """Remove the least recently used turns while the index is too large."""
        while self.max_bytes is not None and self.size_bytes > self.max_bytes:
            self.remove(next(iter(self.records)))

    def expire(self) -> list[Turn]:
        """Remove the turns that need not be kept any more and return them."""
        now_ms = self.clock.now_ms()
        due = {
            turn: until_ms
            for turn, until_ms in self.kept_until_ms.items()
            if until_ms < now_ms
        }
        if not due:
            return []
        # A turn that is due is kept if one that is not due continues it.
        for record in self.records.values():
            if record.previous in due and record.turn not in due:
                self.extend_predecessors(record)
        expired = [
            self.records[turn] for turn in due if self.kept_until_ms[turn] < now_ms
        ]
        for record in expired:
            self.remove(record.turn)
        return expired

    def inherit(self) -> None:
        """Keep each turn as long as those that continue it.

        It already is, unless one of them was added before the turn itself.
        """
        for record in self.records.values():
            self.extend_predecessors(record)

    def extend_predecessors(self, record: Turn) -> None:
        """Keep the predecessors of a turn as long as the turn itself."""
        while self.extend_previous(record):
            record = self.records[record.previous]

    def extend_previous(self, record: Turn) -> bool:
        """Keep the predecessor of a turn as long as the turn itself.

        Returns:
            Whether the predecessor is here and would have been kept for less.
        """
        previous = self.records.get(record.previous)
        if previous is None:
            return False
        until_ms = self.kept_until_ms[record.turn]
        needed_ms = self.retention_of(record)
        is_later = until_ms > self.kept_until_ms[previous.turn]
        is_longer = needed_ms > self.retention_of(previous)
        if is_later:
            self.kept_until_ms[previous.turn] = until_ms
        if is_longer:
            self.raised_ms[previous.turn] = needed_ms
        return is_later or is_longer

    def remove(self, turn: str) -> None:
        """Remove a turn."""
        self.size_bytes -= self.records.pop(turn).size_bytes
        self.kept_until_ms.pop(turn)
        self.raised_ms.pop(turn, None)


def expiry_delay_ms(retention_ms: float) -> float:
    """Return how long after its last use a record expires, in ms."""
    return retention_ms * RETENTION_FACTOR + RETENTION_MARGIN_MS


def build_prompt(chain: list[TurnRecord], new_input: bytes) -> bytes:
    """Build a prompt: the inputs and outputs of a chain, then the new input."""
    parts = [part for record in chain for part in (record.input, record.output)]
    return b''.join((*parts, new_input))
