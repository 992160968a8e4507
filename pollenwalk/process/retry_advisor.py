"""When callers that were refused for want of keepers had better come back.

Another gateway may reach the keepers, so a caller is first sent on at once. One
that comes here again has found no other gateway, and it asks only a few times:
it is told to wait until a keeper may have restarted, or until the balancer has
seen that this gateway is not ready.
"""

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.clock import Clock

# A process restarts within two seconds, and balancers look twice, a second
# apart; callers wait for a third of their time at the most, a second or so.
LATER_MS = 900
# A caller that was told to come back has done so by then.
REMEMBERED_MS = 3000.0
# Programs remembered; more than a gateway is asked for in that time.
MOST_REMEMBERED = 2000


class RetryAdvisor:
    """The programs that were refused here a moment ago."""

    def __init__(self, clock: Clock) -> None:
        """Start with none."""
        self.clock = clock
        self.refused_ms: dict[str, float] = {}

    def advise(self, refusal: Refusal, program: str) -> Refusal:
        """Give the refusal with the time at which to come back."""
        if refusal.code != RefusalCode.KEEPERS_UNAVAILABLE:
            return refusal
        if not self.note(program):
            return refusal
        return Refusal(
            refusal.code,
            refusal.message,
            refusal.outcome,
            retry_after_ms=LATER_MS,
        )

    def note(self, program: str) -> bool:
        """Remember a program; tell whether it was refused a moment ago."""
        now_ms = self.clock.now_ms()
        before_ms = self.refused_ms.pop(program, None)
        self.refused_ms[program] = now_ms
        if len(self.refused_ms) > MOST_REMEMBERED:
            self.refused_ms.pop(next(iter(self.refused_ms)))
        return before_ms is not None and now_ms - before_ms < REMEMBERED_MS
