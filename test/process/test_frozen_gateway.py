"""A gateway that stands still while keepers come; real processes."""

import asyncio
from http import HTTPStatus

import testtools

from test.helper import on_loop
from test.process.turn_daemons import Turn, TurnClient, TurnDaemons

PROGRAMS = 8

# Clients wait for the frozen gateway for this long.
WAITING_S = 0.3
# Keepers' questions that were under way at the freeze have timed out by its end.
FREEZE_S = 3.2
# Time until the other gateway knows a listed keeper.
KNOWN_S = 0.5


class FrozenGateway(TurnDaemons):
    """Programs that go on at a gateway which has just woken."""

    async def run(self) -> list[Turn]:
        """Return how the turns at the woken gateway ended."""
        await self.start_all()
        frozen = [self.client('g1') for _ in range(PROGRAMS)]
        other = [self.client('g2') for _ in range(PROGRAMS)]
        first = await self.send_all(frozen, 'first', [''] * PROGRAMS)
        started_s = asyncio.get_running_loop().time()
        self.freeze('g1')
        self.add_keeper('k0', 'here', first_start=False)
        await self.wait_listed('k0')
        await asyncio.sleep(KNOWN_S)
        second = await self.send_all(other, 'second', attempts_of(first))
        left_s = started_s + FREEZE_S - asyncio.get_running_loop().time()
        await asyncio.sleep(left_s - WAITING_S)
        third = asyncio.ensure_future(
            self.send_all(frozen, 'third', attempts_of(second))
        )
        await asyncio.sleep(WAITING_S)
        self.wake('g1')
        return await third

    async def send_all(
        self, clients: list[TurnClient], name: str, previous: list[str]
    ) -> list[Turn]:
        """Send one turn of each program."""
        programs = enumerate(zip(clients, previous, strict=True))
        return await asyncio.gather(
            *(
                client.send(f'p{number}', f'{name}{number}', before)
                for number, (client, before) in programs
            )
        )


def attempts_of(turns: list[Turn]) -> list[str]:
    """Return the ids of turns, all of which were answered whole.

    Raises:
        AssertionError: one was not.
    """
    missing = [turn for turn in turns if not turn.is_answered]
    if missing:
        raise AssertionError(f'not answered: {missing}')
    return [turn.attempt for turn in turns]


class FrozenGatewayTest(testtools.TestCase):
    """What callers get from a gateway that has just woken."""

    @on_loop
    async def test_turns_stored_during_a_freeze_are_not_denied(self) -> None:
        # Guards against 404 for turns that were answered whole while this gateway stood
        # still and a keeper was added.
        system = FrozenGateway()
        try:
            turns = await system.run()
        finally:
            await system.end()
        self.assertEqual(
            [], [turn for turn in turns if turn.status == HTTPStatus.NOT_FOUND]
        )
