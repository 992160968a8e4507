"""Tests that the journal stores each commit once and stays fenced once sealed."""

import random

import testtools

from pollenwalk.errors import Fenced
from pollenwalk.process.journal import Journal
from pollenwalk.process.segments import read_journal
from pollenwalk.process.takeover import Takeover
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.witness import WitnessLog
from pollenwalk.program.records import Ended
from standin.store import Faults, MemoryStore
from test.helper import make_clock, virtual

OWNER = 'owner'
SUCCESSOR = 'successor'
RECORDS = [Ended('p')]


def make_journal(store: MemoryStore) -> Journal:
    """Start the owner's journal, without witnesses."""
    journal = Journal(store, store.clock, TaskSet(), OWNER, random.Random(1))
    journal.start()
    return journal


def make_takeover(store: MemoryStore) -> Takeover:
    """Return a takeover by the successor, without witnesses."""
    return Takeover(
        store,
        store.clock,
        lambda address: None,
        WitnessLog(),
        SUCCESSOR,
        random.Random(2),
    )


FAULTS = (
    ('none', Faults()),
    ('an answer is lost', Faults(lose_answers=1)),
    ('three answers are lost', Faults(lose_answers=3)),
    ('a write fails', Faults(fail_writes=1)),
    ('writes fail and answers are lost', Faults(fail_writes=2, lose_answers=2)),
    ('the store is slow', Faults(slow_ms=500)),
)


class JournalTest(testtools.TestCase):
    """One owner's journal in a store that may fail, lose answers or be slow."""

    @virtual
    async def test_commit_is_stored_once_under_each_fault(self) -> None:
        for name, faults in FAULTS:
            store = MemoryStore(make_clock())
            journal = make_journal(store)
            store.faults = faults
            await journal.commit(RECORDS)
            store.faults = Faults()
            content = await read_journal(store, OWNER)
            self.assertEqual(RECORDS, content.records(), name)

    @virtual
    async def test_seal_fences_owner_under_each_fault(self) -> None:
        for name, faults in FAULTS:
            store = MemoryStore(make_clock())
            journal = make_journal(store)
            await journal.commit(RECORDS)
            store.faults = faults
            owner_id = await make_takeover(store).claim_ownership(OWNER)
            self.assertEqual(SUCCESSOR, owner_id, name)
            store.faults = Faults()
            with testtools.ExpectedException(Fenced):
                await journal.commit(RECORDS)

    @virtual
    async def test_only_one_seal_wins(self) -> None:
        store = MemoryStore(make_clock())
        winner = await make_takeover(store).claim_ownership(OWNER)
        late_takeover = make_takeover(store)
        late_takeover.successor = 'late'
        self.assertEqual(winner, await late_takeover.claim_ownership(OWNER))

    @virtual
    async def test_commit_waits_for_store_outage_to_end(self) -> None:
        store = MemoryStore(make_clock())
        journal = make_journal(store)
        store.faults = Faults(down=True)
        commit = journal.tasks.spawn(journal.commit(RECORDS), 'commit')
        await store.clock.sleep_ms(60_000)
        self.assertFalse(commit.done())
        self.assertTrue(journal.stalled)
        store.faults = Faults()
        await commit
        self.assertFalse(journal.stalled)

    @virtual
    async def test_concurrent_commits_share_one_segment(self) -> None:
        store = MemoryStore(make_clock())
        journal = make_journal(store)
        commits = [
            journal.tasks.spawn(journal.commit(RECORDS), 'commit') for _ in range(50)
        ]
        for commit in commits:
            await commit
        self.assertEqual(1, store.writes)
