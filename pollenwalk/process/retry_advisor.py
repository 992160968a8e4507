"""Sets Retry-After for callers that were refused because keepers did not answer.

The first refusal of a program has a short Retry-After, as another gateway may
reach the keepers. If the program is refused here again soon afterwards, the
caller has not reached another gateway. Since callers retry only a few times, it
is told to wait until a keeper may have restarted, or until the load balancer
has noticed that this gateway is not ready.
"""

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.clock import Clock

# A process restarts within 2 s, and a load balancer checks twice, 1 s apart.
# Callers wait at most a third of their time limit, which is about 1 s.
REPEATED_RETRY_AFTER_MS = 900
# A caller that was told when to retry has retried within this time.
REFUSAL_MEMORY_MS = 3000.0
# More programs than one gateway serves within that time.
MAX_REMEMBERED_PROGRAMS = 2000


class RetryAdvisor:
    """Remembers the programs that were refused recently.

    Attributes:
        refused_at_ms: time of the last refusal by program id, the oldest first.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an advisor that remembers no program."""
        self.clock = clock
        self.refused_at_ms: dict[str, float] = {}

    def advise(self, refusal: Refusal, program: str) -> Refusal:
        """Return the refusal, with a longer Retry-After if it is repeated.

        Only refusals because of unavailable keepers are changed.
        """
        if refusal.code != RefusalCode.KEEPERS_UNAVAILABLE:
            return refusal
        if not self.record_refusal(program):
            return refusal
        return Refusal(
            refusal.code,
            refusal.message,
            refusal.outcome,
            retry_after_ms=REPEATED_RETRY_AFTER_MS,
        )

    def record_refusal(self, program: str) -> bool:
        """Remember a refused program; return whether it was refused recently."""
        now_ms = self.clock.now_ms()
        previous_ms = self.refused_at_ms.pop(program, None)
        self.refused_at_ms[program] = now_ms
        if len(self.refused_at_ms) > MAX_REMEMBERED_PROGRAMS:
            self.refused_at_ms.pop(next(iter(self.refused_at_ms)))
        return previous_ms is not None and now_ms - previous_ms < REFUSAL_MEMORY_MS
