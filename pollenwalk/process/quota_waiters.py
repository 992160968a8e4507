"""Requests that wait for tokens at a gateway, and what the owners' answers give them."""

import asyncio
import math
from collections.abc import Sequence
from typing import NamedTuple

from pollenwalk.connection.quota_messages import QuotaGrant
from pollenwalk.policy.quota_grants import Batch


class Given(NamedTuple):
    """What a waiting request is told.

    Attributes:
        token: the batch of its token; None for no token.
        wait_ms: time until the token may be used; without a token, until one may be
            found.
        is_known: whether an owner has decided so.
    """

    token: Batch | None
    wait_ms: float
    is_known: bool = True


class Waiter(NamedTuple):
    """A request that waits for the answer of an owner.

    Attributes:
        begins_program: whether it begins a program.
        max_wait_ms: how long it can wait for a token.
        given: future of what it is told.
    """

    begins_program: bool
    max_wait_ms: float
    given: 'asyncio.Future[Given]'

    def tell(self, given: Given) -> bool:
        """Tell the request; return whether it still waits."""
        if self.given.done():
            return False
        self.given.set_result(given)
        return True


def hand_out(waiters: list[Waiter], batch: Batch, count: int) -> int:
    """Give tokens to those that wait for one; return how many are left."""
    for waiter in waiters:
        if count and waiter.tell(Given(batch, 0)):
            count -= 1
    return count


class Answered(NamedTuple):
    """An answer of an owner.

    Attributes:
        owner: name of the owner.
        grant: its answer.
        asked_at_ms: when the question was sent, on the gateway's clock that counts
            suspension.
    """

    owner: str
    grant: QuotaGrant
    asked_at_ms: float

    @property
    def batch(self) -> Batch:
        """Return the batch of the tokens from the owner's bucket."""
        grant = self.grant
        return Batch(
            self.asked_at_ms + grant.validity_ms,
            self.asked_at_ms + grant.validity_ms / 2,
            grant.expires_at_ms,
            self.owner,
            grant.boot_id,
        )

    def token_until(self, validity_ms: float) -> Batch:
        """Return a token that is used at once or not at all.

        Args:
            validity_ms: how long it may be used, from the sending of the question.
        """
        expires_at_ms = self.asked_at_ms + validity_ms
        return Batch(expires_at_ms, expires_at_ms, -math.inf, self.owner, '')

    def hand_out(self, waiters: Sequence[Waiter]) -> tuple[int, int]:
        """Give the tokens to those that wait.

        Args:
            waiters: the requests, those that can wait the least in front.

        Returns:
            How many tokens for calls, and for program starts, are left.
        """
        grant = self.grant
        calls = [one for one in waiters if not one.begins_program]
        starts = [one for one in waiters if one.begins_program]
        reused = self.token_until(grant.reused_validity_ms)
        hand_out(calls, reused, grant.reused)
        left = (
            hand_out(calls, self.batch, grant.calls),
            hand_out(starts, self.batch, grant.starts),
        )
        self.hand_out_later(calls)
        return left

    def hand_out_later(self, calls: list[Waiter]) -> None:
        """Give out tokens that may be used later, each to a call that can wait."""
        waits_ms = list(self.grant.waits_ms)
        for waiter in calls:
            if not waits_ms:
                return
            wait_ms = waits_ms[0]
            token = self.token_until(wait_ms + self.grant.validity_ms)
            if wait_ms <= waiter.max_wait_ms and waiter.tell(Given(token, wait_ms)):
                waits_ms.pop(0)


def earlier(refused: Given, wait_ms: float) -> Given:
    """Return what is told to those without a token, after one more owner's answer."""
    if not refused.is_known:
        return Given(None, wait_ms)
    return Given(None, min(refused.wait_ms, wait_ms))
