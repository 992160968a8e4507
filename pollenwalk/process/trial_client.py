"""The part of a gateway that asks keepers whether a suspected call may be sent."""

import secrets
from itertools import count

from loguru import logger

from pollenwalk.connection.crash_messages import CrashReport
from pollenwalk.connection.trial_messages import EndTrial, RequestTrial, TrialDecision
from pollenwalk.process.directory import rendezvous
from pollenwalk.process.keeper_group import KeeperGroup, answer_or_none
from pollenwalk.process.keeper_links import KeeperLink

# Timeout of one question: two round trips between regions, as a new connection takes.
TRIAL_TIMEOUT_MS = 200.0
GATEWAY_ID_BYTES = 8


class TrialClient:
    """Asks the keeper that keeps the attempts of a call apart.

    Attributes:
        gateway: identifies this start of the gateway.
        numbers: tell its attempts apart.
    """

    def __init__(self, group: KeeperGroup) -> None:
        """Create a client of the keepers of `group`."""
        self.group = group
        self.gateway = secrets.token_hex(GATEWAY_ID_BYTES)
        self.numbers = count()

    def name_attempt(self) -> str:
        """Return a text that tells an attempt from those of all gateways."""
        return f'{self.gateway}/{next(self.numbers)}'

    async def request(self, asked: RequestTrial) -> TrialDecision | None:
        """Ask whether an attempt may begin; return None if no keeper answers in time."""
        link = self.owner_link(asked.request)
        if link is None:
            return None
        try:
            async with self.group.clock.timeout_ms(TRIAL_TIMEOUT_MS):
                return await answer_or_none(self.group.links.request(link, asked))
        except TimeoutError:
            logger.warning('trial_timeout', keeper=link.member.name)
            return None

    def end(self, request: str, attempt: str, crashes: tuple[CrashReport, ...]) -> None:
        """Tell the keeper that an attempt has ended, without waiting for it."""
        link = self.owner_link(request)
        if link is not None:
            message = EndTrial(request, attempt, crashes)
            asking = answer_or_none(self.group.links.request(link, message))
            self.group.tasks.spawn(asking, 'end_trial')

    def owner_link(self, request: str) -> KeeperLink | None:
        """Return the connection to the keeper of a call; None if all are lost.

        All gateways choose the same keeper as long as it answers.
        """
        links = self.group.links
        members = links.members.by_name
        owners = (links.link(members[name]) for name in rendezvous(request, members))
        answering = (link for link in owners if link.lost_since_ms is None)
        return next(answering, None)
