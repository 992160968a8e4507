"""Tests of what counts as a sign that a host is silent."""

import testtools

from pollenwalk.policy.silent_hosts import (
    MIN_SILENCE_MS,
    HostEvidence,
    LatestAnswers,
    SentRequest,
    is_silent,
)

SENT_MS = 1000.0
OTHERS_ANSWER = HostEvidence(0, 1, SENT_MS + 1)
QUICK = SentRequest(SENT_MS, 50)


class SilenceTest(testtools.TestCase):
    """A host with requests that were sent at SENT_MS."""

    def check_after(
        self, wait_ms: float, host: HostEvidence, *requests: SentRequest
    ) -> None:
        """Check that the host is taken for silent after this wait, not before."""
        for late_ms, expected in ((-1, False), (1, True)):
            now_ms = SENT_MS + wait_ms + late_ms
            self.assertEqual(expected, is_silent(requests, host, now_ms), late_ms)

    def test_wait_grows_with_what_is_expected(self) -> None:
        """Guards against hosts that are suspected while they work as expected."""
        slow_host = OTHERS_ANSWER._replace(slowness=3)
        fast_host = OTHERS_ANSWER._replace(slowness=0.5)
        slow_route = QUICK._replace(expected_ms=200)
        self.check_after(MIN_SILENCE_MS, OTHERS_ANSWER, QUICK)
        self.check_after(MIN_SILENCE_MS, fast_host, QUICK)
        self.check_after(MIN_SILENCE_MS * 3, slow_host, QUICK)
        self.check_after(800, OTHERS_ANSWER, slow_route)
        self.check_after(2400, slow_host, slow_route)
        queued = QUICK._replace(queue_ms=500)
        self.check_after(500 + MIN_SILENCE_MS, OTHERS_ANSWER, queued)
        self.check_after(MIN_SILENCE_MS, OTHERS_ANSWER, slow_route, queued, QUICK)

    def test_hosts_that_are_not_silent(self) -> None:
        """Guards against suspicion without evidence, as when all hosts are slow."""
        late_ms = SENT_MS + 100_000
        answers = OTHERS_ANSWER._replace(last_sign_ms=SENT_MS + 1)
        all_slow = OTHERS_ANSWER._replace(answered_elsewhere_ms=SENT_MS)
        self.assertFalse(is_silent([QUICK], answers, late_ms))
        self.assertFalse(is_silent([QUICK], all_slow, late_ms))
        self.assertFalse(is_silent([], OTHERS_ANSWER, late_ms))

    def test_only_other_hosts_count(self) -> None:
        """Guards against a host whose own answers make it look silent."""
        answers = LatestAnswers()
        for host, sent_ms in (('a', 5), ('b', 9), ('a', 7), ('c', 8), ('b', 3)):
            answers.record(host, sent_ms)
        sent = [answers.sent_ms_except(host) for host in ('a', 'b', 'c')]
        self.assertEqual([9, 8, 9], sent)
