"""Tests of the routing configuration that is in force."""

import json

import testtools

from pollenwalk.process.store import StoredObject
from pollenwalk.version.active_configuration import ActiveConfiguration
from test.platform.test_documents import CONFIGURATION


def stored(version: int, revision: int) -> StoredObject:
    """Make the stored object of a configuration's version."""
    body = json.dumps({**CONFIGURATION, 'version': version}).encode()
    return StoredObject('config/main', body, revision)


class ActiveConfigurationTest(testtools.TestCase):
    """The version in force only grows."""

    def version(self, active: ActiveConfiguration) -> int | None:
        """Return the version in force; None if there is none."""
        return active.current.version if active.current else None

    def test_older_version_is_ignored(self) -> None:
        active = ActiveConfiguration()
        active.apply(stored(7, 10))
        active.apply(stored(5, 9))
        self.assertEqual(7, self.version(active))
        active.apply(stored(12, 14))
        self.assertEqual(12, self.version(active))

    def test_unreadable_objects_change_nothing(self) -> None:
        active = ActiveConfiguration()
        active.apply(stored(7, 10))
        active.apply(StoredObject('config/main', b'nonsense', 11))
        active.apply(StoredObject('config/main', b'', 12))
        active.apply(stored(9, 13)._replace(key='config/other'))
        self.assertEqual(7, self.version(active))
