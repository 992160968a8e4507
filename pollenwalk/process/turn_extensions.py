"""Turns that a keeper keeps for longer than their records say, also after a restart.

A turn is needed for as long as those that continue it, which may be at other keepers and
have a longer retention. So a longer retention is written to disk, once for each turn.
"""

from collections.abc import Iterable, Iterator

from pollenwalk.process.stored_turns import StoredTurns
from pollenwalk.program.turns import ExtendTurns, RaiseRetention

# Turns in one message, and in one record on disk.
MAX_EXTENDED_TURNS = 1000


class TurnExtensions:
    """The longer retentions of one keeper's turns."""

    def __init__(self, turns: StoredTurns) -> None:
        """Create the extensions of some turns; nothing has been read from the disk."""
        self.turns = turns

    def unsaved(self, message: ExtendTurns) -> ExtendTurns | None:
        """Return what must be written to disk of an extension; None if nothing."""
        turns = self.with_shorter_retention(message)
        return message._replace(turns=turns) if turns else None

    def with_shorter_retention(self, message: ExtendTurns) -> list[str]:
        """Return those turns of an extension for which less is on disk."""
        entries = self.turns.entries_of(message.turns)
        return [one.turn for one in entries if one.retention_ms < message.retention_ms]

    def note_saved(self, message: ExtendTurns) -> None:
        """Note that an extension is on disk."""
        records = self.turns.index.records
        for turn in self.with_shorter_retention(message):
            saved = records[turn]._replace(retention_ms=message.retention_ms)
            records[turn] = saved

    def restore(self, messages: Iterable[ExtendTurns]) -> None:
        """Apply extensions that have been read from the disk, after all turns."""
        for message in messages:
            self.turns.index.keep(message.turns, message.retention_ms)
            self.note_saved(message)
        self.turns.index.inherit()

    def raised(self, message: RaiseRetention) -> Iterator[ExtendTurns]:
        """Yield the extensions by which a raised retention holds for all turns here."""
        retention_of = self.turns.index.retention_of
        turns = [
            entry.turn
            for entry in self.turns.entries()
            if message.former_ms <= retention_of(entry) < message.retention_ms
        ]
        yield from in_parts(turns, message.retention_ms)

    def present(self, turns: Iterable[str]) -> Iterator[ExtendTurns]:
        """Yield the extensions that say for how long turns are needed by now."""
        retention_of = self.turns.index.retention_of
        by_retention: dict[float, list[str]] = {}
        for entry in self.turns.entries_of(turns):
            by_retention.setdefault(retention_of(entry), []).append(entry.turn)
        for retention_ms, needed in by_retention.items():
            yield from in_parts(needed, retention_ms)

    def needed(self, messages: Iterable[ExtendTurns]) -> Iterator[ExtendTurns]:
        """Yield what is still needed of extensions that are on disk."""
        for message in messages:
            turns = [turn for turn in message.turns if turn in self.turns]
            if turns:
                yield message._replace(turns=turns)


def in_parts(turns: list[str], retention_ms: float) -> Iterator[ExtendTurns]:
    """Yield extensions of turns that fit a message each."""
    for start in range(0, len(turns), MAX_EXTENDED_TURNS):
        yield ExtendTurns(turns[start : start + MAX_EXTENDED_TURNS], retention_ms)
