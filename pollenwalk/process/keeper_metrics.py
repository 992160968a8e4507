"""Metrics of a keeper."""

from pollenwalk.process.metrics_page import MetricSet


class KeeperMetrics(MetricSet):
    """The counters, gauges and histograms of a keeper."""

    def __init__(self) -> None:
        """Register all metrics."""
        super().__init__()
        self.messages_total = self.counter(
            'keeper_messages_total',
            'Messages answered, by kind.',
        )
        self.unreadable = self.gauge(
            'keeper_unreadable_objects',
            'Entries of the list of keepers that could not be decoded so far.',
        )
        self.answer_seconds = self.histogram(
            'keeper_answer_seconds',
            'Time until an answer, syncs included, by kind.',
        )
        self.connections_closed_total = self.closed_connections('keeper')
        self.held_bytes = self.connection_bytes('keeper')
        self.turns = self.gauge('keeper_turns', 'Turns held.')
        self.turn_bytes = self.gauge('keeper_turn_bytes', 'Bytes of all turns.')
        self.disk_bytes = self.gauge(
            'keeper_disk_bytes', 'Bytes of the log, expired records included.'
        )
        self.pending_bytes = self.gauge(
            'keeper_pending_bytes', 'Bytes that wait for the disk.'
        )
        self.disk_full = self.gauge(
            'keeper_disk_full', 'Whether the disk is nearly full: 0 or 1.'
        )
        self.damaged = self.gauge(
            'keeper_damaged_turns', 'Turns that can not be read any more.'
        )
        self.accounts = self.gauge('keeper_accounts', 'Programs with spent tokens.')
        self.complete = self.gauge(
            'keeper_complete',
            'Whether the keeper can answer for the past: 0 or 1.',
        )
        self.awaited = self.gauge(
            'keeper_awaited_processes',
            'Processes that this keeper waits for, by what it needs from them.',
        )
        self.limits_per_second = self.gauge(
            'keeper_limits_per_second',
            'Sum of the limits of all hosts, in requests a second.',
        )
        self.permits_total = self.counter(
            'keeper_permits_total',
            'Permits for hosts with a limit, by whether they were given.',
        )
        self.quota_tokens_total = self.counter(
            'keeper_quota_tokens_total',
            'Tokens of quotas that were granted.',
        )
        self.quota_organisations = self.gauge(
            'keeper_quota_organisations',
            'Organisations that this keeper was asked for tokens of lately.',
        )

    def count_closed(self, cause: str) -> None:
        """Count a connection that a limit has closed, by the limit."""
        self.connections_closed_total.inc({'cause': cause})
