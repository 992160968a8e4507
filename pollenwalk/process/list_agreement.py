"""Agreement of a majority of the keepers on the list of keepers.

Other keepers are asked at regular intervals whether they have the same list. An answer
counts for `contact_ms`, also after the list has changed, if the other keeper has agreed
without a break for that long before, with whatever list this keeper had. One that moved
on to a list which this keeper has not seen, and came back, does not count at once.

A new list is agreed on when a majority has had it for `contact_ms`. By then, the answers
that these gave to keepers with a former list are too old to count.
"""

import math
from collections.abc import Collection
from typing import NamedTuple


class Contact(NamedTuple):
    """The agreement of one other keeper.

    Attributes:
        since_ms: since when it has agreed without a break, also on former lists.
        same_since_ms: since when it has agreed on the present list; infinite if it has
            not yet.
        asked_at_ms: when it was asked last that agreed.
    """

    since_ms: float
    same_since_ms: float
    asked_at_ms: float


class ListAgreement:
    """Which other keepers agree on the list of keepers.

    Attributes:
        name: name of this keeper, which agrees with itself.
        contact_ms: how long an answer counts.
        contacts: the agreement of the others, by name.
    """

    def __init__(self, name: str, contact_ms: float) -> None:
        """Start without an answer."""
        self.name = name
        self.contact_ms = contact_ms
        self.contacts: dict[str, Contact] = {}

    def begin_list(self) -> None:
        """Note that the list has changed: nobody has agreed on the new one."""
        self.contacts = {
            name: contact._replace(same_since_ms=math.inf)
            for name, contact in self.contacts.items()
        }

    def record(self, name: str, asked_at_ms: float, now_ms: float) -> None:
        """Record that another keeper has the present list.

        Args:
            name: its name.
            asked_at_ms: when it was asked.
            now_ms: the current time. It had the list at some time between both.
        """
        former = self.contacts.get(name)
        if former is None or asked_at_ms - former.asked_at_ms > self.contact_ms:
            self.contacts[name] = Contact(now_ms, now_ms, asked_at_ms)
            return
        self.contacts[name] = Contact(
            former.since_ms,
            min(former.same_since_ms, now_ms),
            max(former.asked_at_ms, asked_at_ms),
        )

    def is_lasting(self, names: Collection[str], now_ms: float) -> bool:
        """Return whether a majority of some keepers has agreed for long enough."""
        lasting = sum(
            contact.asked_at_ms - contact.since_ms >= self.contact_ms
            for contact in self.reached(names, now_ms)
        )
        return lasting >= needed(names)

    def agreed_at_ms(self, names: Collection[str], now_ms: float) -> float:
        """Return when a majority had the present list for long enough.

        Returns:
            A time; infinite if no majority has had it for `contact_ms`.
        """
        agreed_ms = sorted(
            contact.same_since_ms + self.contact_ms
            for contact in self.reached(names, now_ms)
            if contact.asked_at_ms - contact.same_since_ms >= self.contact_ms
        )
        count = needed(names)
        if not count:
            return -math.inf
        return agreed_ms[count - 1] if len(agreed_ms) >= count else math.inf

    def reached(self, names: Collection[str], now_ms: float) -> list[Contact]:
        """Return the agreement of the other keepers whose answers count."""
        contacts = (self.contacts.get(name) for name in names if name != self.name)
        oldest_ms = now_ms - self.contact_ms
        return [one for one in contacts if one and one.asked_at_ms >= oldest_ms]


def needed(names: Collection[str]) -> int:
    """Return how many other keepers make a majority together with this one."""
    return len(names) // 2
