"""An owner's journal: group commits into the object store, ended by a seal.

Each segment is written by a conditional create of the next number, so once a
successor has written its seal there, the next commit fails and the owner
learns that it is fenced. Who may write never depends on a clock.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from loguru import logger

from pollenwalk.connection.journal_messages import WitnessAppend
from pollenwalk.errors import Fenced, StoreUnavailable
from pollenwalk.process.clock import Clock
from pollenwalk.process.segments import (
    Segment,
    WitnessRef,
    encode_segment,
    segment_key,
)
from pollenwalk.process.store import (
    Backoff,
    ObjectStore,
    create_or_compare,
    make_nonce,
)
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.witness import PeerSource, WitnessLink
from pollenwalk.process.write_limiter import WriteLimiter
from pollenwalk.program.records import Record, encode_records

MAX_SEGMENT_BYTES = 600_000
STALL_TIMEOUT_MS = 1500
RECENT_CONFIRMATION_MS = 1000
WITNESS_RETRY_MS = 200


class Batch:
    """Records that become durable together.

    Attributes:
        number: its place in the journal, counted from 1; 0 while it is open.
        body: the encoded records; empty while it is open.
        opened_ms: when its first record was appended, on the process's clock.
        durable: done once the batch is durable; fails if it never will be.
    """

    def __init__(self, number: int, body: bytes, opened_ms: float) -> None:
        """Create a batch that is not yet durable."""
        self.number = number
        self.body = body
        self.opened_ms = opened_ms
        self.durable: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def mark_durable(self) -> None:
        """Complete the waits for the batch."""
        if not self.durable.done():
            self.durable.set_result(None)

    def fail(self) -> None:
        """Fail the batch: a successor has sealed the journal."""
        if not self.durable.done():
            self.durable.set_exception(Fenced('sealed by a successor'))
            # Marks the error as retrieved, as perhaps nobody waits for the batch.
            self.durable.exception()


class Journal:
    """Appends records and waits until they are durable.

    Attributes:
        min_interval_ms: pause after each segment before the next is written.
        write_limiter: limits the writes to the store; None for no limit.
        next_segment: number of the next segment.
        next_batch: number of the next batch.
        last_stored_batch: number of the last batch in the store.
        pending: batches that the store has not confirmed.
        fenced: whether a successor has sealed this journal.
        handing_over: whether the owner is handing its programs over, so that
            no more calls are given a host.
        confirmed_ms: when the newest durable batch was opened; no successor
            had sealed the journal before that.
        desired_witnesses: to be named by the next segment.
        effective_witnesses: named by the last segment in the store.
        proposed_witnesses: named by the segment that is being written.
        on_fenced: called once when the journal is found sealed.
        peers: returns the peer at an address; None for no witnesses.
        open_records: records of the open batch.
        open_batch: the batch to which records are appended; None if there is
            none.
        work_available: set when a segment may have to be written.
        batch_available: set when there are batches to send to witnesses, or
            the journal is fenced.
        witness_links: the connections to the effective witnesses.
        segments_written: how many segments have been stored, for the metrics.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        tasks: TaskSet,
        incarnation: str,
        rng: random.Random,
    ) -> None:
        """Create the empty journal of a new incarnation."""
        self.rng = rng
        self.store = store
        self.clock = clock
        self.tasks = tasks
        self.incarnation = incarnation
        self.min_interval_ms = 0.0
        self.write_limiter: WriteLimiter | None = None
        self.next_segment = 1
        self.next_batch = 1
        self.last_stored_batch = 0
        self.open_records: list[Record] = []
        self.open_batch: Batch | None = None
        self.pending: list[Batch] = []
        self.work_available = asyncio.Event()
        self.batch_available = asyncio.Event()
        self.fenced = False
        self.handing_over = False
        self.confirmed_ms = float('-inf')
        self.desired_witnesses: list[WitnessRef] = []
        self.effective_witnesses: list[WitnessRef] = []
        self.proposed_witnesses: list[WitnessRef] = []
        self.witness_links: dict[WitnessRef, WitnessLink] = {}
        self.on_fenced: Callable[[], None] = lambda: None
        self.peers: PeerSource | None = None
        self.segments_written = 0

    def start(self) -> None:
        """Start to write segments."""
        self.tasks.spawn(self.write_segments(), 'journal_segments')

    async def commit(self, records: list[Record]) -> None:
        """Append records to the open batch and wait until it is durable.

        Raises:
            Fenced: a successor has sealed this journal.
        """
        if self.fenced:
            raise Fenced('sealed by a successor')
        if self.open_batch is None:
            self.open_batch = Batch(0, b'', self.clock.now_ms())
            asyncio.get_running_loop().call_soon(self.close_batch)
        self.open_records.extend(records)
        await asyncio.shield(self.open_batch.durable)

    async def confirm(self) -> None:
        """Prove by an empty commit that no successor has sealed this journal.

        Raises:
            Fenced: a successor has.
        """
        await self.commit([])

    @property
    def recently_confirmed(self) -> bool:
        """Return whether the last proof is so recent that a takeover is unlikely.

        `RECENT_CONFIRMATION_MS` is shorter than the silence after which an
        entry is taken over. This relies on the clock, so safety must not depend
        on it. It only makes it rare that a fenced owner runs an idempotent call
        again.
        """
        return self.clock.now_ms() - self.confirmed_ms < RECENT_CONFIRMATION_MS

    def close_batch(self) -> None:
        """Number and encode the open batch and pass it to store and witnesses."""
        batch = self.open_batch
        if batch is None:
            return
        batch.number = self.next_batch
        batch.body = encode_records(self.open_records)
        self.next_batch += 1
        self.open_records = []
        self.open_batch = None
        if self.fenced:
            batch.fail()
            return
        self.pending.append(batch)
        self.work_available.set()
        self.batch_available.set()

    @property
    def stalled(self) -> bool:
        """Return whether a batch has waited `STALL_TIMEOUT_MS` to be durable."""
        oldest = next(
            (batch for batch in self.pending if not batch.durable.done()), None
        )
        if oldest is None:
            return False
        return self.clock.now_ms() - oldest.opened_ms > STALL_TIMEOUT_MS

    async def write_segments(self) -> None:
        """Write pending batches, one segment at a time, until fenced."""
        while not self.fenced:
            await self.work_available.wait()
            self.work_available.clear()
            while not self.fenced and self.segment_due():
                if self.write_limiter is not None:
                    await self.write_limiter.acquire()
                await self.write_segment(list(self.next_segment_batches()))
                await self.clock.sleep_ms(self.min_interval_ms)

    def segment_due(self) -> bool:
        """Return whether there are batches or new witnesses to write."""
        return bool(self.pending) or self.desired_witnesses != self.effective_witnesses

    def next_segment_batches(self) -> Iterable[Batch]:
        """Yield pending batches up to `MAX_SEGMENT_BYTES`, but at least one."""
        size = 0
        for batch in self.pending:
            size += len(batch.body)
            if size > MAX_SEGMENT_BYTES and size > len(batch.body):
                return
            yield batch

    async def write_segment(self, batches: list[Batch]) -> None:
        """Write the next segment, retrying while the store does not answer.

        If a successor's seal is found in its place, the journal is fenced.
        """
        self.proposed_witnesses = list(self.desired_witnesses)
        segment = Segment(
            make_nonce(self.rng),
            self.last_stored_batch + 1,
            [batch.body for batch in batches],
            self.proposed_witnesses,
        )
        key = segment_key(self.incarnation, self.next_segment)
        body = encode_segment(segment)
        if await self.create_segment(key, body):
            self.handle_segment_stored(batches)
        else:
            self.fence()

    async def create_segment(self, key: str, body: bytes) -> bool:
        """Create a segment, retrying with back-off.

        Returns:
            Whether the stored segment is this one; False for another's seal.
        """
        backoff = Backoff(self.clock)
        while True:
            started_ms = self.clock.now_ms()
            try:
                created = await create_or_compare(self.store, key, body)
            except StoreUnavailable:
                self.adjust_write_limit(None)
                await backoff.pause()
                continue
            self.adjust_write_limit(self.clock.now_ms() - started_ms)
            return created

    def adjust_write_limit(self, took_ms: float | None) -> None:
        """Adapt the write limit to a write's duration.

        Args:
            took_ms: how long the write took; None if the store did not answer.
        """
        if self.write_limiter is None:
            return
        if took_ms is None:
            self.write_limiter.record_failure()
        else:
            self.write_limiter.record_answer(took_ms)

    def handle_segment_stored(self, batches: list[Batch]) -> None:
        """Update the state after a segment has been stored."""
        self.next_segment += 1
        self.segments_written += 1
        self.last_stored_batch += len(batches)
        self.pending = [
            batch for batch in self.pending if batch.number > self.last_stored_batch
        ]
        self.effective_witnesses = self.proposed_witnesses
        self.mark_durable(batches)
        self.update_witness_links()

    def fence(self) -> None:
        """Stop for good and fail pending batches: a successor owns the programs."""
        if self.fenced:
            return
        self.fenced = True
        logger.warning('journal_fenced', incarnation=self.incarnation)
        for batch in self.pending:
            batch.fail()
        self.pending = []
        self.batch_available.set()
        self.on_fenced()

    def set_witnesses(self, refs: list[WitnessRef]) -> None:
        """Set the witnesses that the next segment is to name."""
        if refs != self.desired_witnesses:
            self.desired_witnesses = refs
            self.work_available.set()

    def failed_witnesses(self) -> list[WitnessRef]:
        """Return the witnesses that have restarted or refused batches."""
        return [ref for ref, link in self.witness_links.items() if link.failed]

    def update_witness_links(self) -> None:
        """Start sending to new witnesses and stop sending to removed ones."""
        for ref in list(self.witness_links):
            if ref not in self.effective_witnesses:
                self.witness_links.pop(ref)
        if self.peers is None:
            return
        for ref in self.effective_witnesses:
            if ref not in self.witness_links:
                link = WitnessLink(ref, self.peers(ref.address))
                self.witness_links[ref] = link
                self.tasks.spawn(self.send_to_witness(link), 'journal_witness')

    async def send_to_witness(self, link: WitnessLink) -> None:
        """Send pending batches to one witness until it is removed or fails."""
        while self.witness_links.get(link.ref) is link and not link.failed:
            batches = list(self.pending)
            if not batches or batches[-1].number <= link.acknowledged:
                self.batch_available.clear()
                await self.batch_available.wait()
                continue
            message = WitnessAppend(
                self.incarnation,
                self.last_stored_batch,
                batches[0].number,
                [batch.body for batch in batches],
            )
            if await link.send(message):
                self.mark_acknowledged_durable()
            elif not link.failed:
                await self.clock.sleep_ms(WITNESS_RETRY_MS)

    def mark_acknowledged_durable(self) -> None:
        """Mark the batches durable that every required witness acknowledged.

        Required are the witnesses of the last stored segment and those of the
        segment being written, as a takeover may find either segment last.
        """
        required = dict.fromkeys([*self.effective_witnesses, *self.proposed_witnesses])
        links = [self.witness_links.get(ref) for ref in required]
        if not links or not all(links):
            return
        acknowledged = min(link.acknowledged for link in links if link is not None)
        self.mark_durable(
            [batch for batch in self.pending if batch.number <= acknowledged]
        )

    def mark_durable(self, batches: list[Batch]) -> None:
        """Complete the batches' waits and advance `confirmed_ms`."""
        for batch in batches:
            batch.mark_durable()
            self.confirmed_ms = max(self.confirmed_ms, batch.opened_ms)
