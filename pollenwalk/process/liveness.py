"""Which entries seem dead, judged by their heartbeats.

A wrong judgement costs a needless takeover and nothing else: the seal in the
store decides who owns the programs.
"""

from pollenwalk.connection.channel import Network
from pollenwalk.connection.wire import Beat, encode_datagram
from pollenwalk.process.clock import Clock
from pollenwalk.process.directory import Directory, EntryRecord

LOOK_MS = 500
BEAT_MS = 1000
LAPSE_MS = 3000
RANK_DELAY_MS = 1500
FAR_LAPSE_MS = 60_000
OWN_PAUSE_MS = 1500
OBSERVERS = 3


class Liveness:
    """Sends this entry's heartbeats and judges those of others."""

    def __init__(self, directory: Directory, network: Network, clock: Clock) -> None:
        """Start having heard nobody."""
        self.directory = directory
        self.network = network
        self.clock = clock
        self.number = 0
        self.beaten_ms = float('-inf')
        self.awake_ms = 0.0
        self.heard_ms: dict[str, float] = {}

    def heard(self, incarnation: str) -> None:
        """Note a sign of life."""
        self.heard_ms[incarnation] = self.clock.now_ms()

    def notice_own_pause(self) -> None:
        """After a pause of our own, give everybody time to be heard again."""
        now_ms = self.clock.now_ms()
        if now_ms - self.awake_ms > OWN_PAUSE_MS:
            self.heard_ms.clear()
        self.awake_ms = now_ms

    def beat(self, own: EntryRecord) -> None:
        """Send a heartbeat, when one is due, to those that watch over us."""
        now_ms = self.clock.now_ms()
        if now_ms - self.beaten_ms < BEAT_MS:
            return
        self.beaten_ms = now_ms
        self.number += 1
        payload = encode_datagram(Beat(own.incarnation, self.number))
        for observer in self.directory.observers(own.incarnation, OBSERVERS):
            self.network.send_datagram(own.address, observer.address, payload)

    def suspects(self, own: EntryRecord) -> list[EntryRecord]:
        """Give the entries that this one should take over."""
        return [
            record
            for record in self.directory.live_entries()
            if record.incarnation != own.incarnation and self.is_silent(record, own)
        ]

    def is_silent(self, record: EntryRecord, own: EntryRecord) -> bool:
        """Tell whether an entry under our watch has been silent too long."""
        observers = [
            observer.incarnation
            for observer in self.directory.observers(record.incarnation, OBSERVERS)
        ]
        if own.incarnation not in observers:
            self.heard_ms.pop(record.incarnation, None)
            return False
        now_ms = self.clock.now_ms()
        silent_ms = now_ms - self.heard_ms.setdefault(record.incarnation, now_ms)
        lapse_ms = LAPSE_MS if record.region == own.region else FAR_LAPSE_MS
        rank = observers.index(own.incarnation)
        return silent_ms > lapse_ms + rank * RANK_DELAY_MS
