"""Witnesses: other entries that hold a home's batches until the store does.

A batch is durable once the store has it or once every witness has it. A
takeover seals the journal in the store and then at one witness, so it sees
every batch that was ever acknowledged.
"""

from collections.abc import Callable

from pollenwalk.connection.peer import Peer
from pollenwalk.connection.wire import (
    Done,
    WitnessAppend,
    WitnessBatches,
    WitnessSeal,
)
from pollenwalk.errors import ConnectionLost, Refusal, RefusalCode
from pollenwalk.process.segments import WitnessRef

APPEND_TIMEOUT_MS = 1000


class HeldBatches:
    """What this process holds for one home."""

    def __init__(self) -> None:
        """Start with nothing held."""
        self.first = 1
        self.batches: list[bytes] = []
        self.sealed = False

    @property
    def next_number(self) -> int:
        """Give the number of the batch that should come next."""
        return self.first + len(self.batches)

    def trim(self, base: int) -> None:
        """Drop batches that the store has."""
        surplus = max(base + 1 - self.first, 0)
        self.batches = self.batches[surplus:]
        self.first = max(self.first, base + 1)

    def append(self, message: WitnessAppend) -> None:
        """Add batches that follow without a gap."""
        known = self.next_number - message.first
        if known < 0:
            raise Refusal(RefusalCode.STALE_SESSION, 'batches are missing')
        self.batches.extend(message.batches[known:])


class WitnessLog:
    """The witness side: batches of other homes, in memory only."""

    def __init__(self) -> None:
        """Start with nothing held."""
        self.held: dict[str, HeldBatches] = {}

    def append(self, message: WitnessAppend) -> Done:
        """Hold batches for a home.

        Raises:
            Refusal: the home has been sealed, or batches are missing.
        """
        held = self.held.setdefault(message.incarnation, HeldBatches())
        if held.sealed:
            raise Refusal(RefusalCode.STALE_SESSION, 'sealed by a successor')
        held.trim(message.base)
        held.append(message)
        return Done()

    def seal(self, message: WitnessSeal) -> WitnessBatches:
        """Accept nothing more from a home and hand over what is held."""
        held = self.held.setdefault(message.incarnation, HeldBatches())
        held.sealed = True
        held.trim(message.base)
        return WitnessBatches(held.first, list(held.batches))


class WitnessLink:
    """The home side: how far one witness has acknowledged."""

    def __init__(self, ref: WitnessRef, peer: Peer) -> None:
        """Start with nothing acknowledged."""
        self.ref = ref
        self.peer = peer
        self.acknowledged = 0
        self.failed = False

    async def send(self, message: WitnessAppend) -> bool:
        """Send batches; a restarted or sealed witness fails for good.

        Returns:
            Whether the witness now holds all of them.
        """
        try:
            connection = await self.peer.ensure_connected()
            if connection.boot_id != self.ref.incarnation:
                self.failed = True
                return False
            await self.peer.request(message, APPEND_TIMEOUT_MS)
        except Refusal:
            self.failed = True
            return False
        except ConnectionLost:
            return False
        self.acknowledged = message.first + len(message.batches) - 1
        return True


PeerSource = Callable[[str], Peer]


async def seal_at_witness(
    ref: WitnessRef,
    peer: Peer,
    message: WitnessSeal,
) -> WitnessBatches | None:
    """Seal at one witness.

    Returns:
        What it held, or None when it can't be read or has restarted.
    """
    try:
        connection = await peer.ensure_connected()
        if connection.boot_id != ref.incarnation:
            return None
        return await peer.request(message, APPEND_TIMEOUT_MS)
    except (ConnectionLost, Refusal):
        return None
