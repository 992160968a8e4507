"""The routing configuration that is in force in a process; its version only grows."""

from loguru import logger

from pollenwalk.errors import MalformedObject
from pollenwalk.platform.documents import (
    CONFIGURATION_KEY,
    decode_configuration,
)
from pollenwalk.process.store import StoredObject
from pollenwalk.process.unreadable_objects import UnreadableObjects
from pollenwalk.version.routes import RoutingConfiguration


class ActiveConfiguration:
    """Keeps the newest version of the routing configuration that could be decoded.

    Attributes:
        current: the configuration in force; None until the first is read.
        unreadable: the configurations that could not be decoded.
    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self.current: RoutingConfiguration | None = None
        self.unreadable = UnreadableObjects()

    @property
    def is_superseded(self) -> bool:
        """Return whether there is a newer configuration that can't be decoded."""
        return CONFIGURATION_KEY in self.unreadable.versions

    def apply(self, stored: StoredObject) -> None:
        """Put a stored configuration in force if its version is newer.

        Objects with other keys, deletions and configurations that can't be
        decoded leave the one in force as it is.
        """
        if stored.key != CONFIGURATION_KEY or not stored.body:
            return
        try:
            received = decode_configuration(stored.key, stored.body)
        except MalformedObject as error:
            self.unreadable.add(stored, error)
            return
        self.unreadable.remove(stored.key)
        previous_version = self.current.version if self.current else None
        is_newer = previous_version is None or received.version > previous_version
        if is_newer:
            self.current = received
        logger.info(
            'configuration',
            version=received.version,
            before=previous_version,
            taken=is_newer,
            revision=stored.version,
        )
