"""What an entry answers to other entries."""

from collections.abc import AsyncIterator
from typing import Any

from pollenwalk.connection.wire import (
    Beat,
    BeginProgram,
    CallProgram,
    Claim,
    ClaimKey,
    Done,
    EndProgram,
    HandOver,
    Hello,
    View,
    ViewCall,
    ViewProgram,
    WitnessAppend,
    WitnessSeal,
)
from pollenwalk.errors import (
    ConnectionLost,
    Fenced,
    Outcome,
    OwnerUnreachable,
    Refusal,
    RefusalCode,
)
from pollenwalk.process.directory import EntryRecord
from pollenwalk.process.entry_interface import EntryInterface
from pollenwalk.process.ids import owner_of

HANDOVER_TIMEOUT_MS = 8000


class EntryService:
    """Answers peers for one incarnation of an entry."""

    def __init__(self, entry: EntryInterface) -> None:
        """Answer for `entry`."""
        self.entry = entry
        self.owner = entry.owner

    async def handle(self, hello: Hello, message: Any) -> AsyncIterator[Any]:
        """Answer one question of another entry."""
        if isinstance(message, CallProgram):
            self.check_here(message.program)
            async for item in self.call(message):
                yield item
            return
        yield await self.answer(message)

    async def call(self, message: CallProgram) -> AsyncIterator[Any]:
        """Run a forwarded call; a home that was sealed says so."""
        try:
            async for item in self.owner.call(message):
                yield item
        except Fenced as error:
            raise OwnerUnreachable() from error

    async def answer(self, message: Any) -> Any:
        """Answer a question that has one answer."""
        if isinstance(message, WitnessAppend):
            return self.entry.witness_log.append(message)
        if isinstance(message, WitnessSeal):
            return self.entry.witness_log.seal(message)
        if isinstance(message, HandOver):
            return await self.hand_over(message)
        if isinstance(message, Beat):
            return Done()
        if isinstance(message, ClaimKey):
            return await self.claim(message)
        return await self.about_program(message)

    async def about_program(self, message: Any) -> View:
        """Answer a forwarded question about a program."""
        if isinstance(message, BeginProgram):
            self.check_here(message.parent or message.program)
        elif isinstance(message, ViewProgram | ViewCall | EndProgram):
            self.check_here(message.program)
        else:
            raise Refusal(RefusalCode.PROTOCOL, f'unexpected {type(message)}')
        try:
            return await self.entry.routing.answer(message)
        except Fenced as error:
            raise OwnerUnreachable() from error

    def check_here(self, program_id: str) -> None:
        """Refuse what is not ours without a word on whether it ran."""
        if self.entry.routing.is_here(program_id):
            return
        owner_record = self.entry.directory.resolve_owner(owner_of(program_id))
        if owner_record is None or owner_record.incarnation != self.entry.incarnation:
            raise OwnerUnreachable()

    async def claim(self, message: ClaimKey) -> Claim:
        """Settle a key, or tell which program it has."""
        try:
            if message.program:
                return Claim(await self.entry.routing.claim_here(message))
            return Claim(await self.owner.beginnings.claim(*message))
        except Fenced as error:
            raise OwnerUnreachable() from error

    async def hand_over(self, message: HandOver) -> Done:
        """Take over the programs of an entry that stops.

        Raises:
            Refusal: it can't be done now; the other entry should ask again.
        """
        if self.entry.stopping or not await self.entry.take_over(message.incarnation):
            raise Refusal(
                RefusalCode.STORE_UNAVAILABLE,
                'the takeover is put off',
                Outcome.UNKNOWN,
            )
        return Done()

    async def ask_handover(self, successor: EntryRecord) -> bool:
        """Ask another entry to take over this one's programs."""
        message = HandOver(self.entry.incarnation)
        try:
            await self.entry.peers.at(successor.address).request(
                message,
                HANDOVER_TIMEOUT_MS,
            )
        except (ConnectionLost, Refusal):
            return False
        return True
