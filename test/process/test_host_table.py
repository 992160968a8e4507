"""Tests of the upstream hosts that a gateway regards as alive."""

import json

import testtools

from pollenwalk.process.clock import Clock
from pollenwalk.process.host_table import (
    MAX_REMOVED_VERSIONS,
    MAX_SUSPICION_MS,
    REREGISTRATION_MS,
    STORE_RECOVERY_MS,
    HostTable,
)
from pollenwalk.process.store import StoredObject
from test.helper import make_clock, virtual


def registration(name: str, version: int, /, **changes: object) -> StoredObject:
    """Return the registration of a host, with some fields changed."""
    fields = {
        'service': 'up',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'version': '',
        'slots': 8,
        'state': 'ready',
        'cold_left_ms': 0,
        'seq': version,
        **changes,
    }
    return StoredObject(f'servers/{name}', json.dumps(fields).encode(), version)


def deletion(name: str, version: int) -> StoredObject:
    """Return the deletion of a host's registration."""
    return StoredObject(f'servers/{name}', b'', version)


class HostTableTest(testtools.TestCase):
    """Registrations that are added, changed, lapse or are deleted."""

    def make_table(self, clock: Clock) -> HostTable:
        """Return a table with two hosts."""
        table = HostTable(clock)
        table.apply_change(registration('i-1', 1))
        table.apply_change(registration('i-2', 2))
        return table

    def available(self, table: HostTable) -> list[str]:
        """Return the ids of the hosts that accept new calls."""
        return [state.registration.id for state in table.available_hosts('up')]

    @virtual
    async def test_leaving_hosts_take_no_new_calls(self) -> None:
        table = self.make_table(make_clock())
        table.apply_change(registration('i-1', 3, state='draining'))
        self.assertEqual(['i-2'], self.available(table))

    @virtual
    async def test_hosts_that_left_since_a_time(self) -> None:
        clock = make_clock()
        table = self.make_table(clock)
        table.apply_change(registration('seen-leaving', 3, state='draining'))
        await clock.sleep_ms(100)
        table.apply_change(registration('i-1', 4, state='draining'))
        await clock.sleep_ms(100)
        table.apply_change(registration('i-1', 5, state='draining', slots=9))
        self.assertEqual(['i-1'], self.left_since(table, 100))
        self.assertEqual([], self.left_since(table, 101))
        table.apply_change(registration('i-1', 6))
        self.assertEqual([], self.left_since(table, 0))

    @virtual
    async def test_versions_since_a_time(self) -> None:
        clock = make_clock()
        table = HostTable(clock)
        table.apply_change(registration('i-1', 1, version='v1'))
        table.apply_change(registration('i-2', 2, version='v2'))
        await clock.sleep_ms(100)
        table.apply_change(registration('i-1', 3, version='v3'))
        table.apply_change(deletion('i-2', 4))
        self.assertEqual({'v1', 'v2', 'v3'}, table.versions_since('up', 100))
        self.assertEqual({'v3'}, table.versions_since('up', 101))
        self.assertEqual(set(), table.versions_since('other', 0))

    @virtual
    async def test_number_of_removed_versions_is_bounded(self) -> None:
        table = HostTable(make_clock())
        for number in range(MAX_REMOVED_VERSIONS + 3):
            table.apply_change(registration('i-1', number, version=f'v{number}'))
        listed = table.versions_since('up', 0)
        self.assertEqual(MAX_REMOVED_VERSIONS + 1, len(listed))
        self.assertNotIn('v1', listed)

    def left_since(self, table: HostTable, since_ms: float) -> list[str]:
        """Return the ids of the hosts that have begun to leave since a time."""
        states = table.hosts_that_left_since('up', since_ms)
        return [state.registration.id for state in states]

    @virtual
    async def test_deleted_host_is_removed_at_once(
        self,
    ) -> None:
        table = self.make_table(make_clock())
        table.apply_change(deletion('i-1', 3))
        self.assertEqual(['i-2'], self.available(table))

    @virtual
    async def test_lapsed_registration_is_kept_for_a_while(self) -> None:
        clock = make_clock()
        table = self.make_table(clock)
        table.record_store_failure()
        table.record_store_answer()
        table.apply_change(deletion('i-1', 3))
        table.apply_change(deletion('i-2', 4))
        await clock.sleep_ms(REREGISTRATION_MS - 100)
        table.apply_change(registration('i-2', 5))
        self.assertEqual(['i-1', 'i-2'], self.available(table))
        await clock.sleep_ms(200)
        self.assertEqual(['i-2'], self.available(table))

    @virtual
    async def test_host_is_kept_while_the_store_is_down(self) -> None:
        """The deletion may have been read through a keeper as the relay."""
        table = self.make_table(make_clock())
        table.record_store_failure()
        table.apply_change(deletion('i-1', 3))
        self.assertEqual(['i-1', 'i-2'], self.available(table))

    @virtual
    async def test_deletions_are_trusted_after_a_recovery(self) -> None:
        clock = make_clock()
        table = self.make_table(clock)
        table.record_store_failure()
        table.record_store_answer()
        await clock.sleep_ms(STORE_RECOVERY_MS + 1)
        table.apply_change(deletion('i-1', 3))
        self.assertEqual(['i-2'], self.available(table))

    @virtual
    async def test_unreadable_registration_changes_nothing(self) -> None:
        table = self.make_table(make_clock())
        table.apply_change(StoredObject('servers/i-1', b'nonsense', 3))
        table.apply_change(registration('i-3', 4, slots='eight'))
        self.assertEqual(['i-1', 'i-2'], self.available(table))

    @virtual
    async def test_restarted_host_loses_its_failures(self) -> None:
        table = self.make_table(make_clock())
        table.states['i-1'].record_failure(0)
        table.apply_change(registration('i-1', 3, born=7))
        self.assertEqual(0, table.states['i-1'].failures)

    @virtual
    async def test_suspicion_is_bounded_and_can_be_cleared(self) -> None:
        clock = make_clock()
        state = self.make_table(clock).states['i-1']
        for _ in range(20):
            state.record_failure(clock.now_ms())
        self.assertEqual(
            MAX_SUSPICION_MS,
            state.suspected_until_ms - clock.now_ms(),
        )
        state.record_success()
        self.assertEqual(0, state.suspected_until_ms)

    @virtual
    async def test_suspicion_after_thousands_of_failures(self) -> None:
        clock = make_clock()
        state = self.make_table(clock).states['i-1']
        for _ in range(5000):
            state.record_failure(clock.now_ms())
        self.assertEqual(
            MAX_SUSPICION_MS,
            state.suspected_until_ms - clock.now_ms(),
        )
