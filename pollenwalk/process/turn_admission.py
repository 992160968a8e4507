"""Decides whether a keeper stores a turn that it is sent, or leaves it to others."""

from loguru import logger

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.keeper_members import Members
from pollenwalk.process.keeper_state import KeeperState
from pollenwalk.process.pauses import NEVER_MS
from pollenwalk.process.recent_members import RecentMembers

# Turns are refused while more than this waits for the disk, so that the gateway sends
# them to another keeper.
MAX_PENDING_BYTES = 8_000_000
# After a failed reading turns don't wait for another one for this long.
READING_RETRY_MS = 2000.0


class TurnAdmission:
    """Admits turns to the disk of one keeper.

    Attributes:
        recent: reads the list of keepers anew after a pause.
        next_reading_ms: when the list may be read again, on `Clock.boot_ms`.
    """

    def __init__(
        self, own_name: str, state: KeeperState, members: Members, recent: RecentMembers
    ) -> None:
        """Create the admission of the keeper `own_name`."""
        self.own_name = own_name
        self.state = state
        self.members = members
        self.recent = recent
        self.next_reading_ms = NEVER_MS

    async def check(self) -> None:
        """Check that a turn may be stored here now.

        Raises:
            Refusal: the copy would not count, or the disk is full or slow.
        """
        if not self.state.room.has_room_for_turns:
            raise Refusal(RefusalCode.STORAGE_FULL, 'the disk is full')
        if self.state.log.pending_bytes > MAX_PENDING_BYTES:
            raise Refusal(RefusalCode.OVERLOADED, 'the disk is slow')
        if await self.was_removed_in_a_pause():
            raise Refusal(RefusalCode.RETIRING, 'this keeper is no longer listed')

    async def was_removed_in_a_pause(self) -> bool:
        """Return whether the list is without this keeper since it was paused.

        While the list can't be read, it counts as it was before the pause.
        """
        ended_at_ms = self.recent.pauses.last_end_ms()
        if ended_at_ms == NEVER_MS:
            return False
        clock = self.recent.pauses.clock
        if clock.boot_ms() >= self.next_reading_ms:
            try:
                await self.recent.confirm(ended_at_ms)
            except Refusal as refusal:
                logger.info('own_membership_not_read', reason=refusal.message)
                self.next_reading_ms = clock.boot_ms() + READING_RETRY_MS
        return not self.members.is_counted(self.own_name)
