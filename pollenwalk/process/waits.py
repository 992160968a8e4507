"""What a process waits for before it can serve, and for whom."""

from collections.abc import Iterable

from aioprometheus import Gauge
from loguru import logger

from pollenwalk.process.clock import Clock


class Waits:
    """The present waits of a process, by what is awaited.

    Each change is logged, and a gauge shows how many processes are awaited.

    Attributes:
        awaited: the names of the awaited processes, by what is awaited from them.
        since_ms: when each wait began.
    """

    def __init__(self, clock: Clock, gauge: Gauge) -> None:
        """Start without waits."""
        self.clock = clock
        self.gauge = gauge
        self.awaited: dict[str, list[str]] = {}
        self.since_ms: dict[str, float] = {}

    def update(self, what: str, names: Iterable[str], reason: str = '') -> None:
        """Note who is awaited; log it if that has changed.

        Args:
            what: what is awaited.
            names: the processes it is awaited from; none if the wait has ended.
            reason: why it is awaited.
        """
        awaited = sorted(names)
        if awaited == self.awaited.get(what, []):
            return
        self.gauge.set({'what': what}, len(awaited))
        if not awaited:
            self.end(what)
            return
        self.since_ms.setdefault(what, self.clock.now_ms())
        self.awaited[what] = awaited
        logger.info('waiting', what=what, awaited=awaited, reason=reason)

    def end(self, what: str) -> None:
        """Note that something is not awaited any more."""
        self.awaited.pop(what)
        waited_ms = self.clock.now_ms() - self.since_ms.pop(what)
        logger.info('waiting_ended', what=what, waited_ms=round(waited_ms))
