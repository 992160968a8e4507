"""Tokens of a running call, kept so that followers can join at any offset."""

import asyncio
from collections.abc import AsyncIterator

from pollenwalk.connection.wire import Tokens


class TokenStream:
    """An append-only list of tokens with any number of followers."""

    def __init__(self) -> None:
        """Start empty and open."""
        self.texts: list[str] = []
        self.attempt = 0
        self.ended = False
        self.followers = 0
        self.changed = asyncio.Event()

    def append(self, tokens: Tokens) -> None:
        """Add tokens; what overlaps with known ones is skipped."""
        known = len(self.texts) - tokens.offset
        if known < 0:
            return
        new_texts = tokens.texts[known:]
        if new_texts:
            self.texts.extend(new_texts)
            self.wake_followers()

    def end(self) -> None:
        """Tell the followers that nothing more comes."""
        self.ended = True
        self.wake_followers()

    def restart(self) -> None:
        """Begin again for a new attempt whose tokens may differ."""
        if self.texts:
            self.texts = []
            self.attempt += 1

    def wake_followers(self) -> None:
        """Wake all followers."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def follow(self, offset: int) -> AsyncIterator[Tokens]:
        """Give the tokens from an offset on, as they come.

        After a new attempt the offset goes back to 0: what the follower has
        is then replaced by what comes.
        """
        self.followers += 1
        attempt = self.attempt
        try:
            while True:
                if attempt != self.attempt:
                    attempt = self.attempt
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
