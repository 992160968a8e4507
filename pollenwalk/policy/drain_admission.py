"""Which requests a gateway still takes after it was told to stop.

Answers the load of a planned stop in calm: most callers have gone to other gateways,
but some still send on connections that were idle when the stop began. Whatever still
runs at the end of the grace period is cut, so a request that may not end before then is
refused while it has not run; any other gateway can serve it at once.
"""

# A request may take this many times as long as one of its route does on average.
LONGEST_RUN_FACTOR = 5.0


def may_finish(allowed_ms: float, expected_ms: float, left_ms: float) -> bool:
    """Return whether a request can be expected to end before the gateway stops.

    Args:
        allowed_ms: the longest time that the request may take: until its caller's
            deadline or its route's timeout.
        expected_ms: how long one of its route takes on average, any wait included.
        left_ms: time until requests in progress are cut.
    """
    return min(allowed_ms, expected_ms * LONGEST_RUN_FACTOR) <= left_ms
