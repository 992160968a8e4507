"""The registered upstream hosts, with their estimated load and failures.

A host registers itself in the store under its id. A registration that
disappears while the store is unavailable, or soon afterwards, may have lapsed
although its host is alive. The host is therefore kept for the time that a live
host needs to register again.
"""

from collections.abc import Iterator

from loguru import logger

from pollenwalk.connection.hosts import UpstreamHost
from pollenwalk.connection.limit_messages import HostStart
from pollenwalk.errors import MalformedObject
from pollenwalk.platform.documents import HOSTS_PREFIX, decode_host
from pollenwalk.policy.host_pace import ReportedPace, expected_slowness
from pollenwalk.policy.silent_hosts import HostSilence
from pollenwalk.process.clock import Clock
from pollenwalk.process.host_limits import HostLimits
from pollenwalk.process.prompt_cache import HostParts
from pollenwalk.process.store import StoredObject
from pollenwalk.process.unreadable_objects import UnreadableObjects

# How long a host is kept whose registration may have lapsed. Live hosts have
# registered again about 2 s after the store recovered.
REREGISTRATION_MS = 2200.0
# Registrations may still lapse this long after the store recovered.
STORE_RECOVERY_MS = 4000.0
# Weight of a new run time in the exponential moving average of a route.
SMOOTHING = 0.1
# Weight of a new wait in the moving average of a host's waits for permits, and the time
# after which the average is forgotten if no keeper has been asked.
WAIT_SMOOTHING = 0.2
WAIT_FADE_MS = 2000.0
# How long a host is suspected after a failure. The time doubles with each
# consecutive failure up to the maximum, as a crashed process restarts within
# seconds.
MIN_SUSPICION_MS = 300.0
MAX_SUSPICION_MS = 4000.0
# Enough doublings to reach the maximum; the bound keeps the power of two from
# overflowing for a host that fails for hours.
MAX_DOUBLINGS = 4
# About one run time of a call. The weight of a load report falls linearly from 1
# to 0 within twice this time.
LOAD_REPORT_TRUST_MS = 400.0
# More versions of an upstream than are replaced while a stream lasts.
MAX_REMOVED_VERSIONS = 16


class RecentMean:
    """The moving average of numbers, which fades while none is added.

    Attributes:
        mean: the average as of the last number.
        updated_at_ms: time of the last number.
    """

    def __init__(self) -> None:
        """Create an average of nothing, which is 0."""
        self.mean = 0.0
        self.updated_at_ms = 0.0

    def add(self, number: float, now_ms: float) -> None:
        """Add a number."""
        former = self.estimate(now_ms)
        self.mean = former + (number - former) * WAIT_SMOOTHING
        self.updated_at_ms = now_ms

    def estimate(self, now_ms: float) -> float:
        """Return the average, less the part that has faded since the last number."""
        age_ms = now_ms - self.updated_at_ms
        return self.mean * max(0.0, 1 - age_ms / WAIT_FADE_MS)


class HostState:
    """The load and failures of one upstream host, since the host's last start.

    Attributes:
        registration: what the host registered about itself.
        in_flight: number of this gateway's calls at the host.
        other_calls: number of other gateways' calls at the host, as of the last
            load report.
        reported_at_ms: time of the last load report; None before the first.
        failures: number of consecutive failures.
        suspected_until_ms: time until which the host is suspected to fail.
        removal_due_at_ms: time at which a host without a registration is removed;
            None for a registered host.
        next_permit_at_ms: time from which a permit for the host was free when a keeper
            was last asked; of no meaning while the host has no limit.
        permit_waits: the waits for permits that keepers have told lately.
        leaving_since_ms: time at which the host was found to leave; None if it does
            not leave, or did so when it was first seen.
        said_leaving: whether the host has said in an answer that it leaves. It then
            leaves whatever its registration says, which may be older.
        cached_parts: the parts of prompts that the host is believed to have cached.
        reported_pace: what the host has last said of its pace; None if nothing.
        run_excess: the shares by which this gateway's calls took longer than usual.
        silence: whether the host answers none of this gateway's requests.
    """

    def __init__(self, registration: UpstreamHost) -> None:
        """Create the state of an idle host that is not suspected."""
        self.registration = registration
        self.in_flight = 0
        self.other_calls = 0
        self.reported_at_ms: float | None = None
        self.failures = 0
        self.suspected_until_ms = 0.0
        self.removal_due_at_ms: float | None = None
        self.next_permit_at_ms = 0.0
        self.permit_waits = RecentMean()
        self.leaving_since_ms: float | None = None
        self.said_leaving = False
        self.cached_parts = HostParts()
        self.reported_pace: ReportedPace | None = None
        self.run_excess = RecentMean()
        self.silence = HostSilence()

    def update(self, registration: UpstreamHost, now_ms: float) -> None:
        """Replace the registration; note the time if the host begins to leave."""
        if self.said_leaving:
            registration = registration._replace(leaving=True)
        if registration.leaving and not self.registration.leaving:
            self.leaving_since_ms = now_ms
        elif not registration.leaving:
            self.leaving_since_ms = None
        self.registration = registration
        self.removal_due_at_ms = None

    def record_leaving(self, now_ms: float) -> bool:
        """Record that the host has said in an answer that it leaves.

        Returns:
            Whether that was not known.
        """
        self.said_leaving = True
        if self.registration.leaving:
            return False
        self.registration = self.registration._replace(leaving=True)
        self.leaving_since_ms = now_ms
        return True

    def record_load(self, load: tuple[int, int, int], now_ms: float) -> None:
        """Record the load that the host reported with an answer.

        Args:
            load: the numbers of running calls, waiting calls and slots.
            now_ms: the current time.
        """
        running, waiting, _ = load
        self.other_calls = max(running + waiting - self.in_flight, 0)
        self.reported_at_ms = now_ms

    def slowness(self, now_ms: float, run_ms: float) -> float:
        """Estimate how long a run takes at the host, as a multiple of the usual time.

        1 if the host has not said anything of its pace.
        """
        if self.reported_pace is None:
            return 1
        excess = self.run_excess
        mean_excess = excess.estimate(now_ms) if excess.mean else 0
        return expected_slowness(self.reported_pace, now_ms, run_ms, mean_excess)

    def load(self, now_ms: float) -> float:
        """Estimate the number of all gateways' calls at the host."""
        age_ms = self.report_age_ms(now_ms)
        if age_ms is None:
            return self.in_flight
        trust = max(0.0, 1 - age_ms / (2 * LOAD_REPORT_TRUST_MS))
        return self.in_flight + self.other_calls * trust

    def report_age_ms(self, now_ms: float) -> float | None:
        """Return the age of the last load report; None before the first."""
        return None if self.reported_at_ms is None else now_ms - self.reported_at_ms

    def is_suspected(self, now_ms: float, repeatable: bool = False) -> bool:
        """Return whether a request should go to another host.

        Args:
            now_ms: the current time.
            repeatable: whether the request may run more than once, so that it may show
                whether a silent host answers again.
        """
        if self.suspected_until_ms > now_ms:
            return True
        return self.silence.spares(repeatable, self.suspected_until_ms, now_ms)

    def record_failure(self, now_ms: float, min_ms: float = MIN_SUSPICION_MS) -> None:
        """Suspect the host for a time that grows with consecutive failures.

        Args:
            now_ms: the current time.
            min_ms: the shortest such time.
        """
        self.failures += 1
        doublings = min(self.failures - 1, MAX_DOUBLINGS)
        suspicion_ms = max(MIN_SUSPICION_MS * 2**doublings, min_ms)
        self.suspected_until_ms = now_ms + min(suspicion_ms, MAX_SUSPICION_MS)

    def record_sign(self, now_ms: float) -> None:
        """Record a byte of an answer; clear the suspicion of a silent host."""
        silent_ms = self.silence.record_sign(now_ms)
        if silent_ms is None:
            return
        self.record_success()
        logger.info(
            'host_answers_again',
            host=self.registration.id,
            upstream=self.registration.upstream,
            silent_ms=round(silent_ms),
        )

    def record_success(self) -> None:
        """Clear the suspicion of the host."""
        self.failures = 0
        self.suspected_until_ms = 0.0


class HostTable:
    """The upstream hosts that one gateway knows.

    Attributes:
        states: the state of each host, by its id.
        limits: the limits that hosts have named.
        removed_versions: for each upstream, the software versions of removed hosts
            and the time at which the last one of each was removed.
        unreadable: the registrations that could not be decoded.
        loaded: whether the hosts have been read from the store.
        store_unavailable_since_ms: time of the first read without an answer;
            None while the store answers, directly or through a relay.
        store_recovered_at_ms: time at which the store answered again; None if it
            always answered.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty table."""
        self.clock = clock
        self.states: dict[str, HostState] = {}
        self.limits = HostLimits(clock)
        self.removed_versions: dict[str, dict[str, float]] = {}
        self.unreadable = UnreadableObjects()
        self.loaded = False
        self.store_unavailable_since_ms: float | None = None
        self.store_recovered_at_ms: float | None = None

    def apply_change(self, stored: StoredObject) -> None:
        """Apply a changed or deleted registration; ignore an unreadable one."""
        name = stored.key.removeprefix(HOSTS_PREFIX)
        if not stored.body:
            self.unreadable.remove(stored.key)
            self.deregister(name, stored.version)
            return
        try:
            registration = decode_host(stored.key, stored.body)
        except MalformedObject as error:
            self.unreadable.add(stored, error)
            return
        self.unreadable.remove(stored.key)
        self.register(registration, stored.version)

    def register(self, registration: UpstreamHost, version: int) -> None:
        """Add a host or update its registration.

        A host that has started again loses its former state.
        """
        state = self.states.get(registration.id)
        if state is None or not is_same_start(state.registration, registration):
            if state is not None:
                self.note_version(state, self.clock.now_ms())
            state = HostState(registration)
            self.states[registration.id] = state
        state.update(registration, self.clock.now_ms())
        logger.info(
            'upstream_host',
            host=registration.id,
            upstream=registration.upstream,
            leaving=registration.leaving,
            software=registration.software_version,
            version=version,
        )

    def deregister(self, host: str, version: int) -> None:
        """Remove a host whose registration has been deleted.

        It is removed at once, or, if the registration may only have lapsed,
        once the host has had time to register again.
        """
        state = self.states.get(host)
        if state is None:
            return
        grace_ms = REREGISTRATION_MS if self.registrations_may_have_lapsed() else 0
        state.removal_due_at_ms = self.clock.now_ms() + grace_ms
        logger.info(
            'upstream_host_gone',
            host=host,
            version=version,
            grace_ms=grace_ms,
        )
        self.remove_due_hosts()

    def registrations_may_have_lapsed(self) -> bool:
        """Return whether registrations of live hosts may have lapsed.

        That is so while the store is unavailable and shortly afterwards.
        """
        if self.store_unavailable_since_ms is not None:
            return True
        if self.store_recovered_at_ms is None:
            return False
        return self.clock.now_ms() - self.store_recovered_at_ms < STORE_RECOVERY_MS

    def record_store_answer(self) -> None:
        """Record that the store answered, directly or through a relay."""
        if self.store_unavailable_since_ms is None:
            return
        self.store_unavailable_since_ms = None
        self.store_recovered_at_ms = self.clock.now_ms()

    def record_store_failure(self) -> None:
        """Record that the store did not answer."""
        if self.store_unavailable_since_ms is None:
            self.store_unavailable_since_ms = self.clock.now_ms()

    def remove_due_hosts(self) -> None:
        """Remove the hosts whose time to register again has passed."""
        now_ms = self.clock.now_ms()
        due = [
            name
            for name, state in self.states.items()
            if state.removal_due_at_ms is not None and state.removal_due_at_ms <= now_ms
        ]
        for name in due:
            self.note_version(self.states.pop(name), now_ms)

    def note_version(self, state: HostState, now_ms: float) -> None:
        """Note the software version of a host that is no longer listed."""
        registration = state.registration
        versions = self.removed_versions.setdefault(registration.upstream, {})
        versions.pop(registration.software_version, None)
        versions[registration.software_version] = now_ms
        if len(versions) > MAX_REMOVED_VERSIONS:
            versions.pop(next(iter(versions)))

    def versions_since(self, upstream: str, since_ms: float) -> set[str]:
        """Return the software versions of the hosts listed now or since a time."""
        listed = {
            state.registration.software_version for state in self.hosts_of(upstream)
        }
        removed = self.removed_versions.get(upstream, {})
        return listed | {
            version for version, at_ms in removed.items() if at_ms >= since_ms
        }

    def record_leaving(self, host: HostStart) -> None:
        """Record that a host has said to another gateway that it leaves."""
        state = self.states.get(host.id)
        if state is None or state.registration.start != host:
            return
        if state.record_leaving(self.clock.now_ms()):
            logger.info('host_said_to_leave', host=host.id, started_ms=host.started_ms)

    def is_listed(self, state: HostState) -> bool:
        """Return whether a host is still listed and has not started again."""
        return self.states.get(state.registration.id) is state

    def limit_of(self, state: HostState) -> float | None:
        """Return a host's limit in requests a second; None if it has none."""
        if not self.limits.by_start:
            return None
        return self.limits.limit_of(state.registration.start)

    def limited_hosts(self, upstream: str) -> list[HostState]:
        """Return the hosts of an upstream that have a limit and don't leave."""
        return [
            state
            for state in self.available_hosts(upstream)
            if self.limit_of(state) is not None
        ]

    def permit_wait_ms(self, state: HostState, now_ms: float) -> float:
        """Return the least time until a permit for a host is free.

        It is 0 without a limit. Other gateways may have taken permits since a keeper
        was last asked, so the host is worth asking for, but not sure to be free.
        """
        if self.limit_of(state) is None:
            return 0
        return max(state.next_permit_at_ms - now_ms, 0)

    def usual_permit_wait_ms(self, state: HostState, now_ms: float) -> float:
        """Estimate the wait for a permit from what keepers have told lately."""
        if self.limit_of(state) is None:
            return 0
        least_ms = self.permit_wait_ms(state, now_ms)
        return max(least_ms, state.permit_waits.estimate(now_ms))

    def available_hosts(self, upstream: str) -> Iterator[HostState]:
        """Yield the hosts of an upstream that are not leaving."""
        return (
            state for state in self.hosts_of(upstream) if not state.registration.leaving
        )

    def hosts_that_left_since(
        self, upstream: str, since_ms: float
    ) -> Iterator[HostState]:
        """Yield the hosts of an upstream that have begun to leave since a time."""
        return (
            state
            for state in self.hosts_of(upstream)
            if state.leaving_since_ms is not None and state.leaving_since_ms >= since_ms
        )

    def hosts_of(self, upstream: str) -> Iterator[HostState]:
        """Yield all hosts of an upstream, also those that are leaving."""
        self.remove_due_hosts()
        for state in self.states.values():
            if state.registration.upstream == upstream:
                yield state


def is_same_start(former: UpstreamHost, latter: UpstreamHost) -> bool:
    """Return whether two registrations under one id are of one start of the host.

    A host that states no time of its start is told by its software version.
    """
    return (former.started_ms, former.software_version) == (
        latter.started_ms,
        latter.software_version,
    )
