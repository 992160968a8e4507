"""The entry as seen by its components.

A protocol, so that the components don't import the class that is built from
them.
"""

from typing import Protocol

from pollenwalk.process.adoption import Adoption
from pollenwalk.process.clock import Clock
from pollenwalk.process.directory import Directory, EntryRecord
from pollenwalk.process.fleet import Fleet
from pollenwalk.process.journal import Journal
from pollenwalk.process.liveness import Liveness
from pollenwalk.process.peers import Peers
from pollenwalk.process.program_owner import ProgramOwner
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.witness import WitnessLog
from pollenwalk.request.routing import Routing


class MonitorSettings(Protocol):
    """The settings that the monitoring of other entries needs.

    Attributes:
        address: `ip:port` where peers reach this entry.
        witnesses: how many other entries keep copies of its journal batches.
    """

    address: str
    witnesses: int


class EntryInterface(Protocol):
    """What the entry's service and its monitoring of other entries need of it.

    The attributes that are not described are the entry's components, each
    described by its class.

    Attributes:
        settings: its address and its number of witnesses.
        incarnation: id of the current incarnation.
        ready: whether the current incarnation is registered and may own
            programs.
        stopping: whether the entry is shutting down.
    """

    settings: MonitorSettings
    incarnation: str
    ready: bool
    stopping: bool
    clock: Clock
    tasks: TaskSet
    owner: ProgramOwner
    journal: Journal
    directory: Directory
    liveness: Liveness
    fleet: Fleet
    peers: Peers
    adoption: Adoption
    routing: Routing
    witness_log: WitnessLog

    @property
    def own_record(self) -> EntryRecord:
        """Return this entry's record as it is written at registration."""

    async def take_over(self, dead: str) -> bool:
        """Take over an entry that is dead or hands over its programs.

        Returns:
            Whether its programs are here now.
        """
