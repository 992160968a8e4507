"""The recent answer times of each route, and after which time a call is unusually slow.

The upstreams of a route are kept apart: a call of a slow upstream must not look like an
outlier because another upstream answers in time.
"""

import math
from collections import deque

# Answer times that are kept for each route. A change of a route's usual time takes
# effect after about a seventh of them.
MAX_SAMPLES = 128
# Samples below which nothing is known of a route: at least six are above the quantile.
MIN_SAMPLES = 40
# One slow host of ten gets up to a tenth of the calls, so a quantile of 0.9 or above
# would be the time of the slow host.
QUANTILE = 0.85
MEDIAN_QUANTILE = 0.5
# A call is slow only if it takes this many times the median: answers whose times
# differ little are not worth a second attempt.
MEDIAN_FACTOR = 2.0
# Shortest delay; chosen, not measured. Below it, the delay of the event loop of a busy
# gateway would decide (policy/own_load.py).
MIN_DELAY_MS = 20.0
# An answer that took at most this share of the delay shows that not all hosts are slow;
# the delay is twice the median at least, so that half of all answers do. With the whole
# delay, 4 or 5 of 150 calls had a second attempt when all hosts became slow, as the
# quantile rises before the median.
TIMELY_SHARE = 0.5
# Answers after which the delay is computed again, as it sorts all samples.
UPDATE_INTERVAL = 8
# Time without an answer after which the samples of a route are outdated.
MAX_IDLE_MS = 60_000.0
# Routes whose samples are kept; the one without an answer for longest is removed.
MAX_ROUTES = 256

# Names of a route and of one of its upstreams.
RouteKey = tuple[str, str]


class RouteTimes:
    """The recent answer times of one route at one upstream.

    Attributes:
        samples: answer times in ms, the oldest first.
        delay_ms: time after which a call is unusually slow; None if not known.
        answered_at_ms: time of the last answer.
        timely_sent_ms: the latest time at which a call was sent that has been answered
            within TIMELY_SHARE of `delay_ms`.
    """

    def __init__(self) -> None:
        """Create the times of a route that has not been answered yet."""
        self.samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self.recorded = 0
        self.delay_ms: float | None = None
        self.answered_at_ms = 0.0
        self.timely_sent_ms = -math.inf

    def record(self, sent_ms: float, now_ms: float) -> None:
        """Record an answer that is complete now."""
        took_ms = now_ms - sent_ms
        if self.delay_ms is not None and took_ms <= self.delay_ms * TIMELY_SHARE:
            self.timely_sent_ms = max(self.timely_sent_ms, sent_ms)
        self.samples.append(took_ms)
        self.recorded += 1
        self.answered_at_ms = now_ms
        if len(self.samples) >= MIN_SAMPLES and not self.recorded % UPDATE_INTERVAL:
            self.delay_ms = hedge_delay_ms(self.samples)


class AnswerTimes:
    """The recent answer times of all routes.

    Attributes:
        routes: the times by route and upstream, the one answered last at the end.
    """

    def __init__(self) -> None:
        """Create times without any route."""
        self.routes: dict[RouteKey, RouteTimes] = {}

    def record(self, route: RouteKey, sent_ms: float, now_ms: float) -> None:
        """Record that a call was answered completely.

        Args:
            route: the call's route and upstream.
            sent_ms: time at which the attempt that was answered began.
            now_ms: the current time.
        """
        times = self.routes.pop(route, None)
        if times is None or is_outdated(times, now_ms):
            times = RouteTimes()
        self.routes[route] = times
        times.record(sent_ms, now_ms)
        if len(self.routes) > MAX_ROUTES:
            self.routes.pop(next(iter(self.routes)))

    def delay_ms(self, route: RouteKey, now_ms: float) -> float | None:
        """Return the time after which a call is unusually slow; None if not known."""
        times = self.routes.get(route)
        if times is None or is_outdated(times, now_ms):
            return None
        return times.delay_ms

    def is_outlier(self, route: RouteKey, sent_ms: float) -> bool:
        """Return whether a call sent no earlier than `sent_ms` was answered in time.

        If none was, all hosts may be slow, and a second attempt would only add to
        their load.
        """
        times = self.routes.get(route)
        return times is not None and times.timely_sent_ms >= sent_ms


def is_outdated(times: RouteTimes, now_ms: float) -> bool:
    """Return whether a route has not been answered for a long time."""
    return now_ms - times.answered_at_ms > MAX_IDLE_MS


def hedge_delay_ms(samples: deque[float]) -> float:
    """Return the time after which a call is unusually slow, by the answer times."""
    ordered = sorted(samples)
    median_ms = quantile(ordered, MEDIAN_QUANTILE)
    slow_ms = max(quantile(ordered, QUANTILE), median_ms * MEDIAN_FACTOR)
    return max(slow_ms, MIN_DELAY_MS)


def quantile(ordered: list[float], share: float) -> float:
    """Return the smallest sample that at least `share` of all do not exceed."""
    return ordered[max(math.ceil(len(ordered) * share) - 1, 0)]
