"""A program's history as a digest chain.

The digest of each item covers all items before it. Two processes that have the
same digest therefore have the same history, and a digest shows if an item of
another program was added by mistake.
"""

import hashlib
import json
from collections.abc import Iterable
from typing import Any

from pollenwalk.connection.call_messages import Answer, HistoryItem

DIGEST_BYTES = 16
EMPTY_DIGEST = ''


def extend_digest(digest: str, item: HistoryItem) -> str:
    """Return the digest of a history that is extended by one item."""
    hasher = hashlib.blake2b(digest.encode(), digest_size=DIGEST_BYTES)
    hasher.update(item.role.encode())
    hasher.update(b'\0')
    hasher.update(item.content.encode())
    return hasher.hexdigest()


def digest_json(value: Any) -> str:
    """Return the digest of a JSON value; the order of its keys has no effect."""
    text = json.dumps(value, sort_keys=True, separators=(',', ':'))
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


class History:
    """The items of one program's history; they are only ever appended.

    Attributes:
        items: all items, the oldest first.
        digests: the digest before each item, then that of the whole history.
    """

    def __init__(self) -> None:
        """Start with an empty history."""
        self.items: list[HistoryItem] = []
        self.digests: list[str] = [EMPTY_DIGEST]

    @property
    def digest(self) -> str:
        """Return the digest of the whole history."""
        return self.digests[-1]

    def extend(self, items: Iterable[HistoryItem]) -> None:
        """Append items."""
        for item in items:
            self.items.append(item)
            self.digests.append(extend_digest(self.digest, item))

    def since(self, digest: str) -> list[HistoryItem] | None:
        """Return the items after a digest; None if `digests` does not have it."""
        try:
            position = self.digests.index(digest)
        except ValueError:
            return None
        return self.items[position:]


def estimate_tokens(text: str) -> int:
    """Estimate the number of tokens of a text by counting its words."""
    return len(text.split())


def model_history_items(argument: dict[str, Any], answer: Answer) -> list[HistoryItem]:
    """Return the history items that a model call adds."""
    return [
        HistoryItem('user', str(argument.get('message', ''))),
        HistoryItem('assistant', str(answer.output.get('text', ''))),
    ]


def service_history_items(
    operation: str,
    argument: dict[str, Any],
    answer: Answer,
) -> list[HistoryItem]:
    """Return the history items that a call to a plain service adds."""
    content = json.dumps(
        {'operation': operation, 'input': argument, 'output': answer.output},
        sort_keys=True,
    )
    return [HistoryItem('tool', content)]
