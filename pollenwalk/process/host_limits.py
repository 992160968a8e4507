"""What a process knows of the limits that hosts have named.

A host that starts again has no limit until it names one, so limits belong to one
start of a host. Of two reports on a host, the one of its later answer holds.
"""

from typing import NamedTuple

from loguru import logger

from pollenwalk.connection.limit_messages import HostStart, LimitNews
from pollenwalk.process.clock import Clock

# How long the end of a limit is remembered, so that late reports of it are ignored.
ENDED_RETENTION_MS = 60_000.0
# How long a limit is remembered of which no answer has told again.
LIMIT_RETENTION_MS = 600_000.0


class KnownLimit(NamedTuple):
    """The limit of one host.

    Attributes:
        per_second: requests a second from all gateways together; None if the
            limit has ended.
        learned_at_ms: time of the host's answer, on this process's clock.
        revision: the process's revision at the last change of `per_second`.
    """

    per_second: float | None
    learned_at_ms: float
    revision: int


class HostLimits:
    """The limits of all hosts that have named one.

    Attributes:
        by_start: the limits, by the start of the host.
        revision: number of changes so far.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty table."""
        self.clock = clock
        self.by_start: dict[HostStart, KnownLimit] = {}
        self.revision = 0

    def limit_of(self, host: HostStart) -> float | None:
        """Return a host's limit in requests a second; None if it has none."""
        known = self.by_start.get(host)
        return None if known is None else known.per_second

    def learn(self, news: LimitNews, source: str) -> bool:
        """Record a report on a host's limit, unless a later one is known.

        Args:
            news: the report.
            source: where it came from, for the log.

        Returns:
            Whether the limit has changed.
        """
        known = self.by_start.get(news.host)
        learned_at_ms = self.clock.now_ms() - max(news.age_ms, 0)
        if known is None and news.per_second is None:
            return False
        if known is not None and learned_at_ms <= known.learned_at_ms:
            return False
        former = None if known is None else known.per_second
        changed = former != news.per_second
        if changed:
            self.revision += 1
            logger.info(
                'host_limit',
                host=news.host.id,
                limit=news.per_second,
                former=former,
                age_ms=round(news.age_ms),
                source=source,
            )
        revision = self.revision if known is None or changed else known.revision
        self.by_start[news.host] = KnownLimit(news.per_second, learned_at_ms, revision)
        return changed

    def news_of(self, host: HostStart) -> LimitNews | None:
        """Return what is known of a host's limit; None if it never named one."""
        known = self.by_start.get(host)
        if known is None:
            return None
        age_ms = self.clock.now_ms() - known.learned_at_ms
        return LimitNews(host, known.per_second, age_ms)

    def news_since(self, revision: int) -> list[LimitNews]:
        """Return the limits that have changed since a revision."""
        now_ms = self.clock.now_ms()
        return [
            LimitNews(host, known.per_second, now_ms - known.learned_at_ms)
            for host, known in self.by_start.items()
            if known.revision > revision
        ]

    def limited(self) -> list[LimitNews]:
        """Return the hosts that have a limit now."""
        return [news for news in self.news_since(0) if news.per_second is not None]

    def total_per_second(self) -> float:
        """Return the sum of all limits, in requests a second."""
        return sum(news.per_second or 0 for news in self.limited())

    def remove_old(self) -> None:
        """Forget the limits of which no answer has told for long."""
        now_ms = self.clock.now_ms()
        old = [
            host
            for host, known in self.by_start.items()
            if now_ms - known.learned_at_ms > retention_ms(known)
        ]
        for host in old:
            self.by_start.pop(host)


def retention_ms(known: KnownLimit) -> float:
    """Return for how long after the host's answer a limit is remembered."""
    return ENDED_RETENTION_MS if known.per_second is None else LIMIT_RETENTION_MS
