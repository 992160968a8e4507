"""Messages about the quotas that organisations have over all gateways.

Gateways ask the owners of a quota for tokens, one for each request. Keepers lend each
other the right to grant them.
"""

from typing import NamedTuple


class ReturnedTokens(NamedTuple):
    """Tokens that a gateway does not need.

    Attributes:
        count: how many they are.
        expires_at_ms: when they expire, as the owner stated it with the grant.
        boot_id: the start of the owner that granted them.
    """

    count: int
    expires_at_ms: float
    boot_id: str


class RequestQuota(NamedTuple):
    """Asks an owner for tokens of one organisation.

    A program start takes a token that also permits a program to begin.

    Attributes:
        organisation: name of the organisation.
        version: version of the configuration that declares the quota.
        rate_per_s: requests a second over all gateways, by that version.
        burst: requests beyond that rate, by that version.
        gateway: name of the gateway.
        calls: waiting requests that begin no program.
        starts: waiting requests that begin a program.
        max_wait_ms: how long the waiting calls can wait.
        spare_calls: tokens for calls that are expected.
        spare_starts: tokens for program starts that are expected.
        returned: tokens that the gateway does not need.
        call_waits_ms: how long each of the waiting calls can wait, the shortest first;
            empty if all can wait for `max_wait_ms`.
    """

    organisation: str
    version: int
    rate_per_s: float
    burst: float
    gateway: str
    calls: int = 0
    starts: int = 0
    max_wait_ms: float = 0
    spare_calls: int = 0
    spare_starts: int = 0
    returned: tuple[ReturnedTokens, ...] = ()
    call_waits_ms: tuple[float, ...] = ()


class QuotaGrant(NamedTuple):
    """The answer to `RequestQuota`.

    Attributes:
        part: part of the quota that this keeper may grant now; 0 if it grants none.
        boot_id: identifies this start of the keeper.
        calls: tokens for calls.
        starts: tokens for program starts.
        validity_ms: how long these may be used, from the sending of the question.
        expires_at_ms: when they expire on the keeper's clock.
        reused: tokens that others returned; for waiting calls only.
        reused_validity_ms: how long these may be used, from the sending of the question.
        waits_ms: for each further waiting call that gets a token: the time from now
            until it may be used.
        next_call_ms: time from now until a call may find a token.
        next_start_ms: time from now until a program start may find one.
        return_ms: time from now after which a refused program start may come back;
            it spreads the returns.
    """

    part: float
    boot_id: str = ''
    calls: int = 0
    starts: int = 0
    validity_ms: float = 0
    expires_at_ms: float = 0
    reused: int = 0
    reused_validity_ms: float = 0
    waits_ms: tuple[float, ...] = ()
    next_call_ms: float = 0
    next_start_ms: float = 0
    return_ms: float = 0

    @property
    def granted(self) -> int:
        """Return the number of tokens."""
        return self.calls + self.starts + self.reused + len(self.waits_ms)


class BorrowQuotas(NamedTuple):
    """Asks a keeper to lend its shares of all quotas whose first owner the sender is.

    Attributes:
        borrower: name of the keeper that will grant these shares instead.
        members: digest of the keepers that it knows to be listed.
    """

    borrower: str
    members: int


class LentQuotas(NamedTuple):
    """The answer to `BorrowQuotas`.

    Attributes:
        same_list: whether the answering keeper knows of the same list of keepers.
        lent: whether the shares are lent.
    """

    same_list: bool
    lent: bool


class FindQuota(NamedTuple):
    """Asks an owner for what it knows of one organisation's quota."""

    organisation: str


class GatewayTokens(NamedTuple):
    """Tokens that one gateway was granted.

    Attributes:
        gateway: name of the gateway.
        granted: tokens granted so far.
        age_ms: time since the last grant.
    """

    gateway: str
    granted: int
    age_ms: float


class QuotaState(NamedTuple):
    """The answer to `FindQuota`.

    Attributes:
        part: part of the quota that this keeper may grant now.
        version: version of the configuration that declares the quota; 0 if this
            keeper was not asked for tokens of it lately.
        rate_per_s: requests a second over all gateways.
        burst: requests beyond that rate.
        level: tokens in the bucket; negative while requests wait for theirs.
        start_level: program starts that may be granted.
        calls_per_program: mean number of requests of a program.
        granted: tokens granted so far.
        gateways: the gateways that were granted tokens, the latest first.
    """

    part: float
    version: int = 0
    rate_per_s: float = 0
    burst: float = 0
    level: float = 0
    start_level: float = 0
    calls_per_program: float = 0
    granted: int = 0
    gateways: tuple[GatewayTokens, ...] = ()
