"""The connections of a process to its peers, one for each address."""

from pollenwalk.connection.channel import Network
from pollenwalk.connection.peer import Peer
from pollenwalk.process.clock import Clock
from pollenwalk.process.tasks import TaskSet


class Peers:
    """Peers by address; each is connected at first use.

    Attributes:
        incarnation: this process's incarnation, as told to peers.
        zone: this process's availability zone, as told to peers.
        by_address: the peers that have been used.
    """

    def __init__(self, network: Network, clock: Clock, tasks: TaskSet) -> None:
        """Start without peers."""
        self.network = network
        self.clock = clock
        self.tasks = tasks
        self.incarnation = ''
        self.zone = ''
        self.by_address: dict[str, Peer] = {}

    def identify(self, incarnation: str, zone: str) -> None:
        """Set what peers are told about this process; close old connections."""
        self.incarnation = incarnation
        self.zone = zone
        old_peers = self.by_address
        self.by_address = {}
        for peer in old_peers.values():
            self.tasks.spawn(peer.close(), 'peer_close')

    def at(self, address: str) -> Peer:
        """Return the peer at an address."""
        peer = self.by_address.get(address)
        if peer is None:
            peer = Peer(address, self.network, self.clock, self.tasks)
            peer.identify(self.incarnation, self.zone)
            self.by_address[address] = peer
        return peer

    async def close(self) -> None:
        """Close all connections."""
        for peer in list(self.by_address.values()):
            await peer.close()
