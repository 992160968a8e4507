"""What a gateway knows and allows about second attempts, for all calls together."""

from collections.abc import Callable

from loguru import logger

from pollenwalk.policy.answer_times import AnswerTimes
from pollenwalk.policy.hedge_budget import HedgeBudget
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.request.gateway_call import Call


class Hedging:
    """The budget of second attempts and the answer times of the routes.

    Attributes:
        budget: the limit on second attempts, one for the process.
        answer_times: the answer times of hedgeable calls.
        metrics: the gateway's metrics.
        charge: charges the organisation's quota for one more send of a call; returns
            False if there must be no second attempt.
    """

    def __init__(
        self,
        share: float,
        metrics: GatewayMetrics,
        charge: Callable[[Call], bool] | None = None,
    ) -> None:
        """Create an empty budget.

        Args:
            share: the share of sends that may be second attempts.
            metrics: the gateway's metrics.
            charge: charges the quota for a send; None if there are no quotas.
        """
        self.budget = HedgeBudget(share)
        self.answer_times = AnswerTimes()
        self.metrics = metrics
        self.charge = charge or charge_nothing

    def record_refusal(self, call: Call, reason: str) -> None:
        """Count and log that a slow call gets no second attempt.

        Args:
            call: the call.
            reason: what did not allow it.
        """
        self.metrics.count_hedge(f'refused_{reason}')
        logger.info(
            'hedge_refused', request=call.id, route=call.route.name, reason=reason
        )


def charge_nothing(_call: Call) -> bool:
    """Allow every send, as the deployment has no quotas."""
    return True


def make_hedging(
    share: float, metrics: GatewayMetrics, charge: Callable[[Call], bool] | None = None
) -> Hedging | None:
    """Return what second attempts need; None if no call is to have one.

    Args:
        share: the share of sends that may be second attempts; 0 for none.
        metrics: the gateway's metrics.
        charge: charges the quota for a send; None if there are no quotas.
    """
    return Hedging(share, metrics, charge) if share else None
