"""Tokens at a gateway, and the buckets of an owner."""

import testtools

from pollenwalk.policy.quota_bucket import CallsPerProgram, QuotaBound, TokenBucket
from pollenwalk.policy.quota_grants import Batch, OrganisationTokens

BOUND = QuotaBound(5000, 0.1, 20)
VALIDITY_MS = 2000.0
ROUND_TRIP_MS = 60.0


def batch(granted_ms: float) -> Batch:
    """Return a batch that was granted at a time."""
    expires_at_ms = granted_ms + VALIDITY_MS
    returns_at_ms = granted_ms + VALIDITY_MS / 2
    return Batch(expires_at_ms, returns_at_ms, expires_at_ms, 'a', 'b')


class TokensTest(testtools.TestCase):
    """What a gateway holds, asks for and returns."""

    def make_tokens(self, count: int) -> OrganisationTokens:
        """Return some tokens that are granted at 0."""
        tokens = OrganisationTokens(0)
        tokens.validity_ms = VALIDITY_MS
        tokens.calls.add(batch(0), count)
        return tokens

    def test_expired_tokens_are_not_used(self) -> None:
        # A gateway that was frozen holds tokens of another time.
        tokens = self.make_tokens(2)
        self.assertIsNotNone(tokens.take(False, VALIDITY_MS - 1))
        self.assertIsNone(tokens.take(False, VALIDITY_MS))
        self.assertEqual((1, 0), (tokens.take_expired(), tokens.held))

    def test_program_start_needs_a_token_for_starts(self) -> None:
        tokens = self.make_tokens(1)
        self.assertIsNone(tokens.take(True, 1))
        tokens.starts.add(batch(0), 2)
        self.assertIsNotNone(tokens.take(True, 1))
        for _ in range(2):
            self.assertIsNotNone(tokens.take(False, 1))
        self.assertIsNone(tokens.take(False, 1))

    def test_rare_requests_ask_for_nothing_in_advance(self) -> None:
        # Their tokens would expire unused and be lost to others.
        tokens = self.make_tokens(0)
        for second in range(5):
            tokens.request(False, second * 4000.0)
        self.assertEqual((0, 0), tokens.spares_wanted(16_000))

    def test_steady_requests_ask_for_a_round_trip(self) -> None:
        tokens = self.make_tokens(0)
        for number in range(400):
            tokens.request(False, number * 10.0)
        calls, starts = tokens.spares_wanted(4000)
        self.assertTrue(calls >= ROUND_TRIP_MS / 10, calls)
        self.assertTrue(calls <= VALIDITY_MS / 10, calls)
        self.assertEqual(0, starts)

    def test_nothing_is_asked_for_soon_after_a_refusal(self) -> None:
        tokens = self.make_tokens(0)
        for number in range(400):
            tokens.request(False, number * 10.0)
        tokens.note_spares(20, 3, 4000)
        self.assertEqual((0, 0), tokens.spares_wanted(4001))

    def test_unneeded_tokens_are_returned_in_time(self) -> None:
        tokens = self.make_tokens(5)
        self.assertEqual([], tokens.take_unneeded(VALIDITY_MS / 2 - 1))
        returned = tokens.take_unneeded(VALIDITY_MS / 2)
        self.assertEqual([5], [count for _, count in returned])
        self.assertEqual(0, tokens.held)

    def test_tokens_that_are_needed_are_kept(self) -> None:
        tokens = self.make_tokens(5)
        for number in range(400):
            tokens.calls.rate.add(number * 10.0 - 3000)
        self.assertEqual([], tokens.take_unneeded(VALIDITY_MS / 2))
        self.assertEqual(5, tokens.held)


class BucketTest(testtools.TestCase):
    """What an owner's bucket holds over time."""

    def test_validity_and_capacity_stay_within_the_bound(self) -> None:
        for rate_per_s in (0.1, 1, 7, 20, 100, 500, 5000):
            for burst in (0, 1, 20, 1000):
                validity_ms = BOUND.validity_ms(rate_per_s, burst)
                used_ms = BOUND.window_ms + validity_ms
                most = BOUND.capacity(rate_per_s, burst) + rate_per_s * used_ms / 1000
                self.assertTrue(most <= BOUND.most(rate_per_s, burst))

    def test_level_is_cut_where_the_part_falls(self) -> None:
        # A share that returns to its lender takes its tokens with it.
        bucket = TokenBucket(0)
        bucket.fill([(10_000, 1), (10_001, 1 / 3), (10_002, 1)], 3, 9)
        self.assertAlmostEqual(3, bucket.level, 1)

    def test_wait_follows_the_leases(self) -> None:
        bucket = TokenBucket(0)
        future = [(500.0, 1), (float('inf'), 0.5)]
        self.assertEqual(250, bucket.wait_ms(1, future, 4))
        self.assertEqual(1000, bucket.wait_ms(3, future, 4))
        self.assertEqual(float('inf'), bucket.wait_ms(3, [(500.0, 1)], 4))

    def test_calls_per_program_are_learned(self) -> None:
        programs = CallsPerProgram(0)
        self.assertEqual(8, programs.mean)
        for number in range(100):
            programs.add(3, 1, number * 10.0)
        self.assertTrue(2.9 <= programs.mean <= 3.2, programs.mean)
