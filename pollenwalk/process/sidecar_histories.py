"""Histories kept beside the engine, so that a turn sends only what is new."""

from pollenwalk.connection.wire import Answer, Dispatch, HistoryItem
from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.program.history import EMPTY_DIGEST, History, chat_history_items

MAX_PROGRAMS = 4096


class SidecarHistories:
    """The histories of the programs whose prefix the engine may hold."""

    def __init__(self) -> None:
        """Start empty."""
        self.histories: dict[str, History] = {}

    def join(self, message: Dispatch) -> list[HistoryItem] | None:
        """Join a dispatch's delta to what is here.

        Returns:
            The whole history; None when the base of the delta is not here.

        Raises:
            Refusal: the joined history is not the one the home has.
        """
        history = self.histories.pop(message.program, None)
        if message.base == EMPTY_DIGEST:
            history = History()
        if history is None or message.base not in history.digests:
            return None
        if history.digest != message.base:
            # The home never recorded what this sidecar kept of a lost call.
            history = self.cut(history, message.base)
        history.extend(message.delta)
        if history.digest != message.digest:
            raise Refusal(
                RefusalCode.PROTOCOL,
                'the history does not match its digest',
            )
        self.histories[message.program] = history
        self.bound()
        return list(history.items)

    def cut(self, history: History, digest: str) -> History:
        """Give the history up to a digest."""
        position = history.digests.index(digest)
        shorter = History()
        shorter.extend(history.items[:position])
        return shorter

    def extend(self, message: Dispatch, answer: Answer) -> None:
        """Add what an ended call adds, as the home will."""
        history = self.histories.get(message.program)
        if history is not None and history.digest == message.digest:
            history.extend(chat_history_items(message.argument, answer))

    def drop(self, program: str) -> None:
        """Forget a program."""
        self.histories.pop(program, None)

    def bound(self) -> None:
        """Forget the programs that have not been used for longest."""
        while len(self.histories) > MAX_PROGRAMS:
            self.histories.pop(next(iter(self.histories)))
