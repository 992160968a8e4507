"""How full the disk of a keeper is, and what follows from that.

A keeper whose disk is nearly full says so in the list of keepers, so that gateways
prefer others and refuse turns before they run if too few others are left. Turns that
have run are stored until the disk is almost full; the rest of it is for token accounts
and for the copies that compaction writes.
"""

from pollenwalk.process.record_log import RecordDisk

BYTES_PER_MB = 1_000_000
# Share of the disk from which on it is nearly full, until it is below the second one.
NEARLY_FULL_SHARE = 0.8
ROOM_AGAIN_SHARE = 0.7
# Share of the disk that turns may fill.
MAX_TURNS_SHARE = 0.92


class DiskRoom:
    """Compares the size of a keeper's log with that of its disk.

    Attributes:
        limit_bytes: size of the disk; 0 if it is not known.
        is_nearly_full: whether it was nearly full when that was last updated.
    """

    def __init__(self, disk: RecordDisk, limit_bytes: float) -> None:
        """Create the room of a disk of which nothing has been read."""
        self.disk = disk
        self.limit_bytes = limit_bytes
        self.is_nearly_full = False

    @property
    def used_share(self) -> float:
        """Return the share of the disk that is used, or soon will be."""
        if not self.limit_bytes:
            return 0
        return (self.disk.size_bytes + self.disk.pending_bytes) / self.limit_bytes

    @property
    def has_room_for_turns(self) -> bool:
        """Return whether the disk takes one more turn."""
        return self.used_share < MAX_TURNS_SHARE

    def update(self) -> bool:
        """Return whether the disk is nearly full now."""
        limit = ROOM_AGAIN_SHARE if self.is_nearly_full else NEARLY_FULL_SHARE
        self.is_nearly_full = self.used_share >= limit
        return self.is_nearly_full
