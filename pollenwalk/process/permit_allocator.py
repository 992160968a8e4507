"""Permits for hosts with a limit, as a keeper gives them to all gateways.

Each host has up to three owners among the keepers. Each owns an equal share of the
host's limit and gives permits at that rate, so the sum never exceeds the limit,
whichever of them can be reached. The second and the third lend their shares to the
first, for LEASE_MS at a time, so that gateways as a rule ask one keeper that has the
whole limit. If the first dies, the others use their own shares once the leases have
ended; if a lender dies, its share is unused until it is back.

A keeper that starts, or that becomes an owner as the list of keepers changes, gives
no permits for SETTLE_MS. Within that time the leases that it may have granted end, and
the former owners learn of the change.
"""

import secrets
from collections.abc import Callable, Iterable, Mapping

from pollenwalk.connection.crash_messages import CrashNote, CrashReport
from pollenwalk.connection.limit_messages import (
    BorrowShares,
    ExchangeLimits,
    HostStart,
    KnownLimits,
    LentShares,
    LimitNews,
    PermitDecision,
    RequestPermit,
    TellLimits,
)
from pollenwalk.policy.permit_schedule import PermitSchedule
from pollenwalk.process.clock import Clock
from pollenwalk.process.crash_records import CrashRecords
from pollenwalk.process.directory import rendezvous
from pollenwalk.process.host_limits import HostLimits
from pollenwalk.process.keeper_members import Member, Members
from pollenwalk.process.leaving_hosts import LeavingHosts
from pollenwalk.process.share_ownership import (
    LEASE_MS,
    MAX_OWNERS,
    RENEWAL_INTERVAL_MS,
    SETTLE_MS,
    OwnerList,
    ShareLeases,
)

__all__ = (
    'LEASE_MS',
    'MAX_OWNERS',
    'RENEWAL_INTERVAL_MS',
    'SETTLE_MS',
    'PermitAllocator',
    'rank_owners',
)

# Wait that is told to gateways while no permit can be given here.
UNAVAILABLE_WAIT_MS = RENEWAL_INTERVAL_MS
BOOT_ID_BYTES = 6


def rank_owners(
    host: HostStart, members: Mapping[str, Member], regions: Mapping[str, str]
) -> list[str]:
    """Return the names of a host's owners, the one to ask first in front.

    Keepers in the host's region go first, as most requests come from there.
    """
    ranked = rendezvous(host.id, members)
    region = regions.get(host.zone)
    ranked.sort(key=lambda name: regions.get(members[name].zone) != region)
    return ranked[:MAX_OWNERS]


class HostShare(ShareLeases):
    """The share of one host's limit that a keeper owns.

    Attributes:
        schedule: the permits given.
    """

    def __init__(self, now_ms: float) -> None:
        """Create a share that is not lent and has given no permit yet."""
        super().__init__()
        self.schedule = PermitSchedule(now_ms)


class PermitAllocator:
    """Gives the permits of one keeper.

    Attributes:
        limits: what this keeper knows of limits.
        crashes: what it knows of requests on which hosts crash, to pass it on.
        on_crash: called with each new report of a crash.
        leaving: the hosts that have said that they leave, likewise.
        shares: its shares, by the start of the host.
        owner_list: who owns which share.
        boot_id: identifies this start of the keeper.
    """

    def __init__(
        self,
        clock: Clock,
        name: str,
        members: Members,
        regions: dict[str, str],
        crashes: CrashRecords | None = None,
    ) -> None:
        """Create the allocator of the keeper `name`, which starts now."""
        self.clock = clock
        self.name = name
        self.owner_list = OwnerList(
            name,
            members,
            lambda host, listed: rank_owners(host, listed, regions),
            clock.now_ms,
        )
        self.limits = HostLimits(clock)
        self.crashes = crashes or CrashRecords(clock)
        self.on_crash: Callable[[CrashNote], None] = lambda note: None
        self.leaving = LeavingHosts(clock)
        self.shares: dict[HostStart, HostShare] = {}
        self.boot_id = secrets.token_hex(BOOT_ID_BYTES)

    def answer(
        self, message: RequestPermit | TellLimits | ExchangeLimits | BorrowShares
    ) -> PermitDecision | KnownLimits | LentShares:
        """Return the answer to a message about limits."""
        if isinstance(message, RequestPermit):
            return self.decide(message)
        if isinstance(message, BorrowShares):
            return self.lend(message)
        self.learn_all(message.limits)
        self.learn_crashes(message.crashes)
        if isinstance(message, TellLimits):
            self.leaving.add(message.leaving)
            return self.known_since(self.limits.revision, self.crashes.revision)
        if message.boot_id != self.boot_id:
            return self.known_since(0, 0)
        return self.known_since(message.since, message.crashes_since)

    def learn_crashes(self, reports: Iterable[CrashReport]) -> None:
        """Record what another process has heard of crashes."""
        for report in reports:
            if self.crashes.learn(report, 'message'):
                self.on_crash(self.crashes.note(report))

    def known_since(self, limits_revision: int, crashes_revision: int) -> KnownLimits:
        """Return what has become known since the revisions of both tables."""
        return KnownLimits(
            self.limits.news_since(limits_revision),
            self.boot_id,
            self.limits.revision,
            self.crashes.news_since(crashes_revision),
            self.crashes.revision,
        )

    def learn_all(self, limits: list[LimitNews]) -> None:
        """Record what another process has heard of limits."""
        for news in limits:
            self.limits.learn(news, 'message')

    def decide(self, request: RequestPermit) -> PermitDecision:
        """Give a permit if this keeper has one in time."""
        host = request.news.host
        self.limits.learn(request.news, 'message')
        news = self.limits.news_of(host) or request.news
        if news.per_second is None:
            return PermitDecision(True, 0, 0, 1, news)
        part = self.usable_part(host)
        if not part:
            return PermitDecision(False, 0, UNAVAILABLE_WAIT_MS, 0, news)
        now_ms = self.clock.now_ms()
        schedule = self.share_of(host).schedule
        per_second = news.per_second * part
        wait_ms = schedule.take(per_second, now_ms, request.max_wait_ms)
        next_wait_ms = schedule.wait_ms(per_second, now_ms)
        return PermitDecision(
            wait_ms is not None, wait_ms or 0, next_wait_ms, part, news
        )

    def share_of(self, host: HostStart) -> HostShare:
        """Return this keeper's share of a host's limit."""
        share = self.shares.get(host)
        if share is None:
            share = HostShare(self.clock.now_ms())
            self.shares[host] = share
        return share

    def usable_part(self, host: HostStart) -> float:
        """Return the part of a host's limit that this keeper may use now, 0 to 1."""
        owners = self.owner_list.owners(host)
        if not self.owner_list.is_settled_owner(host, owners):
            return 0
        now_ms = self.clock.now_ms()
        share = self.share_of(host)
        if share.all_returned_at_ms > now_ms:
            return 0
        return (1 + share.count_borrowed(owners, now_ms)) / len(owners)

    def lend(self, request: BorrowShares) -> LentShares:
        """Lend the shares of those hosts whose first owner asks for them."""
        self.learn_all(request.limits)
        return LentShares(
            [self.lend_share(news.host, request.borrower) for news in request.limits]
        )

    def lend_share(self, host: HostStart, borrower: str) -> bool:
        """Lend the share of one host; return whether it is lent."""
        owners = self.owner_list.owners(host)
        if borrower == self.name or borrower not in owners[:1]:
            return False
        if not self.owner_list.is_settled_owner(host, owners):
            return False
        self.share_of(host).lend(borrower, self.clock.now_ms())
        return True

    def shares_to_borrow(self) -> dict[str, list[LimitNews]]:
        """Return the limited hosts whose first owner this keeper is, by lender.

        It is called regularly, so that changes of the list of keepers are noted in
        time.
        """
        self.owner_list.refresh()
        self.limits.remove_old()
        self.crashes.remove_old()
        self.forget_shares()
        wanted: dict[str, list[LimitNews]] = {}
        for news in self.limits.limited():
            owners = self.owner_list.owners(news.host)
            if owners[:1] == [self.name]:
                for lender in owners[1:]:
                    wanted.setdefault(lender, []).append(news)
        return wanted

    def forget_shares(self) -> None:
        """Forget the shares of hosts whose limits are forgotten."""
        for host in self.shares.keys() - self.limits.by_start.keys():
            self.shares.pop(host)

    def record_loans(
        self, lender: str, request: BorrowShares, answer: LentShares, asked_at_ms: float
    ) -> None:
        """Record which shares another keeper has lent.

        Args:
            lender: name of that keeper.
            request: what it was asked for.
            answer: its answer.
            asked_at_ms: when the request was sent, as the leases may have begun then.
        """
        now_ms = self.clock.now_ms()
        for news, lent in zip(request.limits, answer.lent, strict=True):
            if lent:
                self.share_of(news.host).borrow(lender, asked_at_ms, now_ms)
