"""A gateway's ways to the keepers, and which of them are open.

A keeper that gave no answer in time is lost until a probe reaches it; until
then it is not asked, so that nothing waits for it in vain.
"""

from typing import Any

from loguru import logger

from pollenwalk.connection.channel import StreamNetwork
from pollenwalk.connection.peer import Peer
from pollenwalk.errors import ConnectionLost, PollenwalkError
from pollenwalk.process.clock import Clock
from pollenwalk.process.keeper_members import Member, Members
from pollenwalk.process.tasks import TaskSet
from pollenwalk.program.turns import Settlements

# A round trip between regions, two syncs and a lost packet.
ASK_TIMEOUT_MS = 700.0
# A lost keeper is probed so often; a process is back within a second.
PROBE_EVERY_MS = 200.0
# Zones by their distance.
SAME_ZONE = 0
SAME_REGION = 1
OTHER_REGION = 2


class KeeperLink:
    """One keeper as a gateway sees it.

    Attributes:
        member: as the store lists it.
        distance: rank of its zone.
        lost_since_ms: since when it gives no answer; None while it does.
    """

    def __init__(self, member: Member, peer: Peer, distance: int) -> None:
        """Trust a new keeper."""
        self.member = member
        self.peer = peer
        self.distance = distance
        self.lost_since_ms: float | None = None


class KeeperLinks:
    """The links to all keepers that the store lists."""

    def __init__(
        self,
        network: StreamNetwork,
        clock: Clock,
        tasks: TaskSet,
        zone: str,
        regions: dict[str, str],
    ) -> None:
        """Start with none known."""
        self.network = network
        self.clock = clock
        self.tasks = tasks
        self.zone = zone
        self.regions = regions
        self.members = Members()
        self.by_name: dict[str, KeeperLink] = {}

    def ordered(self) -> list[KeeperLink]:
        """Give all keepers, those that answer and stand near first."""
        links = [self.link(member) for member in self.members.by_name.values()]
        return sorted(
            links,
            key=lambda link: (
                link.lost_since_ms is not None,
                link.distance,
                link.member.name,
            ),
        )

    def link(self, member: Member) -> KeeperLink:
        """Give the link to a keeper, a new one where its address is new."""
        known = self.by_name.get(member.name)
        if known is None or known.member.address != member.address:
            peer = Peer(member.address, self.network, self.clock, self.tasks)
            peer.close_on_timeout = True
            known = KeeperLink(member, peer, self.distance(member.zone))
            self.by_name[member.name] = known
        known.member = member
        return known

    def distance(self, zone: str) -> int:
        """Rank a zone: this one, this region, another region."""
        if zone == self.zone:
            return SAME_ZONE
        same = self.regions.get(zone) == self.regions.get(self.zone)
        return SAME_REGION if same else OTHER_REGION

    @property
    def majority(self) -> int:
        """Give how many keepers decide on budgets."""
        return len(self.members.by_name) // 2 + 1

    def lost_times_ms(self) -> list[float]:
        """Give since when each lost keeper is lost."""
        lost = (link.lost_since_ms for link in self.ordered())
        return [since_ms for since_ms in lost if since_ms is not None]

    @property
    def has_majority(self) -> bool:
        """Tell whether a majority of the keepers answers."""
        answering = len(self.members.by_name) - len(self.lost_times_ms())
        return answering >= self.majority

    @property
    def without_majority_ms(self) -> float:
        """Give for how long no majority has answered; 0 while one does."""
        if self.has_majority:
            return 0
        since_ms = max(self.lost_times_ms(), default=self.clock.now_ms())
        return self.clock.now_ms() - since_ms

    async def ask(self, link: KeeperLink, message: Any) -> Any:
        """Ask one keeper.

        Raises:
            PollenwalkError: it gave no answer, or is known to give none.
        """
        if link.lost_since_ms is not None:
            raise ConnectionLost(f'{link.member.name} is lost')
        try:
            return await link.peer.request(message, ASK_TIMEOUT_MS)
        except ConnectionLost as error:
            self.mark_lost(link, error)
            raise

    def mark_lost(self, link: KeeperLink, error: PollenwalkError) -> None:
        """Take a keeper for lost and begin to probe it."""
        if link.lost_since_ms is not None:
            return
        link.lost_since_ms = self.clock.now_ms()
        logger.warning(
            'keeper_lost',
            keeper=link.member.name,
            address=link.member.address,
            reason=error.message,
        )
        self.tasks.spawn(self.probe(link), 'probe')

    async def probe(self, link: KeeperLink) -> None:
        """Ask a lost keeper until it answers or is no longer listed."""
        while self.by_name.get(link.member.name) is link:
            try:
                await link.peer.request(Settlements([]), ASK_TIMEOUT_MS)
            except PollenwalkError:
                # Already logged as lost.
                await self.clock.sleep_ms(PROBE_EVERY_MS)
                continue
            since_ms = link.lost_since_ms or 0
            link.lost_since_ms = None
            logger.info(
                'keeper_regained',
                keeper=link.member.name,
                lost_for_ms=round(self.clock.now_ms() - since_ms),
            )
            return
