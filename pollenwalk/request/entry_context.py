"""What an entry provides for running the calls of its programs."""

import random
from typing import NamedTuple

from pollenwalk.policy.placement import Placement
from pollenwalk.process.clock import Clock
from pollenwalk.process.fleet import Fleet, Location
from pollenwalk.process.recorder import Recorder
from pollenwalk.process.traces import Tracer
from pollenwalk.process.witness import PeerSource
from pollenwalk.request.retry import RetryBudgets
from pollenwalk.version.config import AcceptedResources


class EntryContext(NamedTuple):
    """What an entry provides for running the calls of its programs.

    Attributes:
        incarnation: id of this start of the entry.
        clock: the process's clock.
        rng: the process's random number generator.
        location: zone and region of the entry.
        config: the declarations in force.
        fleet: the upstream hosts and their load.
        peers: returns the peer at an address.
        placement: the policy that chooses a host.
        retries: the retry budgets.
        recorder: writes records to the journal and applies them.
        tracer: creates the spans of calls.
    """

    incarnation: str
    clock: Clock
    rng: random.Random
    location: Location
    config: AcceptedResources
    fleet: Fleet
    peers: PeerSource
    placement: Placement
    retries: RetryBudgets
    recorder: Recorder
    tracer: Tracer
