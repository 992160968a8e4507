"""Lets one attempt at a time run of each call on which hosts have crashed.

Answers callers that repeat a call in parallel at several gateways: each attempt would
take a host away before any gateway knows of the others. The attempts that run are kept
in memory only. After a start of the keeper, or with another list of keepers, two may run
at the same time.
"""

from collections.abc import Callable
from typing import NamedTuple

from pollenwalk.connection.crash_messages import CrashReport
from pollenwalk.connection.peer_messages import Done
from pollenwalk.connection.trial_messages import EndTrial, RequestTrial, TrialDecision
from pollenwalk.process.clock import Clock
from pollenwalk.process.crash_records import CrashRecords

# Longest time for which one attempt keeps others back.
MAX_TRIAL_MS = 10_000.0
# Most attempts that are known, with about 300 bytes each. Further ones are not kept
# apart.
MAX_TRIALS = 4096


class Trial(NamedTuple):
    """An attempt that runs.

    Attributes:
        attempt: tells it from all others.
        until_ms: time at which it must have ended.
    """

    attempt: str
    until_ms: float


class CallTrials:
    """The attempts that run of calls on which hosts have crashed.

    Attributes:
        by_request: the attempts, by digest of the call.
    """

    def __init__(
        self,
        clock: Clock,
        crashes: CrashRecords,
        learn: Callable[[tuple[CrashReport, ...]], None],
    ) -> None:
        """Create a table without attempts.

        Args:
            clock: the clock of the keeper.
            crashes: what the keeper knows of crashes.
            learn: records what a gateway knows of them.
        """
        self.clock = clock
        self.crashes = crashes
        self.learn = learn
        self.by_request: dict[str, Trial] = {}

    def answer(self, message: RequestTrial | EndTrial) -> TrialDecision | Done:
        """Return the answer to a message about an attempt."""
        if isinstance(message, EndTrial):
            self.learn(message.crashes)
            self.end(message.request, message.attempt)
            return Done()
        wait_ms = self.begin(message)
        return TrialDecision(
            not wait_ms, wait_ms, self.crashes.reports(message.request)
        )

    def begin(self, asked: RequestTrial) -> float:
        """Begin an attempt unless another one of the call runs.

        Returns:
            Time until the other attempt must have ended; 0 if there is none.
        """
        now_ms = self.clock.now_ms()
        present = self.by_request.get(asked.request)
        if present is not None and present.attempt != asked.attempt:
            wait_ms = present.until_ms - now_ms
            if wait_ms > 0:
                return wait_ms
        if len(self.by_request) >= MAX_TRIALS:
            self.remove_old()
        if len(self.by_request) < MAX_TRIALS:
            until_ms = now_ms + min(max(asked.duration_ms, 0), MAX_TRIAL_MS)
            self.by_request[asked.request] = Trial(asked.attempt, until_ms)
        return 0

    def end(self, request: str, attempt: str) -> None:
        """End an attempt."""
        present = self.by_request.get(request)
        if present is not None and present.attempt == attempt:
            self.by_request.pop(request)

    def remove_old(self) -> None:
        """Forget the attempts that must have ended."""
        now_ms = self.clock.now_ms()
        old = [
            request
            for request, trial in self.by_request.items()
            if trial.until_ms <= now_ms
        ]
        for request in old:
            self.by_request.pop(request)
