"""Tokens of one organisation that a gateway holds, and how many more it should ask for.

Times are on a clock that counts suspension, so that a gateway that was frozen finds its
tokens expired.
"""

import math
from collections import deque
from typing import NamedTuple

MS_PER_SECOND = 1000
# Time constant of the estimated rate: about the time between the calls of a program.
RATE_TIME_MS = 2000.0
# Tokens are asked for in advance for this time beyond a round trip.
MARGIN_MS = 100.0
# Tokens are asked for in advance only where one is expected to be used within this part of
# its validity. With half of it, 0.45 instead of 0.29 of the calls waited for a round trip
# (80 requests/s over 26 gateways); with twice it, idle gateways hold too many tokens.
USED_SHARE = 1.0
# Tokens that are unused after this part of their validity are returned if the expected
# requests don't need them.
RETURN_SHARE = 0.5
# After an owner has granted no token in advance, it is not asked for any for this long.
REFUSED_PAUSE_MS = 250.0
# Round trip that is assumed before one was measured; between regions it is 60 ms.
INITIAL_ROUND_TRIP_MS = 60.0
# Weight of the latest round trip in their mean.
ROUND_TRIP_WEIGHT = 0.2


class RateEstimate:
    """The rate of events, with exponentially decaying weights.

    Attributes:
        per_ms: the rate as of `at_ms`, without the last event. With it, a single event
            would look like a steady rate.
        at_ms: time of the last event.
        has_events: whether there was any event.
    """

    def __init__(self, now_ms: float) -> None:
        """Start without events."""
        self.per_ms = 0.0
        self.at_ms = now_ms
        self.has_events = False

    def add(self, now_ms: float) -> None:
        """Count one event."""
        last = 1 / RATE_TIME_MS if self.has_events else 0
        decay = math.exp((self.at_ms - now_ms) / RATE_TIME_MS)
        self.per_ms = (self.per_ms + last) * decay
        self.at_ms = now_ms
        self.has_events = True

    def at(self, now_ms: float) -> float:
        """Return the rate in events a ms."""
        return self.per_ms * math.exp((self.at_ms - now_ms) / RATE_TIME_MS)


class Batch(NamedTuple):
    """Tokens that were granted together.

    Attributes:
        expires_at_ms: when they expire on the gateway's clock.
        returns_at_ms: when they are returned unless they are needed.
        owner_expires_at_ms: when they expire on the owner's clock.
        owner: name of the owner.
        boot_id: the start of the owner.
    """

    expires_at_ms: float
    returns_at_ms: float
    owner_expires_at_ms: float
    owner: str
    boot_id: str


class TokenStock:
    """Tokens of one kind, and the rate at which they are used.

    Attributes:
        batches: the batches, those that expire first in front, each with a count.
        rate: estimate of the rate of requests.
        held: number of tokens in all batches.
        expired: number of tokens that have expired unused.
    """

    def __init__(self, now_ms: float) -> None:
        """Start without tokens."""
        self.batches: deque[tuple[Batch, int]] = deque()
        self.rate = RateEstimate(now_ms)
        self.held = 0
        self.expired = 0

    def add(self, batch: Batch, count: int) -> None:
        """Add tokens, which expire after those at hand, or almost so."""
        if count > 0:
            self.batches.append((batch, count))
            self.held += count

    def take(self, now_ms: float) -> Batch | None:
        """Take one token; return the batch that it is of, or None for no token."""
        self.drop_expired(now_ms)
        if not self.batches:
            return None
        batch, count = self.batches.popleft()
        if count > 1:
            self.batches.appendleft((batch, count - 1))
        self.held -= 1
        return batch

    def put_back(self, batch: Batch) -> None:
        """Put back a token that was taken and not used."""
        self.batches.appendleft((batch, 1))
        self.held += 1

    def drop_expired(self, now_ms: float) -> None:
        """Drop the tokens that have expired."""
        while self.batches and self.batches[0][0].expires_at_ms <= now_ms:
            count = self.batches.popleft()[1]
            self.expired += count
            self.held -= count

    def spare_wanted(
        self, now_ms: float, round_trip_ms: float, validity_ms: float
    ) -> int:
        """Return how many tokens should be asked for in advance.

        They cover the expected requests of a round trip and MARGIN_MS. None are asked
        for unless one is likely to be used before it expires.
        """
        per_ms = self.rate.at(now_ms)
        if per_ms * validity_ms * USED_SHARE < 1:
            return 0
        low = per_ms * (round_trip_ms + MARGIN_MS)
        if self.held > low:
            return 0
        useful = per_ms * validity_ms * USED_SHARE
        target = min(max(low * 2, 1), useful)
        return max(math.ceil(target) - self.held, 0)

    def take_unneeded(self, now_ms: float) -> list[tuple[Batch, int]]:
        """Take those old tokens that the expected requests will not use."""
        self.drop_expired(now_ms)
        unneeded = []
        per_ms = self.rate.at(now_ms)
        kept: deque[tuple[Batch, int]] = deque()
        needed_before = 0
        for batch, count in self.batches:
            expected = per_ms * (batch.expires_at_ms - now_ms) - needed_before
            keep = count
            if batch.returns_at_ms <= now_ms:
                keep = min(count, max(math.floor(expected), 0))
            if keep:
                kept.append((batch, keep))
            if keep < count:
                unneeded.append((batch, count - keep))
            needed_before += keep
        self.batches = kept
        self.held = needed_before
        return unneeded


class OrganisationTokens:
    """What a gateway holds for one organisation.

    Attributes:
        calls: tokens for calls.
        starts: tokens for program starts.
        validity_ms: validity of the tokens that were granted last; 0 for none yet.
        round_trip_ms: mean time until the owner's answer.
        no_spares_until_ms: until when no tokens are asked for in advance.
        used_at_ms: time of the last request.
    """

    def __init__(self, now_ms: float) -> None:
        """Start without tokens."""
        self.calls = TokenStock(now_ms)
        self.starts = TokenStock(now_ms)
        self.validity_ms = 0.0
        self.round_trip_ms = INITIAL_ROUND_TRIP_MS
        self.no_spares_until_ms = 0.0
        self.used_at_ms = now_ms

    @property
    def held(self) -> int:
        """Return the number of tokens at hand."""
        return self.calls.held + self.starts.held

    def request(self, begins_program: bool, now_ms: float) -> Batch | None:
        """Count a request, and take a token for it if there is one."""
        self.used_at_ms = now_ms
        stock = self.starts if begins_program else self.calls
        stock.rate.add(now_ms)
        return self.take(begins_program, now_ms)

    def take(self, begins_program: bool, now_ms: float) -> Batch | None:
        """Take a token if there is one; one for a start is good for a call, too."""
        token = None if begins_program else self.calls.take(now_ms)
        return token or self.starts.take(now_ms)

    def spares_wanted(self, now_ms: float) -> tuple[int, int]:
        """Return how many tokens for calls and starts should be asked for in advance."""
        if now_ms < self.no_spares_until_ms:
            return 0, 0
        measured = now_ms, self.round_trip_ms, self.validity_ms
        return self.calls.spare_wanted(*measured), self.starts.spare_wanted(*measured)

    def note_round_trip(self, took_ms: float) -> None:
        """Note the time until an owner's answer."""
        self.round_trip_ms += ROUND_TRIP_WEIGHT * (took_ms - self.round_trip_ms)

    def note_spares(self, wanted: int, granted: int, now_ms: float) -> None:
        """Note how many of the tokens that were asked for in advance were granted."""
        if granted < wanted:
            self.no_spares_until_ms = now_ms + REFUSED_PAUSE_MS

    def take_unneeded(self, now_ms: float) -> list[tuple[Batch, int]]:
        """Take old tokens that the expected requests will not use."""
        if not self.held:
            return []
        return self.calls.take_unneeded(now_ms) + self.starts.take_unneeded(now_ms)

    def take_expired(self) -> int:
        """Return how many tokens have expired since the last call."""
        expired = self.calls.expired + self.starts.expired
        self.calls.expired = 0
        self.starts.expired = 0
        return expired
