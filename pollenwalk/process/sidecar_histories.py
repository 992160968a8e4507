"""Program histories cached at the sidecar, so that a dispatch sends only the delta."""

from pollenwalk.connection.call_messages import Answer, Dispatch, HistoryItem
from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.program.history import EMPTY_DIGEST, History, model_history_items

MAX_PROGRAMS = 4096


class SidecarHistories:
    """An LRU cache of program histories.

    Holds those of the programs whose prompt prefix the engine may have cached.

    Attributes:
        histories: by program id, the least recently used one first.
    """

    def __init__(self) -> None:
        """Create an empty cache."""
        self.histories: dict[str, History] = {}

    def merge(self, message: Dispatch) -> list[HistoryItem] | None:
        """Append a dispatch's delta to the cached history of its program.

        If that fails, the program's history is dropped from the cache.

        Returns:
            The whole history, or None if the cache does not have the history
            that the delta is based on.

        Raises:
            Refusal: the result differs from the owner's history.
        """
        history = self.histories.pop(message.program, None)
        if message.base == EMPTY_DIGEST:
            history = History()
        if history is None or message.base not in history.digests:
            return None
        if history.digest != message.base:
            # The owner never recorded a call whose answer was lost on the way;
            # drop what was cached of it.
            history = self.truncate(history, message.base)
        history.extend(message.delta)
        if history.digest != message.digest:
            raise Refusal(
                RefusalCode.PROTOCOL,
                'program history does not match the digest in the dispatch',
            )
        self.histories[message.program] = history
        self.evict_excess()
        return list(history.items)

    def truncate(self, history: History, digest: str) -> History:
        """Return a copy of the history that ends at `digest`."""
        position = history.digests.index(digest)
        shorter = History()
        shorter.extend(history.items[:position])
        return shorter

    def append_turn(self, message: Dispatch, answer: Answer) -> None:
        """Append the items of a finished call, just as the owner will do.

        Does nothing unless the cached history is the one the call was based on.
        """
        history = self.histories.get(message.program)
        if history is not None and history.digest == message.digest:
            history.extend(model_history_items(message.argument, answer))

    def drop(self, program: str) -> None:
        """Drop the history of a program."""
        self.histories.pop(program, None)

    def evict_excess(self) -> None:
        """Evict the least recently used histories above MAX_PROGRAMS."""
        while len(self.histories) > MAX_PROGRAMS:
            self.histories.pop(next(iter(self.histories)))
