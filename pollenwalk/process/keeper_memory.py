"""What a keeper answers from memory: limits, crashes, quotas, loads and stream origins."""

from typing import Any

from pollenwalk.connection.limit_messages import (
    BorrowShares,
    ExchangeLimits,
    RequestPermit,
    TellLimits,
)
from pollenwalk.connection.load_messages import (
    CountedFleetState,
    FleetState,
    GatewayLoad,
)
from pollenwalk.connection.peer_messages import Done
from pollenwalk.connection.quota_messages import (
    BorrowQuotas,
    FindQuota,
    QuotaGrant,
    RequestQuota,
)
from pollenwalk.connection.trial_messages import EndTrial, RequestTrial
from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.policy.fleet_load import FleetLoad
from pollenwalk.policy.quota_bucket import QuotaBound
from pollenwalk.process.call_trials import CallTrials
from pollenwalk.process.clock import Clock
from pollenwalk.process.crash_records import CrashRecords
from pollenwalk.process.keeper_members import Members
from pollenwalk.process.keeper_metrics import KeeperMetrics
from pollenwalk.process.permit_allocator import PermitAllocator
from pollenwalk.process.quota_owner import QuotaOwner
from pollenwalk.process.stream_origins import StreamOrigins
from pollenwalk.program.streams import (
    FindStreamOrigin,
    FoundStreamOrigin,
    StreamOrigin,
)

LimitMessage = RequestPermit | TellLimits | ExchangeLimits | BorrowShares
TrialMessage = RequestTrial | EndTrial
QuotaMessage = RequestQuota | BorrowQuotas | FindQuota
MemoryMessage = (
    LimitMessage
    | TrialMessage
    | QuotaMessage
    | StreamOrigin
    | FindStreamOrigin
    | GatewayLoad
)


class KeeperMemory:
    """The parts of a keeper that need no disk to answer.

    Attributes:
        fleet_load: the load of the gateways that report to this keeper.
        stream_origins: where the latest streams began.
        permits: gives permits for hosts with a limit, and passes on reports of crashes,
            which are on disk.
        trials: keeps attempts of suspected calls apart.
        quotas: grants tokens of organisations' quotas; None if no quotas are kept.
    """

    def __init__(
        self,
        clock: Clock,
        name: str,
        members: Members,
        regions: dict[str, str],
        crashes: CrashRecords,
        metrics: KeeperMetrics,
        quota_bound: QuotaBound | None,
    ) -> None:
        """Create the memory of the keeper `name`, which starts now.

        Args:
            clock: the clock of the keeper.
            name: name of the keeper.
            members: the list of keepers.
            regions: the region of each zone.
            crashes: the reports of crashes that were on its disk.
            metrics: counts permits and tokens.
            quota_bound: how exactly quotas are kept; None if none are.
        """
        self.clock = clock
        self.metrics = metrics
        self.fleet_load = FleetLoad(regions)
        self.stream_origins = StreamOrigins(clock)
        self.permits = PermitAllocator(clock, name, members, regions, crashes)
        self.trials = CallTrials(clock, crashes, self.permits.learn_crashes)
        self.quotas: QuotaOwner | None = None
        if quota_bound is not None:
            self.quotas = QuotaOwner(clock, name, members, quota_bound)

    def answer(self, message: MemoryMessage) -> Any:
        """Return the answer to a message about what is not on disk.

        Raises:
            Refusal: the message is about quotas, and none are kept.
        """
        if isinstance(message, LimitMessage):
            return self.answer_about_limits(message)
        if isinstance(message, TrialMessage):
            return self.trials.answer(message)
        if isinstance(message, QuotaMessage):
            return self.answer_about_quotas(message)
        if isinstance(message, GatewayLoad):
            return self.answer_about_load(message)
        if isinstance(message, StreamOrigin):
            self.stream_origins.add(message)
            return Done()
        return FoundStreamOrigin(self.stream_origins.find(message.request))

    def answer_about_load(self, load: GatewayLoad) -> FleetState | CountedFleetState:
        """Record a gateway's load and return what it may know of the fleet."""
        state = self.fleet_load.record(load, self.clock.now_ms())
        state = state._replace(leaving=self.permits.leaving.recent())
        if not load.reads_count:
            return state
        return CountedFleetState(state, len(self.fleet_load.reports))

    def answer_about_limits(self, message: LimitMessage) -> Any:
        """Return the answer to a message about limits, and count permits."""
        answer = self.permits.answer(message)
        if isinstance(message, RequestPermit):
            outcome = 'granted' if answer.granted else 'refused'
            self.metrics.permits_total.inc({'outcome': outcome})
        return answer

    def answer_about_quotas(self, message: QuotaMessage) -> Any:
        """Return the answer to a message about quotas, and count tokens.

        Raises:
            Refusal: this keeper keeps no quotas.
        """
        if self.quotas is None:
            raise Refusal(RefusalCode.PROTOCOL, 'this keeper keeps no quotas')
        answer = self.quotas.answer(message)
        if isinstance(answer, QuotaGrant):
            self.metrics.quota_tokens_total.inc({}, answer.granted)
        return answer
