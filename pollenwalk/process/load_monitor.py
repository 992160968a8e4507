"""Measures how well a gateway keeps up with its own load.

All requests take turns on one event loop. When the gateway's processor is the
bottleneck, whatever is ready waits there, however idle the upstream hosts are.
"""

import resource
from collections.abc import Callable

from loguru import logger

from pollenwalk.policy.own_load import OwnLoad
from pollenwalk.process.clock import MS_PER_SECOND, Clock
from pollenwalk.process.gateway_metrics import GatewayMetrics

# Interval at which the delay of the event loop is measured, and while it is on time.
PROBE_INTERVAL_MS = 50.0
IDLE_PROBE_INTERVAL_MS = 200.0
# Average delay below which the loop counts as being on time.
ON_TIME_DELAY_MS = 1.0
# Interval of the log lines.
LOG_INTERVAL_MS = 1000.0
KIB_PER_MIB = 1024


class LoadMonitor:
    """Measures the delay of the event loop by a timer.

    Attributes:
        own_load: decides from the delay whether the gateway takes more callers.
        in_progress: returns the number of requests in progress, for the log.
        connections: returns the number of callers' connections, for the log.
        longest_ms: the longest delay since the last log line.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: GatewayMetrics,
        own_load: OwnLoad,
        in_progress: Callable[[], int],
        connections: Callable[[], int],
    ) -> None:
        """Create a monitor that has measured nothing yet."""
        self.clock = clock
        self.metrics = metrics
        self.own_load = own_load
        self.in_progress = in_progress
        self.connections = connections
        self.longest_ms = 0.0

    async def run(self) -> None:
        """Measure at regular intervals, and log what was found."""
        logged_at_ms = self.clock.now_ms()
        while True:
            started_ms = self.clock.now_ms()
            interval_ms = self.probe_interval_ms
            await self.clock.sleep_ms(interval_ms)
            now_ms = self.clock.now_ms()
            self.record_delay(max(now_ms - started_ms - interval_ms, 0))
            if now_ms - logged_at_ms >= LOG_INTERVAL_MS:
                logged_at_ms = now_ms
                self.log()

    @property
    def probe_interval_ms(self) -> float:
        """Return the time until the next measurement."""
        is_on_time = self.own_load.delay_ms < ON_TIME_DELAY_MS
        return IDLE_PROBE_INTERVAL_MS if is_on_time else PROBE_INTERVAL_MS

    def record_delay(self, delay_ms: float) -> None:
        """Record one delay of the event loop."""
        self.longest_ms = max(self.longest_ms, delay_ms)
        self.metrics.loop_delay_seconds.observe({}, delay_ms / MS_PER_SECOND)
        if self.own_load.record_delay(delay_ms, self.clock.now_ms()):
            logger.warning(
                'overloaded',
                delay_ms=round(self.own_load.delay_ms, 1),
                in_progress=self.in_progress(),
                connections=self.connections(),
            )

    def log(self) -> None:
        """Log the load since the last line."""
        logger.info(
            'load',
            delay_ms=round(self.own_load.delay_ms, 1),
            longest_delay_ms=round(self.longest_ms, 1),
            accepts_callers=self.own_load.accepts_callers(self.clock.now_ms()),
            in_progress=self.in_progress(),
            connections=self.connections(),
            peak_memory_mib=peak_memory_mib(),
        )
        self.longest_ms = 0.0


def peak_memory_mib() -> int:
    """Return the largest resident size of this process so far, in MiB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // KIB_PER_MIB
