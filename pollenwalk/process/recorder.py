"""Records a program's changes: durable first, then applied.

The running home and a successor's replay apply the same records, so state
that callers can see is always state that a successor would find.
"""

import asyncio
from collections.abc import Callable

from loguru import logger

from pollenwalk.connection.wire import Settle
from pollenwalk.errors import ConnectionLost, Refusal, RefusalCode
from pollenwalk.process.clock import Clock
from pollenwalk.process.journal import Journal
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.witness import PeerSource
from pollenwalk.program.live import LiveProgram
from pollenwalk.program.program import ProgramTable
from pollenwalk.program.records import Record

SETTLE_PAUSE_MS = 200
SETTLE_TIMEOUT_MS = 1000
RETRY_AFTER_MS = 1000

BuildRecords = Callable[[], list[Record]]


class Recorder:
    """The only way in which a running home changes its programs."""

    def __init__(
        self,
        journal: Journal,
        table: ProgramTable,
        clock: Clock,
        tasks: TaskSet,
    ) -> None:
        """Record into `journal`, then apply to `table`."""
        self.journal = journal
        self.table = table
        self.clock = clock
        self.tasks = tasks
        self.settled: dict[str, list[str]] = {}
        self.on_committed: Callable[[list[Record], int], None] = (
            lambda records, segment: None
        )

    def record_later(
        self, live: LiveProgram, build: BuildRecords
    ) -> asyncio.Task[None]:
        """Record in the background, in the order of these calls."""
        return self.tasks.spawn(self.commit_locked(live, build), 'record')

    async def record(
        self,
        live: LiveProgram,
        build: BuildRecords,
        wait_ms: float | None = None,
    ) -> None:
        """Record and wait until it is durable and applied.

        A record whose wait runs out is still written and applied later.

        Args:
            live: the program.
            build: computes the records under the program's lock.
            wait_ms: how long to wait; None waits for ever.

        Raises:
            Refusal: the wait ran out.
            Fenced: a successor owns the program.
        """
        task = self.record_later(live, build)
        if wait_ms is None:
            await asyncio.shield(task)
            return
        try:
            async with self.clock.timeout_ms(wait_ms):
                await asyncio.shield(task)
        except TimeoutError as error:
            raise store_unavailable() from error

    async def commit_locked(self, live: LiveProgram, build: BuildRecords) -> None:
        """Compute, commit and apply under the program's lock."""
        async with live.lock:
            records = build()
            await self.commit(records)

    async def commit(self, records: list[Record]) -> None:
        """Commit and apply records that need no lock."""
        segment = self.journal.next_segment
        await self.journal.commit(records)
        for record in records:
            self.table.apply(record)
        self.on_committed(records, segment)

    async def confirm_ownership(self, wait_ms: float) -> None:
        """Prove that this home still owns its programs.

        Raises:
            Fenced: a successor owns them.
            TimeoutError: neither the store nor the witnesses answer.
        """
        async with self.clock.timeout_ms(wait_ms):
            await self.journal.confirm()

    def settle(self, address: str, call: str) -> None:
        """Let a sidecar drop a call whose result is durable."""
        self.settled.setdefault(address, []).append(call)

    async def send_settlements(self, peers: PeerSource) -> None:
        """Tell the sidecars in batches, for as long as the home lives."""
        while True:
            await self.clock.sleep_ms(SETTLE_PAUSE_MS)
            batches = self.settled
            self.settled = {}
            for address, calls in batches.items():
                try:
                    await peers(address).request(Settle(calls), SETTLE_TIMEOUT_MS)
                except (ConnectionLost, Refusal) as error:
                    logger.debug('settle_lost', address=address, reason=str(error))


def store_unavailable() -> Refusal:
    """Refuse because nothing can be made durable now."""
    return Refusal(
        RefusalCode.STORE_UNAVAILABLE,
        'the store does not answer',
        retry_after_ms=RETRY_AFTER_MS,
    )
