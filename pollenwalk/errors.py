"""Every error a caller or an operator can meet, with a stable code.

A refusal must say truthfully whether the call ran, so the outcome is part of
the error and not of its text.
"""

import enum
from typing import NamedTuple

OWNER_RETRY_MS = 1000


class Outcome(enum.StrEnum):
    """What a caller may conclude about the effect of its call."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class PollenwalkError(Exception):
    """Base of all errors raised on purpose."""

    code = 'internal'

    def __init__(self, message: str) -> None:
        """Keep the text for people; programs read the code."""
        super().__init__(message)
        self.message = message


class UserError(PollenwalkError):
    """A mistake in settings, resources or arguments, shown as one line."""

    code = 'user_error'


class RefusalCode(enum.StrEnum):
    """The stable codes of refused calls."""

    MALFORMED = 'malformed'
    UNKNOWN_PROGRAM = 'unknown_program'
    UNKNOWN_DECLARATION = 'unknown_declaration'
    UNKNOWN_UPSTREAM = 'unknown_upstream'
    UNKNOWN_OPERATION = 'unknown_operation'
    UNKNOWN_CALL = 'unknown_call'
    UNKNOWN_ROUTE = 'unknown_route'
    UNKNOWN_TURN = 'unknown_turn'
    KEY_MISSING = 'key_missing'
    KEY_REUSED = 'key_reused'
    SEQUENCE_TAKEN = 'sequence_taken'
    SEQUENCE_GAP = 'sequence_gap'
    PROGRAM_ENDED = 'program_ended'
    BUDGET_EXHAUSTED = 'budget_exhausted'
    LOOP_LIMIT = 'loop_limit'
    TOO_LARGE = 'too_large'
    OVERLOADED = 'overloaded'
    NO_UPSTREAM = 'no_upstream'
    STOPPING = 'stopping'
    STORE_UNAVAILABLE = 'store_unavailable'
    HOME_UNREACHABLE = 'home_unreachable'
    DEADLINE = 'deadline'
    UPSTREAM_FAILED = 'upstream_failed'
    CANCELLED = 'cancelled'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    STALE_SESSION = 'stale_session'
    PROTOCOL = 'protocol'
    NOT_CONFIGURED = 'not_configured'
    KEEPERS_UNAVAILABLE = 'keepers_unavailable'
    RETIRING = 'retiring'
    INTERNAL = 'internal'


class Refusal(PollenwalkError):
    """A call that gets no answer of its upstream.

    Attributes:
        code: why, as a stable word.
        outcome: whether the call ran.
        retry_after_ms: when to come back; None where coming back is no use.
    """

    def __init__(
        self,
        code: RefusalCode,
        message: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_ms: int | None = None,
    ) -> None:
        """Build a refusal that is 'not run' unless said otherwise."""
        super().__init__(message)
        self.code = code
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms


class OwnerUnreachable(Refusal):
    """The asked entry is not, or no longer, the program's home.

    The call may have run there, so the outcome is unknown.
    """

    def __init__(
        self,
        message: str = "the program's home does not answer and has no successor yet",
        retry_after_ms: int | None = OWNER_RETRY_MS,
    ) -> None:
        """Invite the caller to come back."""
        super().__init__(
            RefusalCode.HOME_UNREACHABLE,
            message,
            Outcome.UNKNOWN,
            retry_after_ms,
        )


class RefusalBody(NamedTuple):
    """A refusal as it travels between processes and into the journal."""

    code: str
    message: str
    outcome: str
    retry_after_ms: int | None = None

    @classmethod
    def from_refusal(cls, refusal: Refusal) -> 'RefusalBody':
        """Take what has to travel."""
        return cls(
            str(refusal.code),
            refusal.message,
            str(refusal.outcome),
            refusal.retry_after_ms,
        )

    def to_refusal(self) -> Refusal:
        """Rebuild the error on the receiving side."""
        if self.code == RefusalCode.HOME_UNREACHABLE:
            return OwnerUnreachable(self.message, self.retry_after_ms)
        return Refusal(
            RefusalCode(self.code),
            self.message,
            Outcome(self.outcome),
            self.retry_after_ms,
        )


class StoreUnavailable(PollenwalkError):
    """The object store gave no answer; a write may have taken effect."""

    code = 'store_unavailable'


class StoreConflict(PollenwalkError):
    """A conditional write met another version than it named."""

    code = 'store_conflict'


class StoreHistoryGone(StoreUnavailable):
    """The store no longer has the changes since a revision; list anew."""

    code = 'store_history_gone'


class MalformedObject(PollenwalkError):
    """An object of the store that can't be read; the others hold."""

    code = 'malformed_object'


class ConnectionLost(PollenwalkError):
    """A peer's connection ended before the exchange did."""

    code = 'connection_lost'


class NotSent(PollenwalkError):
    """No byte of a request reached the upstream host: it did not run."""

    code = 'not_sent'


class BrokenAnswer(PollenwalkError):
    """An upstream host's answer ended early; the request may have run."""

    code = 'broken_answer'


class Fenced(PollenwalkError):
    """This incarnation has been sealed by a successor."""

    code = 'fenced'


def fenced_error() -> Fenced:
    """Send a caller's request on to the successor."""
    return Fenced('this home has a successor')
