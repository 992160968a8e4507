"""The store's objects that can't be decoded: logged once for each change, and counted."""

from loguru import logger

from pollenwalk.errors import MalformedObject
from pollenwalk.process.store import StoredObject


class UnreadableObjects:
    """The unreadable objects of one kind.

    Attributes:
        versions: versions of the present unreadable objects by their keys.
        total: number of unreadable objects and changes of them so far.
    """

    def __init__(self) -> None:
        """Create a record without objects."""
        self.versions: dict[str, int] = {}
        self.total = 0

    def add(self, stored: StoredObject, error: MalformedObject) -> None:
        """Record an object, and log it unless this version of it was recorded before."""
        if self.versions.get(stored.key) == stored.version:
            return
        self.versions[stored.key] = stored.version
        self.total += 1
        logger.error(
            'object_unreadable',
            key=stored.key,
            revision=stored.version,
            reason=error.message,
        )

    def remove(self, key: str) -> None:
        """Forget an object that can be read now, or that has been deleted."""
        self.versions.pop(key, None)
