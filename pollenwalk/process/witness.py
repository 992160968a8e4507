"""Witnesses: entries that hold an owner's batches until the store has them.

A batch is durable once the store has it or once every witness has it. A
takeover seals the journal in the store and then at one witness, so it sees
every batch that was ever acknowledged.
"""

from collections.abc import Callable

from pollenwalk.connection.journal_messages import (
    WitnessAppend,
    WitnessBatches,
    WitnessSeal,
)
from pollenwalk.connection.peer import Peer
from pollenwalk.connection.peer_messages import Done
from pollenwalk.errors import ConnectionLost, Refusal, RefusalCode
from pollenwalk.process.segments import WitnessRef

WITNESS_TIMEOUT_MS = 1000


class HeldBatches:
    """The batches that a witness holds for one owner.

    Attributes:
        first: number of the first batch.
        batches: the batches, numbered without a gap.
        sealed: whether a successor has sealed them.
    """

    def __init__(self) -> None:
        """Start with nothing held."""
        self.first = 1
        self.batches: list[bytes] = []
        self.sealed = False

    @property
    def next_number(self) -> int:
        """Return the number of the next expected batch."""
        return self.first + len(self.batches)

    def drop_stored(self, base: int) -> None:
        """Drop the batches up to number `base`, which are in the store."""
        dropped = max(base + 1 - self.first, 0)
        self.batches = self.batches[dropped:]
        self.first = max(self.first, base + 1)

    def append(self, message: WitnessAppend) -> None:
        """Add batches, skipping those already held.

        Raises:
            Refusal: batches between the held and the sent ones are missing.
        """
        already_held = self.next_number - message.first
        if already_held < 0:
            raise Refusal(
                RefusalCode.STALE_SESSION,
                'batches between the held and the sent ones are missing',
            )
        self.batches.extend(message.batches[already_held:])


class WitnessLog:
    """The witness's side: batches of other entries, in memory only."""

    def __init__(self) -> None:
        """Start with nothing held."""
        self.held: dict[str, HeldBatches] = {}

    def append(self, message: WitnessAppend) -> Done:
        """Hold batches for an owner.

        Raises:
            Refusal: the owner's batches are sealed, or some are missing.
        """
        held = self.held.setdefault(message.incarnation, HeldBatches())
        if held.sealed:
            raise Refusal(RefusalCode.STALE_SESSION, 'sealed by a successor')
        held.drop_stored(message.base)
        held.append(message)
        return Done()

    def seal(self, message: WitnessSeal) -> WitnessBatches:
        """Accept no more batches of an owner; return those that the store lacks."""
        held = self.held.setdefault(message.incarnation, HeldBatches())
        held.sealed = True
        held.drop_stored(message.base)
        return WitnessBatches(held.first, list(held.batches))


class WitnessLink:
    """The owner's side: sends batches to one witness.

    Attributes:
        acknowledged: number of the last batch that the witness holds.
        failed: whether the witness has restarted or refused batches; it is
            then no longer used.
    """

    def __init__(self, ref: WitnessRef, peer: Peer) -> None:
        """Start with nothing acknowledged."""
        self.ref = ref
        self.peer = peer
        self.acknowledged = 0
        self.failed = False

    async def send(self, message: WitnessAppend) -> bool:
        """Send batches; the link fails if the witness restarted or refuses.

        Returns:
            Whether the witness now holds all of them. If not, and the link
            has not failed, they may be sent again.
        """
        try:
            connection = await self.peer.ensure_connected()
            if connection.boot_id != self.ref.incarnation:
                self.failed = True
                return False
            await self.peer.request(message, WITNESS_TIMEOUT_MS)
        except Refusal:
            self.failed = True
            return False
        except ConnectionLost:
            return False
        self.acknowledged = message.first + len(message.batches) - 1
        return True


# Returns the peer at an address.
PeerSource = Callable[[str], Peer]


async def seal_at_witness(
    ref: WitnessRef,
    peer: Peer,
    message: WitnessSeal,
) -> WitnessBatches | None:
    """Seal an owner's batches at one witness.

    Returns:
        The batches that it held, or None if it can't be reached, has restarted
        or refuses.
    """
    try:
        connection = await peer.ensure_connected()
        if connection.boot_id != ref.incarnation:
            return None
        return await peer.request(message, WITNESS_TIMEOUT_MS)
    except (ConnectionLost, Refusal):
        return None
