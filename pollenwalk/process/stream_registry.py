"""Where streams began: shared among gateways through the keepers.

A caller may take up a stream at any gateway, also after the one that began it has
died. Each gateway tells some keepers where a stream begins, without waiting for
them, and asks all keepers about streams that it did not begin itself. A stream
whose origin is not found is not resumed, so a lost message costs no more than that.
"""

import asyncio

from loguru import logger

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.keeper_group import KeeperGroup, answer_or_none
from pollenwalk.process.keeper_links import KeeperLink
from pollenwalk.process.stream_origins import StreamOrigins
from pollenwalk.program.streams import (
    FindStreamOrigin,
    FoundStreamOrigin,
    StreamOrigin,
)

# Retry-After while keepers that may know an origin don't answer: about the time
# until one that has restarted answers again.
RETRY_AFTER_MS = 300


class StreamRegistry:
    """Records and finds where streams began.

    Attributes:
        own: the streams that this gateway has begun.
    """

    def __init__(self, group: KeeperGroup) -> None:
        """Create a registry that uses the keepers of `group`."""
        self.group = group
        self.own = StreamOrigins(group.clock)

    def record(self, origin: StreamOrigin) -> None:
        """Remember where a stream begins, here and at the nearest keepers.

        The messages are sent at once, but not waited for.
        """
        self.own.add(origin)
        self.group.tasks.spawn(self.tell_keepers(origin), 'stream_origin')

    async def tell_keepers(self, origin: StreamOrigin) -> None:
        """Send an origin to as many keepers as must store a turn."""
        links = self.group.links.ordered()[: self.group.required_copies]
        await asyncio.gather(*(self.tell_keeper(link, origin) for link in links))

    async def tell_keeper(self, link: KeeperLink, origin: StreamOrigin) -> None:
        """Send an origin to one keeper; nothing is done if it does not answer."""
        await answer_or_none(self.group.links.request(link, origin))

    async def find(self, request: str) -> StreamOrigin:
        """Return where the stream of a request began.

        Raises:
            Refusal: this gateway and the keepers that answer don't know it.
        """
        origin = self.own.find(request)
        if origin is not None:
            return origin
        keepers = len(self.group.links.members.by_name)
        answers = 0
        message = FindStreamOrigin(request)
        async for found in self.group.request_all(message):
            answers += 1
            if found.origin is not None:
                log_origin(found, answers, keepers)
                return found.origin
        raise Refusal(
            RefusalCode.UNKNOWN_STREAM,
            f'{answers} of {keepers} keepers answered, and none knows which host '
            f'began stream {request!r}',
            retry_after_ms=RETRY_AFTER_MS if answers < keepers else None,
        )


def log_origin(found: FoundStreamOrigin, answers: int, keepers: int) -> None:
    """Log where a stream began, as a keeper remembers it.

    Args:
        found: the answer of the keeper.
        answers: how many keepers had answered by then.
        keepers: how many are listed.
    """
    logger.info(
        'stream_origin',
        request=found.origin.request,
        upstream=found.origin.upstream,
        software=found.origin.software_version,
        answers=answers,
        keepers=keepers,
    )
