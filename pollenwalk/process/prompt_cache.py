"""Which parts of prompts the hosts are believed to have cached.

A host caches the parts that it has read, within its memory, and evicts the least
recently used ones. The table holds what this gateway's own calls left there. What
other gateways and the generated tokens take of the memory is unknown, so it is an
upper estimate.
"""

from collections.abc import Sequence

from pollenwalk.policy.host_choice import CachedPart

# Parts in the tables of all hosts. About 150 bytes each, so 2.5 MB; 50 hosts of
# 98,000 tokens hold 12,000 parts of 400 tokens.
MAX_ENTRIES = 16_384
# Memory of a host whose upstream declares none, as of hosts that run no model.
DEFAULT_MEMORY_TOKENS = 65_536


class HostParts:
    """The parts that one start of a host is believed to have cached.

    Attributes:
        tokens: size of each part in tokens by its key, least recently used first.
        total_tokens: sum of the sizes.
    """

    def __init__(self) -> None:
        """Create the table of a host that has cached nothing."""
        self.tokens: dict[int, int] = {}
        self.total_tokens = 0

    def prefix_tokens(self, parts: Sequence[CachedPart]) -> int:
        """Return the tokens of the longest cached beginning of a prompt.

        A part that has grown since, as a session does, ends it.
        """
        found = 0
        known = self.tokens
        for key, tokens in parts:
            cached = known.get(key, 0)
            if cached < tokens:
                return found + cached
            found += tokens
        return found

    def use(self, part: CachedPart) -> None:
        """Make a part the most recently used one."""
        self.total_tokens += part.tokens - self.tokens.pop(part.key, 0)
        self.tokens[part.key] = part.tokens

    def evict(self) -> None:
        """Remove the least recently used part."""
        self.total_tokens -= self.tokens.pop(next(iter(self.tokens)))


class PromptCache:
    """Keeps the tables of all hosts within their bounds.

    Attributes:
        hosts: the tables with entries, the one least recently added to first.
        entries: number of parts in them.
        max_entries: bound on `entries`.
    """

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        """Create an empty cache table."""
        self.hosts: dict[HostParts, None] = {}
        self.entries = 0
        self.max_entries = max_entries

    def record(
        self, host: HostParts, parts: Sequence[CachedPart], memory_tokens: int
    ) -> None:
        """Record that a host has read a prompt.

        Args:
            host: the table of the host.
            parts: the prompt's parts in order.
            memory_tokens: tokens that fit into the host's memory; 0 if not declared.
        """
        memory_tokens = memory_tokens or DEFAULT_MEMORY_TOKENS
        if sum(part.tokens for part in parts) > memory_tokens:
            return
        before = len(host.tokens)
        # The last part is useless without those before it, so it is evicted first.
        for part in reversed(parts):
            host.use(part)
        while host.total_tokens > memory_tokens:
            host.evict()
        self.entries += len(host.tokens) - before
        self.hosts.pop(host, None)
        if host.tokens:
            self.hosts[host] = None
        while self.entries > self.max_entries:
            self.evict()

    def evict(self) -> None:
        """Remove a part of the host that was least recently added to.

        That host may have left, or have started again with another table.
        """
        host = next(iter(self.hosts))
        host.evict()
        self.entries -= 1
        if not host.tokens:
            self.hosts.pop(host)
