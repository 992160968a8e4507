"""Finds turns at the keepers, and tells which don't exist.

If f keepers may be lost at the same time, a turn does not exist if all keepers but f
report that they don't have it. For that the list of keepers must have been read after
the turn was asked for, as a turn that was stored before may be at keepers that an older
list lacks.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from loguru import logger

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.clock import Clock
from pollenwalk.process.keeper_broadcast import request_each
from pollenwalk.process.keeper_links import OTHER_REGION, KeeperLink, KeeperLinks
from pollenwalk.process.member_readings import MemberReadings
from pollenwalk.process.turn_replication import keepers_unavailable
from pollenwalk.program.turns import Chain, FindChain

# How long after the beginning of the reading of the list keepers' answers may prove that
# a turn does not exist. A keeper that loses its disk takes longer to be complete again.
MAX_PROOF_MS = 2500.0


class Search(NamedTuple):
    """What some keepers answered about a turn.

    Attributes:
        chain: the part of its chain that one of them has; None if none has the turn.
        denials: how many have all their records and not the turn.
    """

    chain: Chain | None
    denials: int


class TurnSearch:
    """Searches the keepers for turns.

    Attributes:
        readings: read the list of keepers as it is now.
        tolerated_losses: how many keepers may be lost at the same time.
    """

    def __init__(
        self,
        links: KeeperLinks,
        clock: Clock,
        readings: MemberReadings,
        tolerated_losses: int,
    ) -> None:
        """Create a search of the keepers behind `links`."""
        self.links = links
        self.clock = clock
        self.readings = readings
        self.tolerated_losses = tolerated_losses

    async def find_chain(self, turn: str) -> Chain:
        """Return the part of a turn's chain that one keeper has.

        The nearest keeper is asked first, then the others of the region together, then
        all others together: a turn of a caller that has moved is far away, and one that
        does not exist is nowhere.

        Raises:
            Refusal: the turn does not exist, or too few keepers answered to
                know whether it does.
        """
        links = self.links.ordered()
        search = await self.search(search_rounds(links), turn)
        if search.chain is not None:
            return search.chain
        self.require_denials(turn, search.denials, len(links))
        return await self.find_by_new_list(turn)

    async def find_by_new_list(self, turn: str) -> Chain:
        """Return the part of a turn's chain that any keeper has that is listed now.

        Raises:
            Refusal: the turn does not exist, or that is not known.
        """
        reading = await self.readings.read()
        if reading is None:
            raise keepers_unavailable('the list of keepers could not be read')
        links = self.links.order(reading.members)
        search = await self.search([links], turn)
        if search.chain is not None:
            logger.info('found_by_new_list', turn=turn, keepers=len(links))
            return search.chain
        self.require_denials(turn, search.denials, reading.count)
        took_ms = self.clock.boot_ms() - reading.began_ms
        if took_ms > MAX_PROOF_MS:
            raise keepers_unavailable(f'the keepers answered after {took_ms:.0f} ms')
        logger.info('unknown_turn', turn=turn, keepers=len(links))
        raise unknown_turn(turn)

    async def search(self, rounds: Iterable[list[KeeperLink]], turn: str) -> Search:
        """Ask keepers for a turn, one round after the other, until one has it."""
        denials = 0
        for asked in rounds:
            async for found in request_each(self.links, asked, FindChain(turn)):
                if found.turns:
                    return Search(found, denials)
                denials += int(found.complete)
        return Search(None, denials)

    def require_denials(self, turn: str, denials: int, keepers: int) -> None:
        """Check that enough keepers deny a turn.

        Raises:
            Refusal: too few do, so that the turn may exist.
        """
        if not keepers or denials < keepers - self.tolerated_losses:
            raise keepers_unavailable(
                f'only {denials} of {keepers} keepers confirm that there is no turn '
                f'{turn}',
            )


def unknown_turn(turn: str) -> Refusal:
    """Return the refusal of a call that continues a turn that does not exist."""
    return Refusal(RefusalCode.UNKNOWN_TURN, f'turn {turn} does not exist')


def search_rounds(links: list[KeeperLink]) -> Iterator[list[KeeperLink]]:
    """Yield the nearest keeper, the others of the region, and all others."""
    near = [link for link in links if link.distance < OTHER_REGION]
    far = [link for link in links if link.distance >= OTHER_REGION]
    yield near[:1]
    yield near[1:]
    yield far
