"""How long a gateway may rely on the configuration that it knows.

A gateway that is cut off can't hear that a key has been revoked. So its knowledge of
keys is a lease: it holds from the beginning of the last call that showed the newest
version, for less than the time within which a revocation must be in force.
"""

from pollenwalk.process.clock import Clock
from pollenwalk.process.prefix_watcher import PrefixWatcher

# Part of the time within which a revocation must be in force for which keys are
# trusted. The rest covers watches that miss changes for about a second before the store
# ends them.
LEASE_SHARE = 0.7
# A watch lasts at most this part of that time, so that a lease is renewed several times
# before it ends, also after a keeper did not answer.
WATCH_SHARE = 0.12


class ConfigurationLease:
    """The time for which a gateway may rely on its configuration.

    Attributes:
        revocation_ms: time within which a revocation must be in force, also at gateways
            that are cut off; 0 if those may go on with what they know.
        change_delay_ms: longest time until a changed configuration is in force at a
            gateway that is not cut off.
        watcher: follows the configuration; None before the start.
    """

    def __init__(
        self, clock: Clock, revocation_ms: float, change_delay_ms: float
    ) -> None:
        """Create a lease that does not hold yet."""
        self.clock = clock
        self.revocation_ms = revocation_ms
        self.change_delay_ms = change_delay_ms
        self.watcher: PrefixWatcher | None = None

    def watch_ms(self, longest_ms: float) -> float:
        """Return the longest duration of a watch of the configuration.

        Args:
            longest_ms: the longest duration without a lease.
        """
        if not self.revocation_ms:
            return longest_ms
        return min(longest_ms, self.revocation_ms * WATCH_SHARE)

    @property
    def age_ms(self) -> float:
        """Return for how long changes may have been missed; infinite at first."""
        if self.watcher is None or self.watcher.confirmed_at_ms is None:
            return float('inf')
        return self.clock.boot_ms() - self.watcher.confirmed_at_ms

    @property
    def holds(self) -> bool:
        """Return whether calls that need a key may be served."""
        return not self.revocation_ms or self.age_ms < self.revocation_ms * LEASE_SHARE

    @property
    def is_recent(self) -> bool:
        """Return whether a key that is unknown here is unknown everywhere.

        An older configuration may lack a key that has been added since.
        """
        return self.holds and self.age_ms < self.change_delay_ms
