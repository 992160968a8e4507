"""Questions of one keeper to others, whose failure is an answer too."""

import asyncio
from collections.abc import Iterable
from typing import Any

from loguru import logger

from pollenwalk.errors import PollenwalkError
from pollenwalk.process.keeper_links import REQUEST_TIMEOUT_MS, KeeperLinks
from pollenwalk.process.keeper_members import Member
from pollenwalk.program.turns import CheckReachable, Reachable

# Who is asked for a lost keeper may first have to find out that it is lost.
REACHABLE_TIMEOUT_MS = 2 * REQUEST_TIMEOUT_MS


async def ask(
    links: KeeperLinks,
    member: Member,
    message: Any,
    timeout_ms: float = REQUEST_TIMEOUT_MS,
) -> Any:
    """Return another keeper's answer; None if it gives none."""
    try:
        return await links.request(links.link(member), message, timeout_ms)
    except PollenwalkError as error:
        logger.debug('not_answered', keeper=member.name, reason=error.message)
        return None


async def all_miss(links: KeeperLinks, lost: Member, others: Iterable[Member]) -> bool:
    """Return whether some other keepers all answer that they don't reach a lost one."""
    question = CheckReachable(lost.name)
    answers = await asyncio.gather(
        *(ask(links, other, question, REACHABLE_TIMEOUT_MS) for other in others)
    )
    agree = all(answer == Reachable(False) for answer in answers)
    if not agree:
        logger.info('keeper_kept', keeper=lost.name, reason='another reaches it')
    return agree
