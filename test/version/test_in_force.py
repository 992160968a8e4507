"""Versions of the configuration only grow."""

import json

import testtools

from pollenwalk.process.store import StoredObject
from pollenwalk.version.in_force import InForce
from test.platform.test_documents import CONFIGURATION


def stored(version: int, revision: int) -> StoredObject:
    """Make the object of a version."""
    body = json.dumps({**CONFIGURATION, 'version': version}).encode()
    return StoredObject('config/main', body, revision)


class InForceTest(testtools.TestCase):
    """What is in force."""

    def version(self, in_force: InForce) -> int | None:
        """Give the version in force."""
        return in_force.current.version if in_force.current else None

    def test_an_older_version_is_passed_over(self) -> None:
        in_force = InForce()
        in_force.take(stored(7, 10))
        in_force.take(stored(5, 9))
        self.assertEqual(7, self.version(in_force))
        in_force.take(stored(12, 14))
        self.assertEqual(12, self.version(in_force))

    def test_what_cannot_be_read_changes_nothing(self) -> None:
        in_force = InForce()
        in_force.take(stored(7, 10))
        in_force.take(StoredObject('config/main', b'nonsense', 11))
        in_force.take(StoredObject('config/main', b'', 12))
        in_force.take(stored(9, 13)._replace(key='config/other'))
        self.assertEqual(7, self.version(in_force))
