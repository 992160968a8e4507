"""Which upstream hosts a gateway believes to be alive."""

import json

import testtools

from pollenwalk.process.clock import Clock
from pollenwalk.process.host_table import (
    MAX_SUSPICION_MS,
    REREGISTRATION_MS,
    STORE_RECOVERY_MS,
    HostTable,
)
from pollenwalk.process.store import StoredObject
from test.helper import make_clock, virtual


def registration(name: str, version: int, **changes: object) -> StoredObject:
    """Make a host's entry."""
    fields = {
        'service': 'up',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'slots': 8,
        'state': 'ready',
        **changes,
    }
    return StoredObject(f'servers/{name}', json.dumps(fields).encode(), version)


def deletion(name: str, version: int) -> StoredObject:
    """Make the deletion of a host's entry."""
    return StoredObject(f'servers/{name}', b'', version)


class HostTableTest(testtools.TestCase):
    """Entries that come, change, lapse and go."""

    def make_table(self, clock: Clock) -> HostTable:
        """Make a table of two hosts."""
        table = HostTable(clock)
        table.apply_change(registration('i-1', 1))
        table.apply_change(registration('i-2', 2))
        return table

    def available(self, table: HostTable) -> list[str]:
        """Name the hosts that take new calls."""
        return [state.registration.id for state in table.available_hosts('up')]

    @virtual
    async def test_leaving_hosts_take_no_new_calls(self) -> None:
        table = self.make_table(make_clock())
        table.apply_change(registration('i-1', 3, state='draining'))
        self.assertEqual(['i-2'], self.available(table))

    @virtual
    async def test_gone_at_once_while_the_store_is_well(self) -> None:
        table = self.make_table(make_clock())
        table.apply_change(deletion('i-1', 3))
        self.assertEqual(['i-2'], self.available(table))

    @virtual
    async def test_an_entry_that_lapsed_is_kept_for_a_while(self) -> None:
        clock = make_clock()
        table = self.make_table(clock)
        table.store_failed()
        table.store_answered()
        table.apply_change(deletion('i-1', 3))
        table.apply_change(deletion('i-2', 4))
        await clock.sleep_ms(REREGISTRATION_MS - 100)
        table.apply_change(registration('i-2', 5))
        self.assertEqual(['i-1', 'i-2'], self.available(table))
        await clock.sleep_ms(200)
        self.assertEqual(['i-2'], self.available(table))

    @virtual
    async def test_an_entry_that_goes_while_the_store_is_lost(self) -> None:
        """Another process may have told of it."""
        table = self.make_table(make_clock())
        table.store_failed()
        table.apply_change(deletion('i-1', 3))
        self.assertEqual(['i-1', 'i-2'], self.available(table))

    @virtual
    async def test_the_store_settles(self) -> None:
        clock = make_clock()
        table = self.make_table(clock)
        table.store_failed()
        table.store_answered()
        await clock.sleep_ms(STORE_RECOVERY_MS + 1)
        table.apply_change(deletion('i-1', 3))
        self.assertEqual(['i-2'], self.available(table))

    @virtual
    async def test_an_unreadable_entry_changes_nothing(self) -> None:
        table = self.make_table(make_clock())
        table.apply_change(StoredObject('servers/i-1', b'nonsense', 3))
        table.apply_change(registration('i-3', 4, slots='eight'))
        self.assertEqual(['i-1', 'i-2'], self.available(table))

    @virtual
    async def test_a_new_start_under_the_same_id_knows_nothing(self) -> None:
        table = self.make_table(make_clock())
        table.states['i-1'].record_failure(0)
        table.apply_change(registration('i-1', 3, born=7))
        self.assertEqual(0, table.states['i-1'].failures)

    @virtual
    async def test_suspicion_grows_and_ends(self) -> None:
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
    async def test_a_host_that_fails_for_hours(self) -> None:
        clock = make_clock()
        state = self.make_table(clock).states['i-1']
        for _ in range(5000):
            state.record_failure(clock.now_ms())
        self.assertEqual(
            MAX_SUSPICION_MS,
            state.suspected_until_ms - clock.now_ms(),
        )
