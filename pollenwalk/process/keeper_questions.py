"""Questions of one keeper to others, whose failure is an answer too."""

import asyncio
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


async def ask_all(
    links: KeeperLinks, members: list[Member], message: Any, timeout_ms: float
) -> list[Any]:
    """Return the answers of some keepers in their order; None for one that gives none."""
    asking = (ask(links, member, message, timeout_ms) for member in members)
    return await asyncio.gather(*asking)


async def who_reaches(
    links: KeeperLinks, lost: Member, others: list[Member]
) -> list[Reachable | None]:
    """Ask some keepers whether they reach a lost one; None for one without an answer."""
    question = CheckReachable(lost.name)
    return await ask_all(links, others, question, REACHABLE_TIMEOUT_MS)


async def all_miss(links: KeeperLinks, lost: Member, others: list[Member]) -> bool:
    """Return whether some other keepers all answer that they don't reach a lost one."""
    answers = await who_reaches(links, lost, others)
    agree = all(answer == Reachable(False) for answer in answers)
    if not agree:
        logger.info('keeper_kept', keeper=lost.name, reason='another reaches it')
    return agree


async def one_reaches(links: KeeperLinks, lost: Member, others: list[Member]) -> bool:
    """Return whether one of some keepers answers that it reaches a lost one."""
    return Reachable(True) in await who_reaches(links, lost, others)
