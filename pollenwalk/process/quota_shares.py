"""The shares of quotas that a keeper owns, and which part of each it may grant.

One lease between two keepers covers all organisations, so that its renewal does not grow
with their number: the lender lends its shares of all quotas whose first owner the
borrower is, by the list of keepers that both know. Leases are measured on a clock that
counts suspension.
"""

import math
import zlib
from collections.abc import Iterable, Iterator

from pollenwalk.connection.quota_messages import BorrowQuotas, LentQuotas
from pollenwalk.policy.decayed_count import DecayedCount
from pollenwalk.policy.quota_bucket import (
    MS_PER_SECOND,
    PENDING_MEMORY_MS,
    PROGRAM_MS,
    CallsPerProgram,
    Piece,
    QuotaBound,
    TokenBucket,
)
from pollenwalk.process.clock import Clock
from pollenwalk.process.directory import rendezvous
from pollenwalk.process.keeper_members import Members
from pollenwalk.process.share_ownership import (
    MAX_OWNERS,
    SETTLE_MS,
    LeaseTimes,
    OwnerList,
    ShareLeases,
)

# Leases of quotas are short: after all keepers have lost power, nothing is granted until
# they have ended. They are renewed several times before, as they lapse if the link
# between regions is full for a moment.
QUOTA_LEASE_MS = 800.0
# Longer than a lease: those that a keeper granted before it was restarted have ended.
QUOTA_FIRST_SETTLE_MS = 900.0
QUOTA_RENEWAL_MS = 200.0
QUOTA_TIMES = LeaseTimes(QUOTA_LEASE_MS, SETTLE_MS, QUOTA_FIRST_SETTLE_MS)
# A keeper that has agreed on the list of keepers counts as reached for this long.
CONTACT_MS = QUOTA_TIMES.lease_ms


def rank_quota_owners(organisation: str, names: Iterable[str]) -> list[str]:
    """Return the names of the owners of a quota, the one to ask first in front."""
    return rendezvous(organisation, names)[:MAX_OWNERS]


class OrganisationShare:
    """The share of one organisation's quota that a keeper owns.

    Attributes:
        owners: the owners of the quota.
        former_owners: those before the list of keepers began to change.
        version: version of the configuration that declares the quota.
        rate_per_s: requests a second over all gateways.
        burst: requests beyond that rate.
        bucket: tokens for all requests.
        starts: tokens for program starts.
        programs: how many requests a program has.
        pending: calls that programs which have begun are still expected to make.
        returned: counts of tokens that gateways returned, by their expiry.
        granted: tokens granted so far.
        gateways: tokens granted so far and time of the last grant, by gateway.
        asked_at_ms: when tokens were asked for last.
        return_at_ms: when the program start that was refused last may come back.
    """

    def __init__(
        self,
        owners: list[str],
        began_at_ms: float,
        now_ms: float,
        all_programs: CallsPerProgram | None = None,
    ) -> None:
        """Create a share.

        Args:
            owners: the owners of the quota.
            began_at_ms: since when this keeper has owned the share, with nobody asking
                for its tokens.
            now_ms: the current time.
            all_programs: how many requests the programs of all organisations have.
        """
        self.owners = owners
        self.former_owners = owners
        self.version = 0
        self.rate_per_s = 0.0
        self.burst = 0.0
        self.bucket = TokenBucket(began_at_ms)
        self.starts = TokenBucket(began_at_ms)
        self.programs = CallsPerProgram(now_ms, all_programs)
        self.pending = DecayedCount(PENDING_MEMORY_MS)
        self.returned: dict[float, int] = {}
        self.granted = 0
        self.gateways: dict[str, tuple[int, float]] = {}
        self.asked_at_ms = now_ms
        self.return_at_ms = 0.0

    def fill(self, pieces: list[Piece], bound: QuotaBound) -> None:
        """Let time pass in both buckets."""
        rate_per_s, capacity = self.rate_per_s, bound.capacity(*self.quota)
        self.bucket.fill(pieces, rate_per_s, capacity)
        calls = self.programs.mean
        self.starts.fill(pieces, rate_per_s / calls, capacity / calls)

    def has_room(self, part: float, now_ms: float) -> bool:
        """Return whether the quota covers the calls of one more program.

        Args:
            part: part of the quota that may be granted now.
            now_ms: the current time.
        """
        gained = self.rate_per_s * part * PROGRAM_MS / MS_PER_SECOND
        needed = self.pending.at(now_ms) + self.programs.mean
        return self.bucket.level + gained >= needed

    def expect(self, calls: float, now_ms: float) -> None:
        """Count calls that are expected of begun programs; negative for made ones."""
        pending = self.pending.at(now_ms)
        self.pending.add(max(calls, -pending), now_ms)

    @property
    def quota(self) -> tuple[float, float]:
        """Return the rate and the burst."""
        return self.rate_per_s, self.burst

    @property
    def owner_count(self) -> int:
        """Return into how many shares the quota is divided, as all owners know it."""
        return max(len(self.owners), len(self.former_owners), 1)

    @property
    def lenders(self) -> list[str]:
        """Return the owners that lend to the first one, also before the last change."""
        return [name for name in self.owners[1:] if name in self.former_owners[1:]]

    def is_first(self, name: str) -> bool:
        """Return whether a keeper has been the first owner for a while."""
        return self.owners[:1] == [name] and self.former_owners[:1] == [name]


class QuotaShares:
    """All shares of one keeper.

    Attributes:
        owner_list: who owns what.
        leases: what this keeper lends and borrows.
        by_organisation: the shares that were asked for lately.
        contacts: when each other keeper was asked last that agreed on the list.
        programs: how many requests the programs of all organisations have.
        agreed_since_ms: since when a majority has agreed on the list of keepers; None
            before that.
    """

    def __init__(
        self, clock: Clock, name: str, members: Members, bound: QuotaBound
    ) -> None:
        """Create the shares of the keeper `name`, which starts now."""
        self.clock = clock
        self.name = name
        self.bound = bound
        self.owner_list = OwnerList(
            name, members, rank_quota_owners, clock.boot_ms, QUOTA_TIMES
        )
        self.leases = ShareLeases(QUOTA_TIMES)
        self.by_organisation: dict[str, OrganisationShare] = {}
        self.contacts: dict[str, float] = {}
        self.programs = CallsPerProgram(clock.boot_ms())
        self.digest = 0
        self.agreed_since_ms: float | None = None
        self.refresh()

    def refresh(self) -> None:
        """Apply a change of the list of keepers, if there is one.

        Buckets are filled by the former list first. Shares that this keeper does not own
        any more are forgotten: if it owns them again, it starts with an empty bucket.
        """
        if not self.owner_list.has_changed:
            self.note_agreement()
            return
        now_ms = self.clock.boot_ms()
        for share in self.by_organisation.values():
            self.fill(share, now_ms)
        self.owner_list.refresh()
        self.contacts.clear()
        self.agreed_since_ms = None
        self.digest = zlib.crc32('\n'.join(sorted(self.owner_list.current)).encode())
        for organisation, share in list(self.by_organisation.items()):
            share.owners = self.owner_list.owners(organisation)
            share.former_owners = self.owner_list.settled_owners(organisation)
            if not self.owner_list.is_settled_owner(organisation, share.owners):
                self.by_organisation.pop(organisation)
        self.note_agreement()

    def find(self, organisation: str) -> OrganisationShare | None:
        """Return the share of an organisation's quota; None if this keeper owns none."""
        self.refresh()
        share = self.by_organisation.get(organisation)
        if share is None:
            share = self.begin(organisation)
        elif share.former_owners != share.owners and self.owner_list.is_settled:
            settled_at_ms = self.owner_list.settled_at_ms
            self.fill(share, settled_at_ms)
            share.former_owners = share.owners
        return share

    def begin(self, organisation: str) -> OrganisationShare | None:
        """Return a share that nobody has asked for lately.

        While the list of keepers has not changed and nobody has asked for tokens, its
        bucket has been filling.
        """
        owners = self.owner_list.owners(organisation)
        if not self.owner_list.is_settled_owner(organisation, owners):
            return None
        now_ms = self.clock.boot_ms()
        began_at_ms = min(self.owner_list.settled_at_ms, now_ms)
        if not self.owner_list.is_settled:
            began_at_ms = now_ms
        share = OrganisationShare(owners, began_at_ms, now_ms, self.programs)
        if not self.owner_list.is_settled:
            share.former_owners = self.owner_list.settled_owners(organisation)
        self.by_organisation[organisation] = share
        return share

    def part_at(self, share: OrganisationShare, at_ms: float) -> float:
        """Return the part of a quota that this keeper may grant at a time, 0 to 1."""
        if share.is_first(self.name):
            usable = 1 + self.leases.count_borrowed(share.lenders, at_ms)
        else:
            usable = int(at_ms >= self.returned_at_ms(share))
        return usable / share.owner_count

    def returned_at_ms(self, share: OrganisationShare) -> float:
        """Return until when the own share of a quota is lent.

        While the list changes, any lease may cover the share.
        """
        if share.owners != share.former_owners or not self.owner_list.is_settled:
            return self.leases.all_returned_at_ms
        return self.leases.lent_until_ms.get(share.owners[0], 0)

    def pieces(
        self, share: OrganisationShare, begin_ms: float, end_ms: float
    ) -> list[Piece]:
        """Return the parts of a quota that this keeper may grant in some time."""
        if begin_ms >= end_ms:
            return []
        ends = [end for end in self.changes(share) if begin_ms < end < end_ms]
        ends.sort()
        ends.append(end_ms)
        begins = [begin_ms, *ends]
        return [
            (end, self.part_at(share, begin))
            for begin, end in zip(begins, ends, strict=False)
        ]

    def changes(self, share: OrganisationShare) -> Iterator[float]:
        """Yield the times at which the part of a quota changes by a lease."""
        if not share.is_first(self.name):
            yield self.returned_at_ms(share)
            return
        for lender in share.lenders:
            lease = self.leases.borrowed.get(lender)
            if lease is not None:
                yield lease.since_ms
                yield lease.until_ms

    def fill(self, share: OrganisationShare, now_ms: float) -> None:
        """Let time pass in the buckets of a share."""
        share.fill(self.pieces(share, share.bucket.at_ms, now_ms), self.bound)

    def future(self, share: OrganisationShare, now_ms: float) -> list[Piece]:
        """Return the parts that this keeper may grant, as far as leases are known."""
        return self.pieces(share, now_ms, math.inf)

    @property
    def is_agreed(self) -> bool:
        """Return whether a majority of the keepers has agreed on the list for a while.

        Keepers that relied on a former list have lost their majority by then.
        """
        self.note_agreement()
        if self.agreed_since_ms is None or not self.has_majority:
            return False
        return self.clock.boot_ms() - self.agreed_since_ms >= CONTACT_MS

    def note_agreement(self) -> None:
        """Note when a majority of the keepers agrees on a new list."""
        if self.agreed_since_ms is None and self.has_majority:
            self.agreed_since_ms = self.clock.boot_ms()

    @property
    def has_majority(self) -> bool:
        """Return whether a majority of the keepers agrees on the list."""
        listed = self.owner_list.current
        oldest_ms = self.clock.boot_ms() - CONTACT_MS
        reached = (
            self.contacts.get(name, -math.inf) >= oldest_ms
            for name in listed
            if name != self.name
        )
        return sum(reached) + 1 >= len(listed) // 2 + 1

    def lend(self, request: BorrowQuotas) -> LentQuotas:
        """Lend the shares of those quotas whose first owner asks.

        Nothing is lent while the list of keepers changes, so all leases end before it
        is settled. Tokens in the buckets are not lent: a share that returns starts
        with an empty bucket, as `TokenBucket.fill` empties it for the time of the lease.
        """
        self.refresh()
        if request.members != self.digest:
            return LentQuotas(same_list=False, lent=False)
        listed = request.borrower in self.owner_list.current
        if (
            not self.owner_list.is_settled
            or not listed
            or request.borrower == self.name
        ):
            return LentQuotas(same_list=True, lent=False)
        self.leases.lend(request.borrower, self.clock.boot_ms())
        return LentQuotas(same_list=True, lent=True)

    def record_answer(
        self, lender: str, asked_at_ms: float, digest: int, answer: LentQuotas
    ) -> None:
        """Record the answer of another keeper to `BorrowQuotas`.

        Args:
            lender: name of the other keeper.
            asked_at_ms: when it was asked, on the clock that counts suspension.
            digest: digest of the list that it was asked with.
            answer: its answer.
        """
        self.refresh()
        if digest != self.digest or not answer.same_list:
            return
        self.contacts[lender] = asked_at_ms
        self.note_agreement()
        if not answer.lent:
            return
        now_ms = self.clock.boot_ms()
        lease = self.leases.borrowed.get(lender)
        if lease is None or not lease.covers(now_ms):
            # The former lease is about to be replaced, so its end is applied now.
            for share in self.by_organisation.values():
                self.fill(share, now_ms)
        self.leases.borrow(lender, asked_at_ms, now_ms)

    def forget_idle(self, idle_ms: float) -> None:
        """Forget shares that nobody has asked for, once their buckets are full."""
        now_ms = self.clock.boot_ms()
        for organisation, share in list(self.by_organisation.items()):
            needed_ms = self.bound.validity_ms(*share.quota) + idle_ms
            if now_ms - share.asked_at_ms <= needed_ms:
                continue
            self.fill(share, now_ms)
            least = self.bound.capacity(*share.quota) * self.part_at(share, now_ms)
            if share.bucket.level >= least:
                self.by_organisation.pop(organisation)
