"""Tests of which organisation a call is served for, and for how long keys are trusted."""

import random

import testtools

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.platform.documents import CONFIGURATION_PREFIX
from pollenwalk.process.configuration_lease import LEASE_SHARE, ConfigurationLease
from pollenwalk.process.prefix_watcher import PrefixWatcher, WatchHandlers
from pollenwalk.process.store import StoredObject
from pollenwalk.request.call_preparation import CallPreparation
from pollenwalk.request.http_messages import Request, RequestMetadata
from pollenwalk.version.active_configuration import ActiveConfiguration
from pollenwalk.version.organisations import Organisation, index_keys
from pollenwalk.version.routes import (
    CallerLimits,
    RoutingConfiguration,
    index_routes,
)
from standin.store import MemoryStore
from test.helper import make_clock, virtual
from test.request.test_forwarding import UNSAFE

REVOCATION_MS = 5000
CHANGE_DELAY_MS = 4000
ACME = Organisation('acme', ('k1', 'shared'), 1, 10, 5)
OTHER = Organisation('other', ('k2', 'shared'))
PUBLIC = UNSAFE._replace(name='public', path_prefix='/open/', public=True)


class SuspendableClock:
    """A clock whose machine can be suspended: only `boot_ms` goes on meanwhile."""

    def __init__(self) -> None:
        """Start at an arbitrary time."""
        self.suspended_ms = 0.0
        self.inner = make_clock()

    def now_ms(self) -> float:
        """Return the time without suspensions."""
        return self.inner.now_ms()

    def boot_ms(self) -> float:
        """Return the time with suspensions."""
        return self.inner.now_ms() + self.suspended_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep."""
        await self.inner.sleep_ms(duration_ms)


class Calls:
    """The preparation of calls of a gateway whose configuration a test confirms."""

    def __init__(self, revocation_ms: float) -> None:
        """Put a configuration with two organisations in force."""
        self.clock = SuspendableClock()
        self.active = ActiveConfiguration()
        self.active.current = RoutingConfiguration(
            1,
            index_routes([UNSAFE, PUBLIC]),
            {},
            CallerLimits(1000),
            index_keys([ACME, OTHER]),
        )
        self.lease = ConfigurationLease(self.clock, revocation_ms, CHANGE_DELAY_MS)
        self.lease.watcher = PrefixWatcher(
            MemoryStore(self.clock),
            self.clock,
            CONFIGURATION_PREFIX,
            WatchHandlers(lambda stored: None),
        )
        self.preparation = CallPreparation(self.active, self.lease, random.Random(1))

    def confirm(self) -> None:
        """Record that the store has shown the newest configuration just now."""
        self.lease.watcher.confirmed_at_ms = self.clock.boot_ms()

    def outcome(self, key: str, path: str = UNSAFE.path_prefix) -> str:
        """Return the name of a call's organisation, or the code of its refusal."""
        metadata = RequestMetadata('r1', 1000, api_key=key)
        request = Request(b'GET', b'/', path, UNSAFE.host, [], b'', metadata, 0)
        try:
            return self.preparation.prepare(request).organisation_name
        except Refusal as refusal:
            return refusal.code


class CallPreparationTest(testtools.TestCase):
    """Which calls are served, by their keys and by the age of the configuration."""

    @virtual
    async def test_organisation_of_a_key(self) -> None:
        calls = Calls(REVOCATION_MS)
        calls.confirm()
        self.assertEqual('acme', calls.outcome('k1'))
        self.assertEqual('other', calls.outcome('k2'))
        for key in ('', 'forged', 'shared', 'acme'):
            self.assertEqual(RefusalCode.UNKNOWN_KEY, calls.outcome(key), key)

    @virtual
    async def test_public_routes_need_no_key(self) -> None:
        calls = Calls(REVOCATION_MS)
        self.assertEqual('', calls.outcome('forged', PUBLIC.path_prefix))

    @virtual
    async def test_keys_are_not_trusted_without_contact(self) -> None:
        """A gateway that is cut off must not serve a key that may be revoked."""
        calls = Calls(REVOCATION_MS)
        self.assertEqual(RefusalCode.KEYS_UNCONFIRMED, calls.outcome('k1'))
        calls.confirm()
        await calls.clock.sleep_ms(REVOCATION_MS * LEASE_SHARE - 1)
        self.assertEqual('acme', calls.outcome('k1'))
        self.assertTrue(calls.preparation.serves_organisations)
        await calls.clock.sleep_ms(2)
        self.assertFalse(calls.preparation.serves_organisations)
        for key in ('k1', 'forged'):
            self.assertEqual(RefusalCode.KEYS_UNCONFIRMED, calls.outcome(key), key)

    @virtual
    async def test_suspension_ends_the_lease(self) -> None:
        """The steady clock stands still while a machine is suspended."""
        calls = Calls(REVOCATION_MS)
        calls.confirm()
        calls.clock.suspended_ms += REVOCATION_MS
        self.assertEqual(RefusalCode.KEYS_UNCONFIRMED, calls.outcome('k1'))

    @virtual
    async def test_known_keys_without_strict_revocation(self) -> None:
        """An unknown key may have been added since; a known one is served on."""
        calls = Calls(0)
        calls.confirm()
        self.assertEqual(RefusalCode.UNKNOWN_KEY, calls.outcome('forged'))
        await calls.clock.sleep_ms(CHANGE_DELAY_MS)
        self.assertEqual('acme', calls.outcome('k1'))
        self.assertEqual(RefusalCode.KEYS_UNCONFIRMED, calls.outcome('forged'))

    @virtual
    async def test_unreadable_configuration_may_revoke(self) -> None:
        """A newer version that can't be decoded may lack any of the keys."""
        calls = Calls(REVOCATION_MS)
        calls.confirm()
        calls.active.apply(StoredObject('config/main', b'{', 9))
        self.assertEqual(RefusalCode.KEYS_UNCONFIRMED, calls.outcome('k1'))
