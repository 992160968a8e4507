"""A program's history as a digest chain.

Each entry's digest covers all entries before it, so two processes that agree
on one digest agree on the whole history and none can be mixed in unseen.
"""

import hashlib
import json
from collections.abc import Iterable
from typing import Any

from pollenwalk.connection.wire import Answer, HistoryItem

DIGEST_BYTES = 16
EMPTY_DIGEST = ''


def extend_digest(digest: str, entry: HistoryItem) -> str:
    """Chain one more entry onto a digest."""
    hasher = hashlib.blake2b(digest.encode(), digest_size=DIGEST_BYTES)
    hasher.update(entry.role.encode())
    hasher.update(b'\0')
    hasher.update(entry.content.encode())
    return hasher.hexdigest()


def digest_json(value: Any) -> str:
    """Digest a JSON value, whatever the order of its keys."""
    text = json.dumps(value, sort_keys=True, separators=(',', ':'))
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


class History:
    """Entries that are only ever appended."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: list[HistoryItem] = []
        self.digests: list[str] = [EMPTY_DIGEST]

    @property
    def digest(self) -> str:
        """Give the digest of the whole history."""
        return self.digests[-1]

    def extend(self, entries: Iterable[HistoryItem]) -> None:
        """Append entries."""
        for entry in entries:
            self.entries.append(entry)
            self.digests.append(extend_digest(self.digest, entry))

    def since(self, digest: str) -> list[HistoryItem] | None:
        """Give what follows a digest; None when it is none of ours."""
        try:
            position = self.digests.index(digest)
        except ValueError:
            return None
        return self.entries[position:]


def estimate_tokens(text: str) -> int:
    """Estimate the tokens of a text by its words."""
    return len(text.split())


def chat_history_items(argument: dict[str, Any], answer: Answer) -> list[HistoryItem]:
    """Give the entries that one model call adds."""
    return [
        HistoryItem('user', str(argument.get('message', ''))),
        HistoryItem('assistant', str(answer.output.get('text', ''))),
    ]


def service_history_items(
    operation: str,
    argument: dict[str, Any],
    answer: Answer,
) -> list[HistoryItem]:
    """Give the entries that one call of a plain service adds."""
    content = json.dumps(
        {'operation': operation, 'input': argument, 'output': answer.output},
        sort_keys=True,
    )
    return [HistoryItem('tool', content)]
