"""The tokens of a running call, which followers can read from any offset."""

import asyncio
from collections.abc import AsyncIterator

from pollenwalk.connection.call_messages import Tokens


class TokenStream:
    """A list of tokens that any number of followers read while it grows.

    Attributes:
        texts: the tokens of the current attempt.
        restarts: number of times that a new attempt has discarded tokens.
        ended: whether no more tokens come.
        followers: number of followers that read now.
        changed: set, and replaced by a new event, at each change.
    """

    def __init__(self) -> None:
        """Start without tokens."""
        self.texts: list[str] = []
        self.restarts = 0
        self.ended = False
        self.followers = 0
        self.changed = asyncio.Event()

    def append(self, tokens: Tokens) -> None:
        """Append tokens.

        Tokens that overlap with known ones are skipped; all are ignored if their
        offset leaves a gap.
        """
        known = len(self.texts) - tokens.offset
        if known < 0:
            return
        new_texts = tokens.texts[known:]
        if new_texts:
            self.texts.extend(new_texts)
            self.wake_followers()

    def end(self) -> None:
        """End the stream for all followers."""
        self.ended = True
        self.wake_followers()

    def restart(self) -> None:
        """Discard the tokens, since those of a new attempt may differ.

        Followers start again at offset 0 when the next token arrives.
        """
        if self.texts:
            self.texts = []
            self.restarts += 1

    def wake_followers(self) -> None:
        """Wake the followers to read what has changed."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def follow(self, offset: int) -> AsyncIterator[Tokens]:
        """Yield the tokens from an offset on as they arrive.

        After a new attempt the tokens start at offset 0 again and replace those
        yielded before.
        """
        self.followers += 1
        restarts = self.restarts
        try:
            while True:
                if restarts != self.restarts:
                    restarts = self.restarts
                    offset = 0
                if offset < len(self.texts):
                    new_texts = self.texts[offset:]
                    yield Tokens(offset, new_texts)
                    offset += len(new_texts)
                    continue
                if self.ended:
                    return
                await self.changed.wait()
        finally:
            self.followers -= 1
