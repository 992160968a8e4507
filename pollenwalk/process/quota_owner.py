"""Grants of tokens by a keeper that owns shares of quotas.

A request of a gateway may name several waiting calls of one organisation. They are served
in this order: calls of programs that have begun, from the bucket, from what others have
returned, and ahead of time if they can wait; then program starts; then tokens that the
gateway expects to need.
"""

import secrets
from collections.abc import Sequence

from loguru import logger

from pollenwalk.connection.quota_messages import (
    BorrowQuotas,
    FindQuota,
    GatewayTokens,
    LentQuotas,
    QuotaGrant,
    QuotaState,
    RequestQuota,
)
from pollenwalk.policy.quota_bucket import (
    IDLE_LEVEL_SHARE,
    MIN_RATE_PER_S,
    MS_PER_SECOND,
    ROUNDING,
    SPARE_LEVEL_SHARE,
    QuotaBound,
    capacity_of,
)
from pollenwalk.policy.return_times import MAX_RETRY_AFTER_MS
from pollenwalk.process.clock import Clock
from pollenwalk.process.keeper_members import Members
from pollenwalk.process.quota_shares import (
    QUOTA_RENEWAL_MS,
    QUOTA_TIMES,
    OrganisationShare,
    QuotaShares,
)

BOOT_ID_BYTES = 6
# Shares that nobody has asked for in this time are forgotten.
IDLE_MS = 10_000.0
# The gateways that are remembered for each organisation.
MAX_GATEWAYS = 32
# A token with a shorter validity would expire on its way to another region.
MIN_REUSE_MS = 100.0
# Tokens are granted ahead of time for at most this long. An owner that starts again, or
# one that takes its place, waits for longer.
MAX_AHEAD_MS = QUOTA_TIMES.lease_ms
# Returns of refused program starts are spread over this time at most.
MAX_SPREAD_MS = 2000.0


class QuotaOwner:
    """Grants the tokens of one keeper.

    Attributes:
        shares: the shares that this keeper owns.
        boot_id: identifies this start of the keeper.
    """

    def __init__(
        self, clock: Clock, name: str, members: Members, bound: QuotaBound
    ) -> None:
        """Create the owner of the keeper `name`, which starts now."""
        self.clock = clock
        self.bound = bound
        self.shares = QuotaShares(clock, name, members, bound)
        self.boot_id = secrets.token_hex(BOOT_ID_BYTES)

    def answer(
        self, message: RequestQuota | BorrowQuotas | FindQuota
    ) -> QuotaGrant | LentQuotas | QuotaState:
        """Return the answer to a message about quotas."""
        if isinstance(message, RequestQuota):
            return self.grant(message)
        if isinstance(message, BorrowQuotas):
            return self.shares.lend(message)
        return self.describe(message.organisation)

    def grant(self, request: RequestQuota) -> QuotaGrant:
        """Grant tokens of an organisation's quota."""
        share = self.shares.find(request.organisation)
        if share is None:
            return unavailable(self.boot_id)
        now_ms = self.clock.boot_ms()
        self.learn(share, request, now_ms)
        part = self.usable_part(share)
        if not part:
            return unavailable(self.boot_id)
        self.shares.fill(share, now_ms)
        share.asked_at_ms = now_ms
        self.take_back(share, request, now_ms)
        grant = self.serve(share, request, part, now_ms)
        # Calls that are refused count, too: a program would need them.
        calls = max(request.calls, grant.granted - grant.starts)
        for programs in (share.programs, self.shares.programs):
            programs.add(calls + grant.starts, grant.starts, now_ms)
        count_grant(share, request.gateway, grant.granted, now_ms)
        next_start_ms = self.next_start_ms(share, now_ms)
        refused = request.starts - grant.starts
        return grant._replace(
            next_call_ms=self.next_call_ms(share, now_ms),
            next_start_ms=next_start_ms,
            return_ms=return_ms(share, refused, next_start_ms, now_ms),
        )

    def usable_part(self, share: OrganisationShare) -> float:
        """Return the part of a quota that may be granted now, 0 to 1."""
        if not self.shares.is_agreed:
            return 0
        return self.shares.part_at(share, self.clock.boot_ms())

    def learn(
        self, share: OrganisationShare, request: RequestQuota, now_ms: float
    ) -> None:
        """Use the quota that a gateway names, unless a newer version is known."""
        if request.version < share.version:
            return
        quota = request.rate_per_s, request.burst
        if share.version and quota != share.quota:
            # The time so far counts with the former quota.
            self.shares.fill(share, now_ms)
            logger.info(
                'quota_changed',
                organisation=request.organisation,
                version=request.version,
                rate_per_s=request.rate_per_s,
                burst=request.burst,
                former=share.quota,
            )
        share.version = request.version
        share.rate_per_s = request.rate_per_s
        share.burst = request.burst
        capacity = self.bound.capacity(*quota)
        share.bucket.level = min(share.bucket.level, max(capacity, 1))

    def take_back(
        self, share: OrganisationShare, request: RequestQuota, now_ms: float
    ) -> None:
        """Keep tokens that a gateway returns, and drop expired ones.

        They keep their expiry, so that returns don't prolong the use of any token.
        """
        share.returned = {
            expires_at_ms: count
            for expires_at_ms, count in share.returned.items()
            if expires_at_ms - now_ms >= MIN_REUSE_MS
        }
        for tokens in request.returned:
            expires_at_ms = tokens.expires_at_ms
            is_own = tokens.boot_id == self.boot_id and tokens.count > 0
            if is_own and expires_at_ms - now_ms >= MIN_REUSE_MS:
                former = share.returned.get(expires_at_ms, 0)
                share.returned[expires_at_ms] = former + tokens.count

    def serve(
        self,
        share: OrganisationShare,
        request: RequestQuota,
        part: float,
        now_ms: float,
    ) -> QuotaGrant:
        """Take the tokens for a request."""
        reused, reused_validity_ms = reuse(share, request.calls, now_ms)
        calls = share.bucket.take(request.calls - reused)
        waits_ms = self.reserve(
            share, longest_waits_ms(request)[reused + calls :], part, now_ms
        )
        share.expect(-(reused + calls + len(waits_ms)), now_ms)
        capacity = capacity_of(part, self.bound.capacity(*share.quota))
        starts = self.take_starts(share, request.starts, 0, part, now_ms)
        least = SPARE_LEVEL_SHARE * capacity
        calls += share.bucket.take(request.spare_calls, least)
        starts += self.take_starts(share, request.spare_starts, least, part, now_ms)
        validity_ms = self.bound.validity_ms(*share.quota)
        return QuotaGrant(
            part,
            self.boot_id,
            calls,
            starts,
            validity_ms,
            now_ms + validity_ms,
            reused,
            reused_validity_ms,
            waits_ms,
        )

    def take_starts(
        self,
        share: OrganisationShare,
        wanted: int,
        least: float,
        part: float,
        now_ms: float,
    ) -> int:
        """Take the tokens of program starts, as far as they are there.

        A start needs a token of both buckets, or only one of that for all requests if
        the quota covers the calls of one more program.

        Args:
            share: the share.
            wanted: number of program starts.
            least: level at which the bucket for all requests is left.
            part: part of the quota that may be granted now.
            now_ms: the current time.
        """
        capacity = capacity_of(part, self.bound.capacity(*share.quota))
        idle_level = max(IDLE_LEVEL_SHARE * capacity, 1)
        taken = 0
        while taken < wanted:
            is_idle = share.bucket.level >= idle_level or share.has_room(part, now_ms)
            if not is_idle and share.starts.level + ROUNDING < 1:
                break
            if not share.bucket.take(1, least):
                break
            share.starts.level = max(share.starts.level - 1, 0)
            share.expect(share.programs.mean - 1, now_ms)
            taken += 1
        return taken

    def reserve(
        self,
        share: OrganisationShare,
        max_waits_ms: Sequence[float],
        part: float,
        now_ms: float,
    ) -> tuple[float, ...]:
        """Grant tokens ahead of time; return when they may be used.

        Only the first owner does so, as the others may lend their shares meanwhile. A
        token that comes too late for the call would be lost to all others. While the
        list of keepers changes and nothing is lent, the other owners may have tokens at
        once.

        Args:
            share: the share.
            max_waits_ms: how long each call can wait, the shortest first.
            part: part of the quota that may be granted now.
            now_ms: the current time.
        """
        waits_ms: list[float] = []
        if not max_waits_ms or not share.stays_first(self.shares.name):
            return ()
        if part < 1 and not self.shares.is_steady:
            return ()
        future = self.shares.future(share, now_ms)
        for max_wait_ms in max_waits_ms:
            wait_ms = share.bucket.wait_ms(1, future, share.rate_per_s)
            if wait_ms <= min(max_wait_ms, MAX_AHEAD_MS):
                share.bucket.level -= 1
                waits_ms.append(wait_ms)
        return tuple(waits_ms)

    def next_call_ms(self, share: OrganisationShare, now_ms: float) -> float:
        """Return the time until a call may find a token."""
        future = self.shares.future(share, now_ms)
        wait_ms = share.bucket.wait_ms(1, future, share.rate_per_s)
        return min(wait_ms, MAX_RETRY_AFTER_MS)

    def next_start_ms(self, share: OrganisationShare, now_ms: float) -> float:
        """Return the time until a program start may find its tokens."""
        future = self.shares.future(share, now_ms)
        per_s = share.rate_per_s / share.programs.mean
        start_ms = share.starts.wait_ms(1, future, per_s)
        return max(min(start_ms, MAX_RETRY_AFTER_MS), self.next_call_ms(share, now_ms))

    def describe(self, organisation: str) -> QuotaState:
        """Return what is known of a quota, for operators."""
        share = self.shares.by_organisation.get(organisation)
        if share is None:
            return QuotaState(0)
        now_ms = self.clock.boot_ms()
        self.shares.fill(share, now_ms)
        latest = sorted(share.gateways.items(), key=lambda one: one[1][1], reverse=True)
        return QuotaState(
            self.usable_part(share),
            share.version,
            share.rate_per_s,
            share.burst,
            share.bucket.level,
            share.starts.level,
            share.programs.mean,
            share.granted,
            tuple(
                GatewayTokens(gateway, granted, now_ms - at_ms)
                for gateway, (granted, at_ms) in latest
            ),
        )

    def forget_idle(self) -> None:
        """Forget shares that nobody has asked for lately."""
        self.shares.forget_idle(IDLE_MS)


def longest_waits_ms(request: RequestQuota) -> tuple[float, ...]:
    """Return how long each waiting call can wait, the shortest first."""
    return request.call_waits_ms or (request.max_wait_ms,) * request.calls


def unavailable(boot_id: str) -> QuotaGrant:
    """Return the answer of a keeper that grants nothing now."""
    return QuotaGrant(
        0,
        boot_id,
        next_call_ms=QUOTA_RENEWAL_MS,
        next_start_ms=QUOTA_RENEWAL_MS,
    )


def reuse(share: OrganisationShare, wanted: int, now_ms: float) -> tuple[int, float]:
    """Take returned tokens of one expiry; return how many, and their validity."""
    if not wanted or not share.returned:
        return 0, 0
    expires_at_ms = min(share.returned)
    count = min(wanted, share.returned[expires_at_ms])
    share.returned[expires_at_ms] -= count
    if not share.returned[expires_at_ms]:
        share.returned.pop(expires_at_ms)
    return count, expires_at_ms - now_ms


def return_ms(
    share: OrganisationShare, refused: int, next_start_ms: float, now_ms: float
) -> float:
    """Return the time until refused program starts may come back.

    Later refusals are told later times, so that not all come back at once. Many callers
    don't come back, so this is limited to MAX_SPREAD_MS.
    """
    first_ms = now_ms + next_start_ms
    return_at_ms = max(first_ms, min(share.return_at_ms, first_ms + MAX_SPREAD_MS))
    rate_per_s = max(share.rate_per_s, MIN_RATE_PER_S)
    starts_per_ms = rate_per_s / share.programs.mean / MS_PER_SECOND
    share.return_at_ms = return_at_ms + max(refused, 0) / starts_per_ms
    return return_at_ms - now_ms


def count_grant(
    share: OrganisationShare, gateway: str, granted: int, now_ms: float
) -> None:
    """Note the tokens that a gateway was granted."""
    if not granted:
        return
    share.granted += granted
    former = share.gateways.pop(gateway, (0, 0.0))[0]
    share.gateways[gateway] = (former + granted, now_ms)
    if len(share.gateways) > MAX_GATEWAYS:
        share.gateways.pop(next(iter(share.gateways)))
