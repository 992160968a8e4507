"""Ownership of shares of limits and quotas by keepers.

Each limit or quota has up to three owners among the keepers. Each owns an equal
share. The second and the third lend theirs to the first, under a lease that it renews.

A keeper that starts, or that becomes an owner as the list of keepers changes, waits
before it uses its shares, for a time that `LeaseTimes` states. Within that time the
leases that it may have granted end, and after a change the former owners learn of it.
"""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from pollenwalk.process.keeper_members import Member, Members

MAX_OWNERS = 3
LEASE_MS = 1500.0
# Part of a lease that the borrower does not use, as clocks run at different speeds.
LEASE_MARGIN_MS = 100.0
# Interval at which leases are renewed: a lost renewal does not end a lease.
RENEWAL_INTERVAL_MS = 400.0
# Longer than a lease, and than the time until a change of the list is known.
SETTLE_MS = 2000.0


class LeaseTimes(NamedTuple):
    """How long shares are lent, and how long owners wait.

    Attributes:
        lease_ms: duration of a lease.
        settle_ms: how long a keeper that becomes an owner by a change of the list waits.
        first_settle_ms: the same for one that starts and was listed before.
    """

    lease_ms: float
    settle_ms: float
    first_settle_ms: float


PERMIT_TIMES = LeaseTimes(LEASE_MS, SETTLE_MS, SETTLE_MS)

Ranking = Callable[[Any, Mapping[str, Member]], list[str]]


class Lease(NamedTuple):
    """A share that another owner lends.

    Attributes:
        since_ms: since when it is borrowed without a break.
        until_ms: time until which it is borrowed.
    """

    since_ms: float
    until_ms: float

    def covers(self, at_ms: float) -> bool:
        """Return whether the share is borrowed at a time."""
        return self.since_ms <= at_ms < self.until_ms


class ShareLeases:
    """The leases of the shares that a keeper owns.

    Attributes:
        lent_until_ms: time until which the own share is lent, by borrower.
        borrowed: leases of the shares of other owners, by lender.
        times: how long shares are lent.
    """

    def __init__(self, times: LeaseTimes = PERMIT_TIMES) -> None:
        """Create a share that is not lent, and borrow none."""
        self.times = times
        self.lent_until_ms: dict[str, float] = {}
        self.borrowed: dict[str, Lease] = {}

    def lend(self, borrower: str, now_ms: float) -> None:
        """Lend the own share from now on."""
        self.lent_until_ms[borrower] = now_ms + self.times.lease_ms

    def borrow(self, lender: str, asked_at_ms: float, now_ms: float) -> None:
        """Record that another owner has lent its share.

        Args:
            lender: name of the other owner.
            asked_at_ms: when it was asked, as the lease may have begun then.
            now_ms: the current time; the share can be used from now on.
        """
        former = self.borrowed.get(lender)
        is_renewal = former is not None and former.covers(now_ms)
        since_ms = former.since_ms if former and is_renewal else now_ms
        until_ms = asked_at_ms + self.times.lease_ms - LEASE_MARGIN_MS
        self.borrowed[lender] = Lease(since_ms, until_ms)

    def count_borrowed(self, owners: list[str], at_ms: float) -> int:
        """Return how many of the owners lend their share at a time."""
        leases = (self.borrowed.get(name) for name in owners)
        return sum(lease.covers(at_ms) for lease in leases if lease)

    @property
    def all_returned_at_ms(self) -> float:
        """Return when the last lease of the own share ends or has ended."""
        return max(self.lent_until_ms.values(), default=0)


class OwnerList:
    """Who owns what, by the list of keepers.

    Attributes:
        current: the keepers listed when the list was last looked at.
        settled: the keepers listed before the list began to change.
        changed_at_ms: time of the last change of the list.
        revision: number of changes so far.
        times: how long owners wait after a change.
    """

    def __init__(
        self,
        name: str,
        members: Members,
        rank: Ranking,
        now_ms: Callable[[], float],
        times: LeaseTimes = PERMIT_TIMES,
    ) -> None:
        """Start as a keeper that owns nothing until the list is settled.

        Args:
            name: name of the keeper.
            members: the list of keepers, which changes.
            rank: returns the owners of a key among some keepers.
            now_ms: the clock that leases are measured on.
            times: how long shares are lent, and how long owners wait.
        """
        self.times = times
        self.name = name
        self.members = members
        self.rank = rank
        self.now_ms = now_ms
        self.current: dict[str, Member] = {}
        self.settled: dict[str, Member] = {}
        self.changed_at_ms = now_ms()
        self.revision = 0

    @property
    def has_changed(self) -> bool:
        """Return whether owners may have changed since the list was last looked at.

        A keeper that retires or has a new address stays an owner.
        """
        listed = self.members.by_name
        return listed != self.current and zones(listed) != zones(self.current)

    def refresh(self) -> None:
        """Note the time if the list of keepers has changed."""
        if self.has_changed:
            if self.is_settled:
                self.settled = self.current
            self.changed_at_ms = self.now_ms()
            self.revision += 1
        if self.members.by_name != self.current:
            self.current = dict(self.members.by_name)

    @property
    def settled_at_ms(self) -> float:
        """Return when the present list is settled.

        A keeper that starts and finds itself in the list was not replaced meanwhile, so
        only leases of its former start must end.
        """
        was_listed = self.revision == 1 and self.name in self.current
        times = self.times
        wait_ms = times.first_settle_ms if was_listed else times.settle_ms
        return self.changed_at_ms + wait_ms

    @property
    def is_settled(self) -> bool:
        """Return whether the list of keepers has not changed lately."""
        return self.now_ms() >= self.settled_at_ms

    def owners(self, key: Any) -> list[str]:
        """Return the owners by the present list, the one to ask first in front."""
        self.refresh()
        return self.rank(key, self.current)

    def settled_owners(self, key: Any) -> list[str]:
        """Return the owners before the list began to change."""
        return self.rank(key, self.settled)

    def is_settled_owner(self, key: Any, owners: list[str]) -> bool:
        """Return whether this keeper is one of the owners, and not only since lately."""
        if self.name not in owners:
            return False
        return self.is_settled or self.name in self.settled_owners(key)


def zones(listed: Mapping[str, Member]) -> dict[str, str]:
    """Return what the ranking of keepers depends on: their names and zones."""
    return {name: member.zone for name, member in listed.items()}
