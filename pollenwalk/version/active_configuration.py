"""The configuration that a process works by; versions never go back."""

from loguru import logger

from pollenwalk.errors import MalformedObject
from pollenwalk.platform.documents import (
    CONFIGURATION_KEY,
    decode_configuration,
)
from pollenwalk.process.store import StoredObject
from pollenwalk.version.routes import RoutingConfiguration


class ActiveConfiguration:
    """Takes each newer version as it comes."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self.current: RoutingConfiguration | None = None

    def apply(self, stored: StoredObject) -> None:
        """Take a change of the configuration's object."""
        if stored.key != CONFIGURATION_KEY or not stored.body:
            return
        try:
            offered = decode_configuration(stored.key, stored.body)
        except MalformedObject as error:
            logger.error('configuration_unreadable', reason=error.message)
            return
        before = self.current.version if self.current else None
        taken = before is None or offered.version > before
        if taken:
            self.current = offered
        logger.info(
            'configuration',
            version=offered.version,
            before=before,
            taken=taken,
            revision=stored.version,
        )
