"""Metrics of a gateway."""

from pollenwalk.errors import Refusal
from pollenwalk.process.clock import MS_PER_SECOND
from pollenwalk.process.metrics_page import MetricSet


class GatewayMetrics(MetricSet):
    """The counters, gauges and histograms of a gateway."""

    def __init__(self) -> None:
        """Register all metrics."""
        super().__init__()
        self.requests_total = self.counter(
            'gateway_requests_total',
            'Requests by kind of route and by how they ended.',
        )
        self.refused_total = self.counter(
            'gateway_refused_total',
            'Refusals by code and by what is known of the run.',
        )
        self.interrupted_total = self.counter(
            'gateway_interrupted_total',
            'Answers that were broken off after they had begun, by cause.',
        )
        self.sends_total = self.counter(
            'gateway_sends_total',
            'Sends to upstream hosts by what came of them.',
        )
        self.crash_checks_total = self.counter(
            'gateway_crash_checks_total',
            'Broken answers by what shows whether their host has crashed.',
        )
        self.refused_programs_total = self.counter(
            'gateway_refused_programs_total',
            'New programs that were refused, by reason.',
        )
        self.leaving_total = self.counter(
            'gateway_hosts_leaving_total',
            'Hosts that were known to leave by their answers before the list said so.',
        )
        self.store_losses_total = self.counter(
            'gateway_store_losses_total',
            'Answers that the store did not give, by what was asked.',
        )
        self.unreadable = self.gauge(
            'gateway_unreadable_objects',
            'Objects of the store that could not be decoded so far, by what they are.',
        )
        self.request_seconds = self.histogram(
            'gateway_request_seconds',
            'Time of whole requests.',
        )
        self.first_event_seconds = self.histogram(
            'gateway_first_event_seconds',
            'Time until a stream began.',
        )
        self.reserve_seconds = self.histogram(
            'gateway_reserve_seconds',
            'Time until a majority of the keepers had a reservation.',
        )
        self.keep_seconds = self.histogram(
            'gateway_keep_seconds',
            'Time until enough keepers had a turn.',
        )
        self.loop_delay_seconds = self.histogram(
            'gateway_loop_delay_seconds',
            'Delay with which the event loop runs what is ready.',
        )
        self.connections = self.gauge(
            'gateway_caller_connections',
            'Open connections of callers.',
        )
        self.connections_closed_total = self.closed_connections('gateway')
        self.held_bytes = self.connection_bytes('gateway')
        self.pipelined_waiting = self.gauge(
            'gateway_pipelined_requests_waiting',
            'Requests of clients that pipeline which wait for others of them to end.',
        )
        self.memory_bytes = self.gauge(
            'gateway_peak_memory_bytes',
            'Largest resident size of the process so far.',
        )
        self.in_progress = self.gauge(
            'gateway_requests_in_progress',
            'Requests that are not answered yet.',
        )
        self.version = self.gauge(
            'gateway_configuration_version',
            'The version in force; 0 before the first.',
        )
        self.awaited = self.gauge(
            'gateway_awaited_processes',
            'Processes that this gateway waits for, by what it needs from them.',
        )
        self.hosts = self.gauge('gateway_upstream_hosts', 'Upstream hosts listed.')
        self.limited_hosts = self.gauge(
            'gateway_limited_hosts',
            'Upstream hosts that have named a limit.',
        )
        self.limits_per_second = self.gauge(
            'gateway_limits_per_second',
            'Sum of the limits of all hosts, in requests a second.',
        )
        self.permits_total = self.counter(
            'gateway_permits_total',
            'Permits for hosts with a limit, by what came of asking for them.',
        )
        self.quota_tokens_total = self.counter(
            'gateway_quota_tokens_total',
            'Tokens of quotas by what came of them.',
        )
        self.hedges_total = self.counter(
            'gateway_hedges_total',
            'Second attempts for slow calls, by what came of them.',
        )
        self.moved_total = self.counter(
            'gateway_moved_requests_total',
            'Requests that were cancelled at a silent host, to be sent to another one.',
        )
        self.keepers = self.gauge('gateway_keepers', 'Keepers listed.')
        self.keepers_lost = self.gauge(
            'gateway_keepers_lost',
            'Keepers that give no answer.',
        )

    def count_closed(self, cause: str) -> None:
        """Count a connection that a limit has closed, by the limit."""
        self.connections_closed_total.inc({'cause': cause})

    def count_refusal(self, refusal: Refusal) -> None:
        """Count a refused request by its code and outcome."""
        self.refused_total.inc(
            {'code': str(refusal.code), 'outcome': str(refusal.outcome)},
        )

    def count_interruption(self, cause: str) -> None:
        """Count an answer that was broken off after it had begun, by its cause."""
        self.interrupted_total.inc({'cause': cause})

    def count_request(self, kind: str, outcome: str, took_ms: float) -> None:
        """Count a request by its outcome and record its duration.

        Args:
            kind: the kind of its route.
            outcome: how it ended.
            took_ms: its duration.
        """
        self.requests_total.inc({'kind': kind, 'outcome': outcome})
        self.request_seconds.observe({'kind': kind}, took_ms / MS_PER_SECOND)

    def count_send(self, outcome: str) -> None:
        """Count an attempt to send a call to a host, by its outcome."""
        self.sends_total.inc({'outcome': outcome})

    def count_crash_check(self, outcome: str) -> None:
        """Count a broken answer by what shows whether its host has crashed."""
        self.crash_checks_total.inc({'outcome': str(outcome)})

    def count_refused_program(self, reason: str) -> None:
        """Count a new program that was refused, by the reason."""
        self.refused_programs_total.inc({'reason': reason})

    def count_permit(self, outcome: str) -> None:
        """Count a permit that was asked for, by its outcome."""
        self.permits_total.inc({'outcome': outcome})

    def count_quota_tokens(self, outcome: str, count: int = 1) -> None:
        """Count tokens of quotas by what came of them."""
        if count:
            self.quota_tokens_total.inc({'outcome': outcome}, count)

    def count_hedge(self, outcome: str) -> None:
        """Count what became of a second attempt: started, won or refused."""
        self.hedges_total.inc({'outcome': outcome})

    def count_store_failure(self, what: str) -> None:
        """Count a read of the store that was not answered, by what was read."""
        self.store_losses_total.inc({'what': what})
