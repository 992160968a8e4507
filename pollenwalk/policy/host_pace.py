"""How long work is expected to take at a host whose pace changes often."""

import functools
import math
from typing import NamedTuple

# Hosts change their pace several times a second, so half of the deviation that a report
# tells is expected to be over after this time.
HALF_LIFE_MS = 300.0
# Deviation of a gateway's own run times that is taken for chance: calls of one route
# differ, and one of them raises the mean above this only if it took over twice as long.
CHANCE_EXCESS = 0.25
# One call that was stuck for another reason counts no more than this.
MAX_RUN_EXCESS = 4.0
# One for each route whose calls are placed at about the same time.
REMEMBERED_DURATIONS = 16


class ReportedPace(NamedTuple):
    """What a host has said of its pace.

    Attributes:
        slowness: how long work took there, as a multiple of the usual time.
        at_ms: time of the report.
    """

    slowness: float
    at_ms: float


def run_excess(run_ms: float, usual_ms: float) -> float:
    """Return the share by which a run took longer than usual; negative if shorter."""
    return min(run_ms / max(usual_ms, 1) - 1, MAX_RUN_EXCESS)


def expected_slowness(
    report: ReportedPace, now_ms: float, run_ms: float, mean_excess: float
) -> float:
    """Estimate how long a run that begins now will take at a host.

    The report decays with its age, and further during the run, to what the gateway's
    own calls have shown lately.

    Args:
        report: the last report of the host.
        now_ms: the current time.
        run_ms: the usual duration of the run.
        mean_excess: mean `run_excess` of the gateway's own calls at the host; 0 if
            nothing is known.

    Returns:
        The time as a multiple of the usual one.
    """
    excess = mean_excess - CHANCE_EXCESS
    observed = 1 + excess if excess > 0 else 1
    slowness, at_ms = report
    weight = 0.5 ** ((now_ms - at_ms) / HALF_LIFE_MS) * mean_weight(run_ms)
    return observed + (slowness - observed) * weight


@functools.lru_cache(maxsize=REMEMBERED_DURATIONS)
def mean_weight(duration_ms: float) -> float:
    """Return the mean weight of a report during a time that begins with it.

    Remembered, as it is the same for all hosts among which one choice is made.
    """
    decay = max(duration_ms, 1) * math.log(2) / HALF_LIFE_MS
    return -math.expm1(-decay) / decay
