"""Keeps requests from hosts on which they have crashed too many of them."""

import hashlib
from itertools import chain

from loguru import logger

from pollenwalk.connection.connection_pool import ProbeResult
from pollenwalk.connection.crash_messages import CrashReport
from pollenwalk.connection.limit_messages import TellLimits
from pollenwalk.errors import Outcome, Refusal, RefusalCode
from pollenwalk.policy.crash_verdict import is_given_up
from pollenwalk.process.crash_records import CrashRecords
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.host_table import HostState
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.request.http_messages import Request

DIGEST_BYTES = 16
# Part of the body by which repeats of a request with another end are recognized.
BEGINNING_BYTES = 64
# Requests that ended lately and are remembered, with about 100 bytes each.
MAX_SERVED = 8192
# Characters that are logged of each text that a caller has chosen.
MAX_LOGGED_CHARACTERS = 200


class CrashGuard:
    """Records crashes of this gateway's calls and gives up those to blame.

    A request is known by its whole body, and also by the beginning of it, as a repeat
    may go on differently. The beginning counts only if no request with it has ended
    lately: others may share it, as they share a path.

    Attributes:
        records: the crashes known here, also those of other gateways' calls.
        served: hashes of the beginnings of requests that ended; used as an ordered set.
    """

    def __init__(self, group: KeeperGroup, metrics: GatewayMetrics) -> None:
        """Create a guard that knows no crashes; news goes to the keepers of `group`."""
        self.group = group
        self.metrics = metrics
        self.records = CrashRecords(group.clock)
        self.served: dict[int, None] = {}

    def crashes(self, request: Request) -> int:
        """Return how many crashes count against a request."""
        if not self.records.size:
            return 0
        return max(map(self.records.crashes, self.digests(request)))

    def digests(self, request: Request) -> list[str]:
        """Return the digests by which repeats of a request are recognized."""
        whole, beginning = both_digests(request)
        return [whole] if served_key(request) in self.served else [whole, beginning]

    def check(self, request: Request, outcome: Outcome = Outcome.NOT_RUN) -> None:
        """Refuse a request that has crashed too many hosts.

        Args:
            request: the request as the caller sent it.
            outcome: whether this attempt of the caller has run.

        Raises:
            Refusal: it is not sent to any host any more.
        """
        crashes = self.crashes(request)
        if not is_given_up(crashes):
            return
        logger.info(
            'given_up',
            request=request.metadata.id,
            digests=self.digests(request),
            crashes=crashes,
        )
        raise Refusal(
            RefusalCode.CRASHES_HOSTS,
            f'{crashes} hosts have crashed while they ran this request',
            outcome,
        )

    def record_crash(
        self, request: Request, state: HostState, sent_age_ms: float
    ) -> None:
        """Record that a host has crashed, and tell all keepers.

        Args:
            request: a request that the host had.
            state: the host.
            sent_age_ms: time since the request was sent to it.
        """
        registration = state.registration
        start = f'{registration.id}/{registration.started_ms}'
        digests = self.digests(request)
        reports = tuple(
            CrashReport(
                digest,
                self.records.name_crash(digest, start, sent_age_ms),
                False,
                0,
                sent_age_ms,
            )
            for digest in digests
        )
        self.metrics.count_send('host_crashed')
        self.metrics.count_crash_check(ProbeResult.REFUSED)
        logger.info(
            'crashed_with',
            request=request.metadata.id,
            method=request.method.decode('latin-1'),
            authority=request.host[:MAX_LOGGED_CHARACTERS],
            target=request.target[:MAX_LOGGED_CHARACTERS].decode('latin-1'),
            body_bytes=len(request.body),
            program=request.metadata.program[:MAX_LOGGED_CHARACTERS],
            digests=digests,
            host=registration.id,
            sent_age_ms=round(sent_age_ms),
        )
        for report in reports:
            self.records.learn(report, 'connection')
        self.tell_keepers(reports)

    def record_completion(self, request: Request) -> None:
        """Clear a request of blame, as it has run to its end."""
        if self.records.size:
            # Others may have recorded crashes against a beginning that has ended here.
            cleared = chain.from_iterable(
                map(self.records.clear, both_digests(request))
            )
            reports = tuple(cleared)
            if reports:
                self.tell_keepers(reports)
        self.served.pop(served_key(request), None)
        self.served[served_key(request)] = None
        if len(self.served) > MAX_SERVED:
            self.served.pop(next(iter(self.served)))

    def tell_keepers(self, reports: tuple[CrashReport, ...]) -> None:
        """Tell all keepers of reports, without waiting for them."""
        message = TellLimits([], reports)
        self.group.tasks.spawn(self.group.tell_all(message), 'tell_crashes')


def both_digests(request: Request) -> tuple[str, str]:
    """Return the digests of a request by its whole body and by the beginning of it."""
    return (
        request_digest(request, request.body),
        request_digest(request, request.body[:BEGINNING_BYTES]),
    )


def request_digest(request: Request, body: bytes) -> str:
    """Return a digest of what repeats in all attempts to make a request.

    Each attempt of a caller has an id of its own. Requests without a body are told
    apart by their programs.

    Args:
        request: the request as the caller sent it.
        body: its body without any history, or the beginning of it.
    """
    told_apart_by = body or request.metadata.program.encode()
    parts = (request.method, request.host.encode(), request.target, told_apart_by)
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


def served_key(request: Request) -> int:
    """Return the hash of a request's beginning."""
    told_apart_by = request.body[:BEGINNING_BYTES] or request.metadata.program
    return hash((request.method, request.host, request.target, told_apart_by))
