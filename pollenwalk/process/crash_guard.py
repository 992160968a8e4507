"""Keeps requests from hosts on which they have crashed too many of them."""

import math
from collections.abc import Iterable
from itertools import chain

from loguru import logger

from pollenwalk.connection.connection_pool import ProbeResult
from pollenwalk.connection.crash_messages import CrashReport
from pollenwalk.connection.limit_messages import TellLimits
from pollenwalk.connection.trial_messages import RequestTrial
from pollenwalk.errors import Outcome, Refusal, RefusalCode
from pollenwalk.policy.crash_verdict import is_given_up
from pollenwalk.process.crash_records import CrashRecords
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.host_table import HostState
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.process.trial_client import TrialClient
from pollenwalk.request.call_identity import identify, identify_beginning
from pollenwalk.request.gateway_call import Call

# Requests that ended lately and are remembered, with about 200 bytes each.
MAX_SERVED = 8192
# A request that has ended whole within this time before a crash is not to blame for it: one
# that crashes hosts never ends.
ACQUITTAL_MS = 2000.0
# Characters that are logged of each text that a caller has chosen.
MAX_LOGGED_CHARACTERS = 200


class CrashGuard:
    """Records crashes of this gateway's calls and gives up those to blame.

    A request is known by its whole body, and also by the beginning of it, as a repeat
    may go on differently. The beginning counts only if no request with it has ended
    lately: others may share it, as they share a path.

    Attributes:
        records: the crashes known here, also those of other gateways' calls.
        trials: asks keepers whether a call on which hosts have crashed may be sent.
        served: when requests ended last, by the digest of the beginning; those that have
            not ended for longest come first.
    """

    def __init__(self, group: KeeperGroup, metrics: GatewayMetrics) -> None:
        """Create a guard that knows no crashes; news goes to the keepers of `group`."""
        self.group = group
        self.metrics = metrics
        self.records = CrashRecords(group.clock)
        self.trials = TrialClient(group)
        self.served: dict[str, float] = {}

    def crashes(self, call: Call) -> int:
        """Return how many crashes count against a call."""
        if not self.records.size:
            return 0
        return max(map(self.records.crashes, self.digests(call)))

    def digests(self, call: Call) -> list[str]:
        """Return the digests by which crashes on a call are counted."""
        whole, beginning = identify(call)
        if beginning == whole or beginning in self.served:
            return [whole]
        return [whole, beginning]

    def is_acquitted(self, call: Call) -> bool:
        """Return whether a call is not to blame for a crash, as it has just ended whole.

        A call with a longer body than its beginning may differ from those that ended.
        """
        whole, beginning = identify(call)
        return beginning == whole and self.has_just_ended(whole)

    def has_just_ended(self, digest: str) -> bool:
        """Return whether a request has ended whole here within ACQUITTAL_MS."""
        ended_ms = self.served.get(digest, -math.inf)
        return self.group.clock.now_ms() < ended_ms + ACQUITTAL_MS

    def learn(self, reports: Iterable[CrashReport]) -> None:
        """Record what a keeper knows of crashes; clear requests that have just ended."""
        learnt = [one for one in reports if self.records.learn(one, 'keeper')]
        acquitted = {
            one.request
            for one in learnt
            if not one.cleared and self.has_just_ended(one.request)
        }
        self.clear(acquitted)

    def clear(self, digests: Iterable[str]) -> None:
        """Clear requests of blame, and tell all keepers what changes by that."""
        reports = tuple(chain.from_iterable(map(self.records.clear, digests)))
        if reports:
            self.tell_keepers(reports)

    def suspect_digest(self, call: Call) -> str:
        """Return the digest of a call against which most crashes count.

        Of equal ones it is the beginning, which repeats with another end share.
        """
        return max(reversed(self.digests(call)), key=self.records.crashes)

    async def begin_trial(self, call: Call, digest: str, attempt: str) -> bool:
        """Ask whether an attempt of a call may be sent; learn of crashes on the call.

        If no keeper answers, it may unless the call was given up: then nobody knows of
        the attempts of other gateways.

        Args:
            call: the call.
            digest: the digest against which crashes count.
            attempt: tells the attempt from all others.
        """
        duration_ms = call.remaining_ms(self.group.clock.now_ms())
        decision = await self.trials.request(RequestTrial(digest, attempt, duration_ms))
        if decision is None:
            return not is_given_up(self.crashes(call))
        self.learn(decision.crashes)
        return decision.granted

    def end_trial(self, digest: str, attempt: str) -> None:
        """Tell the keeper that an attempt of a call has ended."""
        self.trials.end(digest, attempt, self.records.reports(digest))

    def check(self, call: Call, outcome: Outcome = Outcome.NOT_RUN) -> None:
        """Refuse a call that has crashed too many hosts.

        Args:
            call: the call.
            outcome: whether this attempt of the caller has run.

        Raises:
            Refusal: it is not sent to any host any more.
        """
        crashes = self.crashes(call)
        if not crashes:
            return
        since_last_ms = self.records.since_last_ms(self.suspect_digest(call))
        if not is_given_up(crashes, since_last_ms):
            return
        logger.info(
            'given_up',
            request=call.id,
            program=call.request.metadata.program[:MAX_LOGGED_CHARACTERS],
            digests=self.digests(call),
            crashes=crashes,
        )
        raise Refusal(
            RefusalCode.CRASHES_HOSTS,
            f'{crashes} hosts have crashed while they ran this request',
            outcome,
        )

    def record_crash(self, call: Call, state: HostState, sent_age_ms: float) -> None:
        """Record that a host has crashed, and tell all keepers.

        Args:
            call: a call that the host had.
            state: the host.
            sent_age_ms: time since the call was sent to it.
        """
        request = call.request
        registration = state.registration
        start = f'{registration.id}/{registration.started_ms}'
        digests = self.digests(call)
        reports = tuple(
            CrashReport(
                digest,
                self.records.name_crash(digest, start, sent_age_ms),
                False,
                0,
                sent_age_ms,
            )
            for digest in digests
        )
        self.metrics.count_send('host_crashed')
        self.metrics.count_crash_check(ProbeResult.REFUSED)
        logger.info(
            'crashed_with',
            request=call.id,
            method=request.method.decode('latin-1'),
            authority=request.host[:MAX_LOGGED_CHARACTERS],
            target=request.target[:MAX_LOGGED_CHARACTERS].decode('latin-1'),
            body_bytes=len(request.body),
            program=request.metadata.program[:MAX_LOGGED_CHARACTERS],
            digests=digests,
            host=registration.id,
            sent_age_ms=round(sent_age_ms),
        )
        for report in reports:
            self.records.learn(report, 'connection')
        self.tell_keepers(reports)

    def record_completion(self, call: Call) -> None:
        """Clear a call of blame, as it has run to its end."""
        if self.records.size:
            # Others may have recorded crashes against a beginning that has ended here.
            self.clear(identify(call))
        beginning = identify_beginning(call)
        self.served.pop(beginning, None)
        self.served[beginning] = self.group.clock.now_ms()
        if len(self.served) > MAX_SERVED:
            self.served.pop(next(iter(self.served)))

    def tell_keepers(self, reports: tuple[CrashReport, ...]) -> None:
        """Tell all keepers of reports, without waiting for them."""
        message = TellLimits([], reports)
        self.group.tasks.spawn(self.group.tell_all(message), 'tell_crashes')
