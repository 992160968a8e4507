"""Connections to the keepers, with the detection of lost ones.

A keeper that does not answer in time is regarded as lost until a probe reaches
it. Until then no requests are sent to it, so that none waits for its timeout.
"""

import zlib
from collections.abc import Iterable
from typing import Any

from loguru import logger

from pollenwalk.connection.channel import StreamNetwork
from pollenwalk.connection.peer import Peer
from pollenwalk.errors import ConnectionLost, PollenwalkError
from pollenwalk.process.clock import Clock
from pollenwalk.process.keeper_members import Member, Members
from pollenwalk.process.tasks import TaskSet
from pollenwalk.program.turns import Chain, FindChain, Settlements

# Timeout of a request: enough for a round trip between regions, two syncs of
# the disk and the retransmission of a lost packet.
REQUEST_TIMEOUT_MS = 700.0
# Interval between the probes of a lost keeper; a process restarts within 1 s.
PROBE_INTERVAL_MS = 200.0
# Any keeper answers it, and it changes nothing.
EMPTY_MESSAGE = Settlements([])
NO_TURN = ''
# Ranks of zones by their distance.
SAME_ZONE = 0
SAME_REGION = 1
OTHER_REGION = 2


class KeeperLink:
    """A connection to a keeper.

    Attributes:
        member: the keeper as the store lists it.
        peer: sends the requests.
        distance: rank of the keeper's zone.
        lost_since_ms: time since which the keeper has not answered; None while
            it answers.
    """

    def __init__(self, member: Member, peer: Peer, distance: int) -> None:
        """Create a connection to a keeper that is not lost."""
        self.member = member
        self.peer = peer
        self.distance = distance
        self.lost_since_ms: float | None = None

    @property
    def is_lost(self) -> bool:
        """Return whether the keeper has not answered and is being probed."""
        return self.lost_since_ms is not None


class KeeperLinks:
    """The connections to all keepers that the store lists.

    Attributes:
        members: the keepers in the store.
        by_name: the connections, by the names of their keepers.
    """

    def __init__(
        self,
        network: StreamNetwork,
        clock: Clock,
        tasks: TaskSet,
        zone: str,
        regions: dict[str, str],
    ) -> None:
        """Create the connections of a process in `zone`; no keeper is known yet."""
        self.network = network
        self.clock = clock
        self.tasks = tasks
        self.zone = zone
        self.regions = regions
        self.members = Members()
        self.by_name: dict[str, KeeperLink] = {}

    def ordered(self) -> list[KeeperLink]:
        """Return all connections: answering keepers first, near ones before others."""
        return self.order(self.members.by_name.values())

    def order(self, members: Iterable[Member]) -> list[KeeperLink]:
        """Return connections: answering keepers first, near ones before others."""
        return sorted(
            map(self.link, members),
            key=lambda link: (
                link.is_lost,
                link.distance,
                link.member.name,
            ),
        )

    def ordered_for(self, key: str) -> list[KeeperLink]:
        """Return all connections: answering keepers first, those of the region first.

        The key spreads the load among keepers of one region; the same key gives the
        same order at all processes of a region.
        """
        return sorted(
            self.ordered(),
            key=lambda link: (
                link.is_lost,
                link.distance == OTHER_REGION,
                zlib.crc32(f'{key} {link.member.name}'.encode()),
            ),
        )

    def of_region(self) -> list[KeeperLink]:
        """Return all connections in an order that is the same in the whole region.

        Answering keepers come first, those of this region before others.
        """
        return sorted(
            self.ordered(),
            key=lambda link: (
                link.is_lost,
                link.distance == OTHER_REGION,
                link.member.name,
            ),
        )

    def first(self) -> KeeperLink | None:
        """Return the connection that all processes choose first; None for none.

        It is to the first keeper by name that answers.
        """
        return min(
            self.ordered(),
            key=lambda link: (link.is_lost, link.member.name),
            default=None,
        )

    def link(self, member: Member) -> KeeperLink:
        """Return the connection to a keeper; a new one if its address has changed."""
        link = self.by_name.get(member.name)
        if link is None or link.member.address != member.address:
            peer = Peer(member.address, self.network, self.clock, self.tasks)
            peer.close_on_timeout = True
            link = KeeperLink(member, peer, self.distance(member.zone))
            self.by_name[member.name] = link
        link.member = member
        return link

    def distance(self, zone: str) -> int:
        """Return the rank of a zone by its distance from this process."""
        if zone == self.zone:
            return SAME_ZONE
        same_region = self.regions.get(zone) == self.regions.get(self.zone)
        return SAME_REGION if same_region else OTHER_REGION

    @property
    def majority(self) -> int:
        """Return how many keepers are a majority of all listed ones."""
        return len(self.members.by_name) // 2 + 1

    def lost_times_ms(self) -> list[float]:
        """Return for each lost keeper the time at which it was lost."""
        lost = (link.lost_since_ms for link in self.ordered())
        return [since_ms for since_ms in lost if since_ms is not None]

    @property
    def has_majority(self) -> bool:
        """Return whether a majority of the keepers answers."""
        answering = len(self.members.by_name) - len(self.lost_times_ms())
        return answering >= self.majority

    @property
    def without_majority_ms(self) -> float:
        """Return for how long no majority has answered; 0 while one answers."""
        if self.has_majority:
            return 0
        since_ms = max(self.lost_times_ms(), default=self.clock.now_ms())
        return self.clock.now_ms() - since_ms

    async def request(
        self,
        link: KeeperLink,
        message: Any,
        timeout_ms: float = REQUEST_TIMEOUT_MS,
    ) -> Any:
        """Send a message to one keeper and return its answer.

        Args:
            link: the connection to the keeper.
            message: the message.
            timeout_ms: time after which the keeper is regarded as lost.

        Raises:
            ConnectionLost: the keeper is lost, or did not answer in time.
            PollenwalkError: the keeper refused.
        """
        if link.is_lost:
            raise ConnectionLost(
                f'keeper {link.member.name} has not answered and is being probed'
            )
        try:
            return await link.peer.request(message, timeout_ms)
        except ConnectionLost as error:
            self.mark_lost(link, error)
            raise

    async def is_complete(self, link: KeeperLink) -> bool:
        """Return whether a keeper answers and has all its records.

        It is asked for a turn that no one has, as each answer about a turn tells that.
        """
        try:
            chain: Chain = await self.request(link, FindChain(NO_TURN))
        except PollenwalkError:
            # `mark_lost` has logged the loss.
            return False
        return chain.complete

    async def reaches(self, name: str) -> bool:
        """Return whether a listed keeper answers now."""
        member = self.members.by_name.get(name)
        if member is None:
            return False
        link = self.link(member)
        await self.is_complete(link)
        return not link.is_lost

    def mark_lost(self, link: KeeperLink, error: PollenwalkError) -> None:
        """Mark a keeper as lost and start to probe it."""
        if link.is_lost:
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
        """Probe a lost keeper until it answers, leaves the list or gets a new connection."""
        name = link.member.name
        while self.by_name.get(name) is link:
            if name not in self.members.by_name:
                self.by_name.pop(name)
                return
            try:
                await link.peer.request(EMPTY_MESSAGE, REQUEST_TIMEOUT_MS)
            except PollenwalkError:
                # The loss has been logged by `mark_lost`.
                await self.clock.sleep_ms(PROBE_INTERVAL_MS)
                continue
            since_ms = link.lost_since_ms or 0
            link.lost_since_ms = None
            logger.info(
                'keeper_regained',
                keeper=link.member.name,
                lost_for_ms=round(self.clock.now_ms() - since_ms),
            )
            return
