"""What an entry gives the code that runs calls."""

import random
from typing import NamedTuple

from pollenwalk.policy.placement import Placement
from pollenwalk.process.clock import Clock
from pollenwalk.process.fleet import Fleet, Location
from pollenwalk.process.recorder import Recorder
from pollenwalk.process.traces import Tracer
from pollenwalk.process.witness import PeerSource
from pollenwalk.request.retry import RetryBudgets
from pollenwalk.version.config import Configuration


class EntryContext(NamedTuple):
    """What an entry gives the code that runs calls."""

    incarnation: str
    clock: Clock
    rng: random.Random
    location: Location
    config: Configuration
    fleet: Fleet
    peers: PeerSource
    placement: Placement
    retries: RetryBudgets
    recorder: Recorder
    tracer: Tracer
