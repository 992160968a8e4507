"""Versions of the configuration only grow."""

import json

import testtools

from pollenwalk.process.store import StoredObject
from pollenwalk.version.active_configuration import ActiveConfiguration
from test.platform.test_documents import CONFIGURATION


def stored(version: int, revision: int) -> StoredObject:
    """Make the object of a version."""
    body = json.dumps({**CONFIGURATION, 'version': version}).encode()
    return StoredObject('config/main', body, revision)


class ActiveConfigurationTest(testtools.TestCase):
    """What is in force."""

    def version(self, active: ActiveConfiguration) -> int | None:
        """Give the version in force."""
        return active.current.version if active.current else None

    def test_an_older_version_is_passed_over(self) -> None:
        active = ActiveConfiguration()
        active.apply(stored(7, 10))
        active.apply(stored(5, 9))
        self.assertEqual(7, self.version(active))
        active.apply(stored(12, 14))
        self.assertEqual(12, self.version(active))

    def test_what_cannot_be_read_changes_nothing(self) -> None:
        active = ActiveConfiguration()
        active.apply(stored(7, 10))
        active.apply(StoredObject('config/main', b'nonsense', 11))
        active.apply(StoredObject('config/main', b'', 12))
        active.apply(stored(9, 13)._replace(key='config/other'))
        self.assertEqual(7, self.version(active))
