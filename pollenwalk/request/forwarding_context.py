"""The parts of a gateway that are used to forward calls."""

import random
from typing import NamedTuple

from pollenwalk.connection.connection_pool import ConnectionPool
from pollenwalk.process.call_placer import CallPlacer
from pollenwalk.process.clock import Clock
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.hedging import Hedging
from pollenwalk.process.load_admission import LoadAdmission
from pollenwalk.process.permit_client import PermitClient
from pollenwalk.process.quota_client import QuotaClient
from pollenwalk.process.silent_hosts import SilentHosts
from pollenwalk.process.stream_registry import StreamRegistry


class ForwardingContext(NamedTuple):
    """The parts of a gateway that are used to forward calls.

    Attributes:
        clock: the process's clock.
        pool: idle connections to hosts.
        call_placer: chooses hosts and learns run times.
        metrics: the gateway's metrics.
        rng: the process's random number generator.
        streams: records and finds where streams began.
        permits: obtains permits for hosts with a limit.
        quotas: takes a token of the organisation's quota for each send; None if no
            quotas are kept.
        hedging: allows second attempts; None if no call has one.
        admission: decides on urgent and new programs; None for no such decisions.
        silent_hosts: watches hosts that answer nothing; None if they are not avoided.
    """

    clock: Clock
    pool: ConnectionPool
    call_placer: CallPlacer
    metrics: GatewayMetrics
    rng: random.Random
    streams: StreamRegistry
    permits: PermitClient
    quotas: QuotaClient | None = None
    hedging: Hedging | None = None
    admission: LoadAdmission | None = None
    silent_hosts: SilentHosts | None = None
