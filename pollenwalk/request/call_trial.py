"""The permission to send a call on which hosts have crashed."""

from types import TracebackType

from pollenwalk.errors import Outcome, Refusal, RefusalCode
from pollenwalk.process.crash_guard import CrashGuard
from pollenwalk.request.gateway_call import Call

# Longest wait for another attempt of the call, which is about two usual runs. An attempt
# that takes longer may be the one that crashes its host.
MAX_WAIT_MS = 300.0
# Interval at which the keeper is asked again.
RETRY_INTERVAL_MS = 40.0
# Retry-After in the refusal of a call while another attempt of it runs.
RETRY_AFTER_MS = 200


class CallTrial:
    """Keeps one call from running beside another attempt of it.

    A context manager for the time in which the call may be sent. A call on which no host
    has crashed needs no permission.

    Attributes:
        digest: the digest for which the keeper was asked; empty before.
        attempt: tells this attempt from all others.
        granted: whether the call may be sent until this trial ends.
    """

    def __init__(self, guard: CrashGuard, call: Call) -> None:
        """Prepare to send `call`."""
        self.guard = guard
        self.call = call
        self.digest = ''
        self.attempt = ''
        self.granted = False

    def __enter__(self) -> 'CallTrial':
        """Return this trial."""
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        """Let other attempts run, also if the keeper's answer was not waited for."""
        if self.digest:
            self.guard.end_trial(self.digest, self.attempt)

    async def begin(self, runs: int, give_up_at_ms: float) -> None:
        """Wait until the call may be sent.

        Args:
            runs: how many times a host has run the call or may have run it.
            give_up_at_ms: time until which it is worth waiting in any case.

        Raises:
            Refusal: another attempt runs for too long, or the call is given up.
        """
        if self.granted or not self.guard.crashes(self.call):
            return
        clock = self.guard.group.clock
        outcome = Outcome.UNKNOWN if runs else Outcome.NOT_RUN
        until_ms = max(give_up_at_ms, clock.now_ms() + MAX_WAIT_MS)
        self.digest = self.guard.suspect_digest(self.call)
        self.attempt = self.guard.trials.name_attempt()
        while not await self.ask():
            self.guard.check(self.call, outcome)
            if clock.now_ms() + RETRY_INTERVAL_MS > until_ms:
                raise refusal(outcome)
            await clock.sleep_ms(RETRY_INTERVAL_MS)
        self.granted = True

    async def ask(self) -> bool:
        """Ask the keeper once; return whether the call may be sent.

        It may if another attempt has run to its end meanwhile.
        """
        granted = await self.guard.begin_trial(self.call, self.digest, self.attempt)
        return granted or not self.guard.crashes(self.call)


def refusal(outcome: Outcome) -> Refusal:
    """Return the refusal of a call while another attempt of it runs."""
    return Refusal(
        RefusalCode.SUSPECTED,
        'a host has crashed on this request, and another attempt of it runs',
        outcome,
        None if outcome == Outcome.UNKNOWN else RETRY_AFTER_MS,
    )
