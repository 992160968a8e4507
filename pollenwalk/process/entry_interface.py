"""What the parts of an entry's work need of the entry."""

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


class EntryPlace(Protocol):
    """The settings of an entry that its neighbours matter for."""

    address: str
    witnesses: int


class EntryInterface(Protocol):
    """An entry, as those who answer its peers and watch them see it.

    Attributes:
        incarnation: of this start.
        ready: whether it takes programs.
        stopping: whether it hands its programs over.
    """

    settings: EntryPlace
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
    def own(self) -> EntryRecord:
        """Give this entry's record as written at its start."""

    async def take_over(self, dead: str) -> bool:
        """Take a dead entry over; a silent store puts it off."""
