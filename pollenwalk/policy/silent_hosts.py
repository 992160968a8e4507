"""Detection of hosts that accept requests and answer none of them.

Nothing here knows of connections: the gateway says what it has sent and what it has
seen, in ms on one clock.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

# A host is not taken for silent before a request has waited this long, which covers a lost
# packet that is sent again, and a short pause of the host or the gateway.
MIN_SILENCE_MS = 300.0
# Nor before a request has waited this many times its expected time.
EXPECTED_TIMES = 4.0
# For how long a silent host is suspected at least. A request that probes the host may
# wait until its deadline, so with less a gateway could lose a request each second.
SILENT_SUSPICION_MS = 2000.0
# How much longer a host is spared requests that may run only once: such a request
# can't be moved if the host is still silent, so that an idempotent one goes first.
UNREPEATABLE_PROBE_DELAY_MS = 1000.0


class SentRequest(NamedTuple):
    """A request that a host has not begun to answer.

    Attributes:
        sent_ms: time at which it was sent.
        expected_ms: expected time from its start until the answer begins.
        queue_ms: expected wait for a slot of the host; 0 if one was believed free.
    """

    sent_ms: float
    expected_ms: float
    queue_ms: float = 0


class HostEvidence(NamedTuple):
    """What a gateway has seen of one host and of the others of its upstream.

    Attributes:
        last_sign_ms: time of the last byte of any answer of the host.
        slowness: how long work takes there by its last report, as a multiple of the
            usual time; below 1 if it is faster.
        answered_elsewhere_ms: the latest time at which a request was sent that another
            host has begun to answer in time.
    """

    last_sign_ms: float
    slowness: float
    answered_elsewhere_ms: float


def allowed_wait_ms(request: SentRequest, slowness: float) -> float:
    """Return how long a request may wait for the beginning of its answer."""
    usual_ms = max(MIN_SILENCE_MS, request.expected_ms * EXPECTED_TIMES)
    return request.queue_ms + usual_ms * max(slowness, 1)


def is_timely(request: SentRequest, took_ms: float) -> bool:
    """Return whether an answer shows that other hosts should have answered by now.

    If all hosts are slow, some are slower than others, so that a late answer to a later
    request shows nothing.

    Args:
        request: the request that was answered.
        took_ms: time until its answer began.
    """
    return took_ms <= allowed_wait_ms(request, 1)


def shows_silence(request: SentRequest, host: HostEvidence, now_ms: float) -> bool:
    """Return whether the wait of a request shows that its host is silent.

    If no host has begun to answer a later request in time, all of them may be slow.
    """
    if request.sent_ms < host.last_sign_ms:
        return False
    if host.answered_elsewhere_ms <= request.sent_ms:
        return False
    return now_ms - request.sent_ms > allowed_wait_ms(request, host.slowness)


def is_silent(
    requests: Iterable[SentRequest], host: HostEvidence, now_ms: float
) -> bool:
    """Return whether a host is silent.

    Args:
        requests: the requests that were sent to the host and have no byte of an answer.
        host: what was seen of the host and the others.
        now_ms: the current time.
    """
    return any(shows_silence(request, host, now_ms) for request in requests)


class AnsweredRequest(NamedTuple):
    """The latest request that one host has begun to answer.

    Attributes:
        host: id of the host; empty if there is none.
        sent_ms: time at which the request was sent.
    """

    host: str = ''
    sent_ms: float = -math.inf


class LatestAnswers:
    """When the latest requests were sent that hosts of one upstream have answered.

    Attributes:
        latest: the latest one of all hosts.
        runner_up: the latest one of the other hosts.
    """

    def __init__(self) -> None:
        """Start without any answer."""
        self.latest = AnsweredRequest()
        self.runner_up = AnsweredRequest()

    def record(self, host: str, sent_ms: float) -> None:
        """Record that a host has begun to answer a request sent at `sent_ms`."""
        answered = AnsweredRequest(host, sent_ms)
        if host == self.latest.host:
            self.latest = max(self.latest, answered, key=sent_time)
        elif sent_ms > self.latest.sent_ms:
            self.runner_up = self.latest
            self.latest = answered
        else:
            self.runner_up = max(self.runner_up, answered, key=sent_time)

    def sent_ms_except(self, host: str) -> float:
        """Return the send time of the latest request that another host answered."""
        other = self.runner_up if self.latest.host == host else self.latest
        return other.sent_ms


def sent_time(answered: AnsweredRequest) -> float:
    """Return the time at which a request was sent."""
    return answered.sent_ms


class HostSilence:
    """What is known of the silence of one host.

    Attributes:
        last_sign_ms: time of the last byte of any answer.
        silent_since_ms: time at which the host was found to be silent; None if it is
            not.
        probe: the request that shows whether the host answers again; None if no request
            has been sent since it was found to be silent, or the last one has ended.
    """

    def __init__(self) -> None:
        """Start with a host that is not silent."""
        self.last_sign_ms = -math.inf
        self.silent_since_ms: float | None = None
        self.probe: object | None = None

    @property
    def is_silent(self) -> bool:
        """Return whether the host has been found to be silent."""
        return self.silent_since_ms is not None

    def begin(self, request: object) -> None:
        """Make a request the probe of a silent host that has none."""
        if self.is_silent and self.probe is None:
            self.probe = request

    def end(self, request: object) -> None:
        """Record that a request has ended; another one may be the probe then."""
        if self.probe is request:
            self.probe = None

    def record_sign(self, now_ms: float) -> float | None:
        """Record a byte of an answer.

        Returns:
            For how long the host was silent, in ms; None if it was not.
        """
        since_ms = self.silent_since_ms
        self.last_sign_ms = now_ms
        self.silent_since_ms = None
        self.probe = None
        return None if since_ms is None else now_ms - since_ms

    def spares(self, repeatable: bool, until_ms: float, now_ms: float) -> bool:
        """Return whether a request should go to another host, as this one is silent.

        Args:
            repeatable: whether the request may run more than once.
            until_ms: time until which the host is suspected for its failures.
            now_ms: the current time.
        """
        if not self.is_silent:
            return False
        delay_ms = 0 if repeatable else UNREPEATABLE_PROBE_DELAY_MS
        return self.probe is not None or now_ms < until_ms + delay_ms
