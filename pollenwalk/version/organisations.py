"""Organisations of a deployment, their API keys and their quotas."""

from collections.abc import Iterable
from typing import NamedTuple


class Organisation(NamedTuple):
    """A customer of the deployment, as the configuration declares it.

    Attributes:
        name: name of the organisation, as upstream hosts are told it.
        api_keys: keys with which its callers identify themselves.
        priority: priority of its calls, 0 is the most urgent; None if not declared.
        rate_per_s: requests a second that it may send through all gateways
            together; 0 for no limit.
        burst: requests that it may send at once beyond that rate.
    """

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0

    @property
    def has_quota(self) -> bool:
        """Return whether the number of its requests is limited."""
        return self.rate_per_s > 0


def index_keys(organisations: Iterable[Organisation]) -> dict[str, Organisation]:
    """Return the organisations by their keys.

    A key that two organisations claim identifies neither, as it is not known whose
    data a caller with that key may see.
    """
    by_key: dict[str, Organisation] = {}
    claimed_twice: set[str] = set()
    for organisation in organisations:
        for key in set(organisation.api_keys):
            if key in by_key:
                claimed_twice.add(key)
            by_key[key] = organisation
    for key in claimed_twice:
        by_key.pop(key)
    return by_key
