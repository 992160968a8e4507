"""The shares of quotas that a keeper owns, and which part of each it may grant.

One lease between two keepers covers all organisations, so that its renewal does not grow
with their number: the lender lends its shares of all quotas whose first owner the
borrower is, by the list of keepers that both know. Leases are measured on a clock that
counts suspension.
"""

import math
import zlib
from collections.abc import Collection, Iterable, Iterator

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
from pollenwalk.process.list_agreement import ListAgreement
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
        all_owners: the owners of the quota by each of `QuotaShares.lists`, the present
            ones last.
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
        all_owners: list[list[str]],
        began_at_ms: float,
        now_ms: float,
        all_programs: CallsPerProgram | None = None,
    ) -> None:
        """Create a share.

        Args:
            all_owners: the owners of the quota, also those by former lists.
            began_at_ms: since when this keeper has owned the share, with nobody asking
                for its tokens.
            now_ms: the current time.
            all_programs: how many requests the programs of all organisations have.
        """
        self.all_owners = all_owners
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
        """Return into how many shares the quota is divided at most."""
        return max(1, *map(len, self.all_owners))

    @property
    def lenders(self) -> list[str]:
        """Return the owners that lend to the first one.

        Leases cover the quotas of which the borrower was the first owner before the
        list of keepers began to change, as nothing is lent since. The share of a lender
        that is no owner any more may already be another keeper's.
        """
        return [name for name in self.all_owners[0][1:] if self.is_owner(name)]

    @property
    def borrower(self) -> str:
        """Return the owner that the others lend to."""
        return self.all_owners[0][0]

    def stays_first(self, name: str) -> bool:
        """Return whether a keeper is the first owner by all lists."""
        return all(owners[:1] == [name] for owners in self.all_owners)

    def is_owner(self, name: str) -> bool:
        """Return whether a keeper is an owner by all lists."""
        return all(name in owners for owners in self.all_owners)


class QuotaShares:
    """All shares of one keeper.

    Attributes:
        owner_list: who owns what.
        leases: what this keeper lends and borrows.
        by_organisation: the shares that were asked for lately.
        lists: the lists of keepers that this one has had: the last one that was settled
            and agreed on, and those since, the present one last.
        steady_at_ms: when the present list was settled and agreed on; infinite while it
            changes.
        agreement: which other keepers agree on the list.
        programs: how many requests the programs of all organisations have.
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
        self.agreement = ListAgreement(name, CONTACT_MS)
        self.programs = CallsPerProgram(clock.boot_ms())
        self.digest = digest_of(())
        # A keeper that starts owns nothing by the empty list.
        self.lists: list[Collection[str]] = [()]
        self.steady_at_ms = math.inf
        self.refresh()

    def refresh(self) -> None:
        """Apply a change of the list of keepers, if there is one.

        Buckets are filled by the former lists first. Shares that this keeper does not
        own any more are forgotten: if it owns them again, it starts with an empty bucket.
        """
        has_changed = self.owner_list.has_changed
        if has_changed:
            self.fill_all(self.clock.boot_ms())
        self.owner_list.refresh()
        if has_changed:
            self.begin_list()
        if not self.is_steady:
            self.end_change()

    def begin_list(self) -> None:
        """Use a new list of keepers besides those that it may not replace yet."""
        listed = self.owner_list.current
        self.agreement.begin_list()
        self.digest = digest_of(listed)
        first, *others = self.lists
        others = [names for names in others if digest_of(names) != self.digest]
        is_new = len(others) == len(self.lists) - 1
        self.lists = [first, *others, listed.keys()]
        self.steady_at_ms = math.inf
        for organisation, share in list(self.by_organisation.items()):
            if is_new:
                present = rank_quota_owners(organisation, listed)
                share.all_owners = [*share.all_owners, present]
            else:
                share.all_owners = self.all_owners(organisation)
            if not share.is_owner(self.name):
                self.by_organisation.pop(organisation)

    def end_change(self) -> None:
        """Use the present list alone, once it is settled and agreed on."""
        now_ms = self.clock.boot_ms()
        listed = self.owner_list.current
        agreed_at_ms = self.agreement.agreed_at_ms(listed, now_ms)
        steady_at_ms = max(agreed_at_ms, self.owner_list.settled_at_ms)
        if not listed or steady_at_ms > now_ms:
            return
        self.fill_all(steady_at_ms)
        self.lists = [listed.keys()]
        self.steady_at_ms = steady_at_ms
        for share in self.by_organisation.values():
            share.all_owners = share.all_owners[-1:]

    @property
    def is_steady(self) -> bool:
        """Return whether no change of the list of keepers is under way."""
        return self.steady_at_ms < math.inf

    def all_owners(self, organisation: str) -> list[list[str]]:
        """Return the owners of a quota by all lists, the present one last."""
        return [rank_quota_owners(organisation, names) for names in self.lists]

    def find(self, organisation: str) -> OrganisationShare | None:
        """Return the share of an organisation's quota; None if this keeper owns none."""
        self.refresh()
        return self.by_organisation.get(organisation) or self.begin(organisation)

    def begin(self, organisation: str) -> OrganisationShare | None:
        """Return a share that nobody has asked for lately.

        While the list of keepers has not changed and nobody has asked for tokens, its
        bucket has been filling.
        """
        now_ms = self.clock.boot_ms()
        all_owners = self.all_owners(organisation)
        began_at_ms = min(self.steady_at_ms, now_ms)
        share = OrganisationShare(all_owners, began_at_ms, now_ms, self.programs)
        if not share.is_owner(self.name):
            return None
        self.by_organisation[organisation] = share
        return share

    def part_at(self, share: OrganisationShare, at_ms: float) -> float:
        """Return the part of a quota that this keeper may grant at a time, 0 to 1."""
        if share.borrower == self.name:
            usable = 1 + self.leases.count_borrowed(share.lenders, at_ms)
        else:
            usable = int(at_ms >= self.returned_at_ms(share))
        return usable / share.owner_count

    def returned_at_ms(self, share: OrganisationShare) -> float:
        """Return until when the own share of a quota is lent."""
        return self.leases.lent_until_ms.get(share.borrower, 0)

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
        if share.borrower != self.name:
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

    def fill_all(self, now_ms: float) -> None:
        """Let time pass in the buckets of all shares."""
        for share in self.by_organisation.values():
            self.fill(share, now_ms)

    def future(self, share: OrganisationShare, now_ms: float) -> list[Piece]:
        """Return the parts that this keeper may grant, as far as leases are known."""
        return self.pieces(share, now_ms, math.inf)

    @property
    def is_agreed(self) -> bool:
        """Return whether a majority of the keepers agrees on the list."""
        listed = self.owner_list.current
        return self.agreement.is_lasting(listed, self.clock.boot_ms())

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
        if not self.is_steady or not listed or request.borrower == self.name:
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
        now_ms = self.clock.boot_ms()
        self.agreement.record(lender, asked_at_ms, now_ms)
        self.refresh()
        # A lease covers the quotas by the list that it was asked for with.
        if not answer.lent or not self.is_steady:
            return
        lease = self.leases.borrowed.get(lender)
        if lease is None or not lease.covers(now_ms):
            # The former lease is about to be replaced, so its end is applied now.
            self.fill_all(now_ms)
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


def digest_of(names: Iterable[str]) -> int:
    """Return the digest of a list of keepers."""
    return zlib.crc32('\n'.join(sorted(names)).encode())
