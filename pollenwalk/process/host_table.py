"""The upstream hosts that are alive, and what is believed of each.

A host is listed in the store under its id. An entry that goes while the
store is in trouble may only have lapsed, so it is kept for as long as a
living host takes to register again.
"""

from collections.abc import Iterator

from loguru import logger

from pollenwalk.connection.hosts import UpstreamHost
from pollenwalk.errors import MalformedObject
from pollenwalk.platform.documents import HOSTS_PREFIX, decode_host
from pollenwalk.process.clock import Clock
from pollenwalk.process.store import StoredObject

# Living hosts are listed again about two seconds after the store is back.
LISTED_AGAIN_MS = 2200.0
# How long after the store was last silent an entry may still lapse.
STORE_UNSETTLED_MS = 4000.0
# The weight of a new service time in the running mean.
SMOOTHING = 0.1
# How long a host that failed is passed over, growing with each failure in a
# row up to the second figure: a crashed process is back within seconds.
FIRST_SUSPICION_MS = 300.0
LAST_SUSPICION_MS = 4000.0
# More than lie between the two.
MOST_DOUBLINGS = 4
# Reported load of other gateways is trusted for about one service time.
REPORT_TRUST_MS = 400.0


class HostState:
    """What one gateway believes of one start of a host.

    Attributes:
        registration: as the host registered itself.
        in_flight: calls of this gateway there.
        other_calls: calls of others there, at the last report.
        reported_ms: time of that report; None before the first.
        failures: in a row.
        suspected_until_ms: while it is suspected.
        removal_due_ms: when an entry that went is to be taken as gone.
    """

    def __init__(self, registration: UpstreamHost) -> None:
        """Believe the best of a new host."""
        self.registration = registration
        self.in_flight = 0
        self.other_calls = 0
        self.reported_ms: float | None = None
        self.failures = 0
        self.suspected_until_ms = 0.0
        self.removal_due_ms: float | None = None

    def record_load(self, load: tuple[int, int, int], now_ms: float) -> None:
        """Take a load that the host told with an answer."""
        running, waiting, _ = load
        self.other_calls = max(running + waiting - self.in_flight, 0)
        self.reported_ms = now_ms

    def load(self, now_ms: float) -> float:
        """Estimate the calls at the host."""
        age_ms = self.report_age_ms(now_ms)
        if age_ms is None:
            return self.in_flight
        trust = max(0.0, 1 - age_ms / (2 * REPORT_TRUST_MS))
        return self.in_flight + self.other_calls * trust

    def report_age_ms(self, now_ms: float) -> float | None:
        """Give the age of the last report; None before the first."""
        return None if self.reported_ms is None else now_ms - self.reported_ms

    def record_failure(self, now_ms: float) -> None:
        """Pass the host over for a while."""
        self.failures += 1
        doublings = min(self.failures - 1, MOST_DOUBLINGS)
        pause_ms = FIRST_SUSPICION_MS * 2**doublings
        self.suspected_until_ms = now_ms + min(pause_ms, LAST_SUSPICION_MS)

    def record_success(self) -> None:
        """Trust the host again."""
        self.failures = 0
        self.suspected_until_ms = 0.0


class HostTable:
    """All hosts, by id."""

    def __init__(self, clock: Clock) -> None:
        """Start with none."""
        self.clock = clock
        self.states: dict[str, HostState] = {}
        self.loaded = False
        self.store_unavailable_since_ms: float | None = None
        self.store_recovered_ms: float | None = None

    def apply_change(self, stored: StoredObject) -> None:
        """Take a change of one host's entry."""
        name = stored.key.removeprefix(HOSTS_PREFIX)
        if not stored.body:
            self.entry_deleted(name, stored.version)
            return
        try:
            registration = decode_host(stored.key, stored.body)
        except MalformedObject as error:
            logger.warning('upstream_host_unreadable', host=name, reason=error.message)
            return
        self.register(registration, stored.version)

    def register(self, registration: UpstreamHost, version: int) -> None:
        """Add a host, or change what it says of itself."""
        state = self.states.get(registration.id)
        if state is None or state.registration.started_ms != registration.started_ms:
            state = HostState(registration)
            self.states[registration.id] = state
        state.registration = registration
        state.removal_due_ms = None
        logger.info(
            'upstream_host',
            host=registration.id,
            upstream=registration.upstream,
            leaving=registration.leaving,
            version=version,
        )

    def entry_deleted(self, name: str, version: int) -> None:
        """Drop a host, at once or when it had time to register again."""
        state = self.states.get(name)
        if state is None:
            return
        grace_ms = LISTED_AGAIN_MS if self.entries_may_have_lapsed() else 0
        state.removal_due_ms = self.clock.now_ms() + grace_ms
        logger.info(
            'upstream_host_gone',
            host=name,
            version=version,
            grace_ms=grace_ms,
        )
        self.remove_expired()

    def entries_may_have_lapsed(self) -> bool:
        """Tell whether entries may have lapsed although their hosts live."""
        if self.store_unavailable_since_ms is not None:
            return True
        if self.store_recovered_ms is None:
            return False
        return self.clock.now_ms() - self.store_recovered_ms < STORE_UNSETTLED_MS

    def store_answered(self) -> None:
        """Note an answer of the store."""
        if self.store_unavailable_since_ms is None:
            return
        self.store_unavailable_since_ms = None
        self.store_recovered_ms = self.clock.now_ms()

    def store_failed(self) -> None:
        """Note that the store gave no answer."""
        if self.store_unavailable_since_ms is None:
            self.store_unavailable_since_ms = self.clock.now_ms()

    def remove_expired(self) -> None:
        """Forget the hosts whose time is over."""
        now_ms = self.clock.now_ms()
        over = [
            name
            for name, state in self.states.items()
            if state.removal_due_ms is not None and state.removal_due_ms <= now_ms
        ]
        for name in over:
            self.states.pop(name)

    def available_hosts(self, upstream: str) -> Iterator[HostState]:
        """Give the hosts of an upstream that take new calls."""
        self.remove_expired()
        for state in self.states.values():
            if (
                state.registration.upstream == upstream
                and not state.registration.leaving
            ):
                yield state
