"""A home's journal: group commits into the store, ended by a seal.

Each segment is a conditional create of the next number, so a sealed home
loses its next commit and learns that it has a successor. Nothing here reads
a clock to decide who may write.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from loguru import logger

from pollenwalk.connection.wire import WitnessAppend
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
    """Records that become durable together."""

    def __init__(self, number: int, body: bytes, opened_ms: float) -> None:
        """Hold an encoded batch that waits to become durable."""
        self.number = number
        self.body = body
        self.opened_ms = opened_ms
        self.durable: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def mark_durable(self) -> None:
        """Mark the batch durable."""
        if not self.durable.done():
            self.durable.set_result(None)

    def fail(self) -> None:
        """Mark the batch as lost to a successor."""
        if not self.durable.done():
            self.durable.set_exception(Fenced('sealed by a successor'))
            self.durable.exception()


class Journal:
    """Appends records and tells when they are durable."""

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        tasks: TaskSet,
        incarnation: str,
        dice: random.Random,
    ) -> None:
        """Prepare the journal of a fresh incarnation."""
        self.dice = dice
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
        """Begin writing."""
        self.tasks.spawn(self.write_segments(), 'journal_segments')

    async def commit(self, records: list[Record]) -> None:
        """Append records and wait until they are durable.

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
        """Prove that no successor has sealed this journal until now.

        Raises:
            Fenced: one has.
        """
        await self.commit([])

    @property
    def recently_confirmed(self) -> bool:
        """Tell whether the last proof is younger than any takeover can be.

        This rests on the clock and so guards nothing that must not happen:
        only that an outdated home seldom repeats what may be repeated.
        """
        return self.clock.now_ms() - self.confirmed_ms < RECENT_CONFIRMATION_MS

    def close_batch(self) -> None:
        """Number the open batch and offer it to the store and witnesses."""
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
        """Tell whether a batch has waited too long to become durable."""
        oldest = next((one for one in self.pending if not one.durable.done()), None)
        if oldest is None:
            return False
        return self.clock.now_ms() - oldest.opened_ms > STALL_TIMEOUT_MS

    async def write_segments(self) -> None:
        """Write what is pending, one segment after the other."""
        while not self.fenced:
            await self.work_available.wait()
            self.work_available.clear()
            while not self.fenced and self.segment_due():
                if self.write_limiter is not None:
                    await self.write_limiter.acquire()
                await self.write_segment(list(self.next_segment_batches()))
                await self.clock.sleep_ms(self.min_interval_ms)

    def segment_due(self) -> bool:
        """Tell whether a segment is due."""
        return bool(self.pending) or self.desired_witnesses != self.effective_witnesses

    def next_segment_batches(self) -> Iterable[Batch]:
        """Give pending batches up to a segment's size, at least one."""
        size = 0
        for batch in self.pending:
            size += len(batch.body)
            if size > MAX_SEGMENT_BYTES and size > len(batch.body):
                return
            yield batch

    async def write_segment(self, batches: list[Batch]) -> None:
        """Create the next segment, however often its answer is lost."""
        self.proposed_witnesses = list(self.desired_witnesses)
        segment = Segment(
            make_nonce(self.dice),
            self.last_stored_batch + 1,
            [batch.body for batch in batches],
            self.proposed_witnesses,
        )
        key = segment_key(self.incarnation, self.next_segment)
        body = encode_segment(segment)
        if await self.create_segment(key, body):
            self.segment_written(batches)
        else:
            self.fence()

    async def create_segment(self, key: str, body: bytes) -> bool:
        """Create a segment; tell whether it is ours."""
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
        """Let the pace follow the store."""
        if self.write_limiter is None:
            return
        if took_ms is None:
            self.write_limiter.record_failure()
        else:
            self.write_limiter.record_answer(took_ms)

    def segment_written(self, batches: list[Batch]) -> None:
        """Note a written segment."""
        self.next_segment += 1
        self.segments_written += 1
        self.last_stored_batch += len(batches)
        self.pending = [
            one for one in self.pending if one.number > self.last_stored_batch
        ]
        self.effective_witnesses = self.proposed_witnesses
        self.mark_durable(batches)
        self.update_witness_links()

    def fence(self) -> None:
        """Stop for good: a successor owns the programs now."""
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
        """Ask for another set of witnesses, from the next segment on."""
        if refs != self.desired_witnesses:
            self.desired_witnesses = refs
            self.work_available.set()

    def failed_witnesses(self) -> list[WitnessRef]:
        """Give the witnesses that can't acknowledge any more."""
        return [ref for ref, link in self.witness_links.items() if link.failed]

    def update_witness_links(self) -> None:
        """Start sending to new witnesses and stop sending to old ones."""
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
        """Send pending batches to one witness while it is one of ours."""
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
        """Settle the batches that every required witness holds."""
        required = dict.fromkeys([*self.effective_witnesses, *self.proposed_witnesses])
        links = [self.witness_links.get(ref) for ref in required]
        if not links or not all(links):
            return
        acknowledged = min(link.acknowledged for link in links if link is not None)
        self.mark_durable(
            [batch for batch in self.pending if batch.number <= acknowledged]
        )

    def mark_durable(self, batches: list[Batch]) -> None:
        """Note batches that are durable."""
        for batch in batches:
            batch.mark_durable()
            self.confirmed_ms = max(self.confirmed_ms, batch.opened_ms)
