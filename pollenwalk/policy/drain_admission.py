"""Which requests a gateway still takes after it was told to stop.

Answers the load of a planned stop in calm: most callers have gone to other gateways,
but some still send on connections that were idle when the stop began. Whatever still
runs at the end of the grace period is cut, so a request that may not end before then is
refused while it has not run; any other gateway can serve it at once.

At first a load balancer still sends new callers. Then a refused caller may come back
here, so requests are taken that will very probably end. Later it reaches another
gateway, so only those are taken that end in any case.
"""

from typing import NamedTuple

# A request may take this many times as long as one of its route does on average.
LONGEST_RUN_FACTOR = 5.0
# Time from the stop signal until the load balancer sends no new callers: it checks
# readiness once a second and removes a gateway after two failed checks.
BALANCER_REMOVAL_MS = 2500.0


class PlannedStop(NamedTuple):
    """The planned stop of a gateway.

    Attributes:
        began_ms: when the gateway was told to stop.
        cut_at_ms: when requests in progress are cut.
    """

    began_ms: float
    cut_at_ms: float

    def left_ms(self, now_ms: float) -> float:
        """Return the time until requests in progress are cut."""
        return self.cut_at_ms - now_ms

    def may_finish(self, now_ms: float, allowed_ms: float, expected_ms: float) -> bool:
        """Return whether a request is to be taken, as it ends before the gateway stops.

        Args:
            now_ms: the present time.
            allowed_ms: the longest time that the request may take: until its caller's
                deadline or its route's timeout.
            expected_ms: how long one of its route takes on average, any wait included.
        """
        longest_ms = allowed_ms
        if now_ms - self.began_ms < BALANCER_REMOVAL_MS:
            longest_ms = min(allowed_ms, expected_ms * LONGEST_RUN_FACTOR)
        return longest_ms <= self.left_ms(now_ms)
