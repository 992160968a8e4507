"""Histories kept beside the engine, so that a turn sends only what is new."""

from pollenwalk.connection.wire import Answer, Dispatch, HistoryItem
from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.program.history import ROOT, History, chat_entries

MAX_PROGRAMS = 4096


class SidecarHistories:
    """The histories of the programs whose prefix the engine may hold."""

    def __init__(self) -> None:
        """Start empty."""
        self.histories: dict[str, History] = {}

    def merge(self, message: Dispatch) -> list[HistoryItem] | None:
        """Join a dispatch's delta to what is here.

        Returns:
            The whole history; None when the base of the delta is not here.

        Raises:
            Refusal: the joined history is not the one the home has.
        """
        history = self.histories.pop(message.program, None)
        if message.base == ROOT:
            history = History()
        if history is None or message.base not in history.digests:
            return None
        if history.digest != message.base:
            # The home never recorded what this sidecar kept of a lost call.
            history = self.truncate(history, message.base)
        history.extend(message.delta)
        if history.digest != message.digest:
            raise Refusal(
                RefusalCode.PROTOCOL,
                'the history does not match its digest',
            )
        self.histories[message.program] = history
        self.evict_excess()
        return list(history.entries)

    def truncate(self, history: History, digest: str) -> History:
        """Give the history up to a digest."""
        position = history.digests.index(digest)
        shorter = History()
        shorter.extend(history.entries[:position])
        return shorter

    def append_turn(self, message: Dispatch, answer: Answer) -> None:
        """Add what an ended call adds, as the home will."""
        history = self.histories.get(message.program)
        if history is not None and history.digest == message.digest:
            history.extend(chat_entries(message.argument, answer))

    def drop(self, program: str) -> None:
        """Forget a program."""
        self.histories.pop(program, None)

    def evict_excess(self) -> None:
        """Forget the programs that have not been used for longest."""
        while len(self.histories) > MAX_PROGRAMS:
            self.histories.pop(next(iter(self.histories)))
