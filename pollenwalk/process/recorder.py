"""Changes programs by records, which are made durable before they are applied.

A running owner applies the same records as a successor that replays the
journal. So callers only ever see state that a successor would restore.
"""

import asyncio
from collections.abc import Callable

from loguru import logger

from pollenwalk.connection.call_messages import Settle
from pollenwalk.errors import ConnectionLost, Outcome, Refusal, RefusalCode
from pollenwalk.process.clock import Clock
from pollenwalk.process.journal import Journal
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.witness import PeerSource
from pollenwalk.program.live import LiveProgram
from pollenwalk.program.program import ProgramTable
from pollenwalk.program.records import Record

# Interval between the batches of settlements that are sent to the sidecars.
SETTLE_INTERVAL_MS = 200
SETTLE_TIMEOUT_MS = 1000
# Retry-After of changes that could not be made durable in time.
RETRY_AFTER_MS = 1000

BuildRecords = Callable[[], list[Record]]


class Recorder:
    """The only way in which a running owner changes its programs.

    Attributes:
        settled_calls: ids of calls that sidecars may drop, by the address of
            the sidecar; they are sent with the next batch.
        on_committed: called with applied records and the number of the journal
            segment that was next before they were committed.
    """

    def __init__(
        self,
        journal: Journal,
        table: ProgramTable,
        clock: Clock,
        tasks: TaskSet,
    ) -> None:
        """Create a recorder that commits to `journal`, then applies to `table`."""
        self.journal = journal
        self.table = table
        self.clock = clock
        self.tasks = tasks
        self.settled_calls: dict[str, list[str]] = {}
        self.on_committed: Callable[[list[Record], int], None] = (
            lambda records, segment: None
        )

    def record_later(
        self, live: LiveProgram, build: BuildRecords
    ) -> asyncio.Task[None]:
        """Start to record in the background.

        Records of one program are committed in the order of these calls.

        Args:
            live: the program.
            build: computes the records under the program's lock.

        Returns:
            The task, which ends once the records are applied.
        """
        return self.tasks.spawn(self.commit_locked(live, build), 'record')

    async def record(
        self,
        live: LiveProgram,
        build: BuildRecords,
        wait_ms: float | None = None,
        late_outcome: Outcome = Outcome.NOT_RUN,
    ) -> None:
        """Record and wait until the records are durable and applied.

        After a timeout the records are still committed and applied later.

        Args:
            live: the program.
            build: computes the records under the program's lock.
            wait_ms: timeout of the wait; None to wait without one.
            late_outcome: outcome of the caller's request after a timeout; it is
                unknown if the late records themselves carry the request out.

        Raises:
            Refusal: the wait timed out.
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
            raise store_unavailable(late_outcome) from error

    async def commit_locked(self, live: LiveProgram, build: BuildRecords) -> None:
        """Compute, commit and apply records under the program's lock."""
        async with live.lock:
            records = build()
            await self.commit(records)

    async def commit(self, records: list[Record]) -> None:
        """Commit and apply records.

        If they need a program's lock, the caller must hold it.
        """
        segment = self.journal.next_segment
        await self.journal.commit(records)
        for record in records:
            self.table.apply(record)
        self.on_committed(records, segment)

    async def confirm_ownership(self, wait_ms: float) -> None:
        """Confirm that this owner still owns its programs.

        Raises:
            Fenced: a successor owns them.
            TimeoutError: neither the store nor the witnesses answered within
                `wait_ms`.
        """
        async with self.clock.timeout_ms(wait_ms):
            await self.journal.confirm()

    def settle(self, address: str, call: str) -> None:
        """Queue a notice to a sidecar that the result of a call is durable.

        The sidecar may then drop the call.

        Args:
            address: address of the sidecar.
            call: id of the call.
        """
        self.settled_calls.setdefault(address, []).append(call)

    async def send_settlements(self, peers: PeerSource) -> None:
        """Send the queued settlements to the sidecars in batches, until cancelled."""
        while True:
            await self.clock.sleep_ms(SETTLE_INTERVAL_MS)
            batches = self.settled_calls
            self.settled_calls = {}
            for address, calls in batches.items():
                try:
                    await peers(address).request(Settle(calls), SETTLE_TIMEOUT_MS)
                except (ConnectionLost, Refusal) as error:
                    logger.debug('settle_failed', address=address, reason=str(error))


def store_unavailable(outcome: Outcome = Outcome.NOT_RUN) -> Refusal:
    """Return the refusal of a change that could not be made durable in time.

    Args:
        outcome: unknown if the change is pending and may still take effect.
    """
    return Refusal(
        RefusalCode.STORE_UNAVAILABLE,
        'the store does not answer',
        outcome,
        retry_after_ms=RETRY_AFTER_MS,
    )
