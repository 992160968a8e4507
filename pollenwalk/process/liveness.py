"""Failure detection by heartbeats between entries.

A false suspicion costs an unnecessary takeover and nothing else: the seal in
the store decides who owns the programs.
"""

from pollenwalk.connection.channel import Network
from pollenwalk.connection.fleet_messages import Beat
from pollenwalk.connection.wire import encode_datagram
from pollenwalk.process.clock import Clock
from pollenwalk.process.directory import Directory, EntryRecord

CHECK_INTERVAL_MS = 500
HEARTBEAT_INTERVAL_MS = 1000
SILENCE_TIMEOUT_MS = 3000
RANK_DELAY_MS = 1500
OTHER_REGION_SILENCE_TIMEOUT_MS = 60_000
MAX_CHECK_GAP_MS = 1500
OBSERVERS = 3


class Liveness:
    """Sends this entry's heartbeats and detects silent entries.

    Attributes:
        sequence: number of the last heartbeat sent.
        last_sent_ms: when it was sent, on the process's clock.
        last_check_ms: when `reset_after_pause` was last called.
        last_heard_ms: when each monitored entry was last known to be alive or,
            before that, was first checked.
    """

    def __init__(self, directory: Directory, network: Network, clock: Clock) -> None:
        """Start without having heard from any entry."""
        self.directory = directory
        self.network = network
        self.clock = clock
        self.sequence = 0
        self.last_sent_ms = float('-inf')
        self.last_check_ms = 0.0
        self.last_heard_ms: dict[str, float] = {}

    def record_alive(self, incarnation: str) -> None:
        """Note that an entry is alive now."""
        self.last_heard_ms[incarnation] = self.clock.now_ms()

    def reset_after_pause(self) -> None:
        """Restart all timeouts if this process itself was paused.

        Heartbeats that came during the pause may not have been read yet.
        """
        now_ms = self.clock.now_ms()
        if now_ms - self.last_check_ms > MAX_CHECK_GAP_MS:
            self.last_heard_ms.clear()
        self.last_check_ms = now_ms

    def send_heartbeat(self, own_record: EntryRecord) -> None:
        """Send a heartbeat, if one is due, to the entries that monitor this one."""
        now_ms = self.clock.now_ms()
        if now_ms - self.last_sent_ms < HEARTBEAT_INTERVAL_MS:
            return
        self.last_sent_ms = now_ms
        self.sequence += 1
        payload = encode_datagram(Beat(own_record.incarnation, self.sequence))
        for observer in self.directory.observers(own_record.incarnation, OBSERVERS):
            self.network.send_datagram(own_record.address, observer.address, payload)

    def silent_entries(self, own_record: EntryRecord) -> list[EntryRecord]:
        """Return the entries that this one should probe and take over."""
        return [
            record
            for record in self.directory.live_entries()
            if record.incarnation != own_record.incarnation
            and self.is_silent(record, own_record)
        ]

    def is_silent(self, record: EntryRecord, own_record: EntryRecord) -> bool:
        """Return whether a monitored entry has been silent for too long.

        The timeout is longer for entries of other regions, and grows by
        `RANK_DELAY_MS` with this entry's rank among the observers, so that
        they don't all react at once.
        """
        observers = [
            observer.incarnation
            for observer in self.directory.observers(record.incarnation, OBSERVERS)
        ]
        if own_record.incarnation not in observers:
            self.last_heard_ms.pop(record.incarnation, None)
            return False
        now_ms = self.clock.now_ms()
        silent_ms = now_ms - self.last_heard_ms.setdefault(record.incarnation, now_ms)
        timeout_ms = (
            SILENCE_TIMEOUT_MS
            if record.region == own_record.region
            else OTHER_REGION_SILENCE_TIMEOUT_MS
        )
        rank = observers.index(own_record.incarnation)
        return silent_ms > timeout_ms + rank * RANK_DELAY_MS
