"""Answers the requests of other entries."""

from collections.abc import AsyncIterator
from typing import Any

from pollenwalk.connection.fleet_messages import Beat
from pollenwalk.connection.journal_messages import HandOver, WitnessAppend, WitnessSeal
from pollenwalk.connection.peer_messages import Done, Hello
from pollenwalk.connection.program_messages import (
    BeginProgram,
    CallProgram,
    Claim,
    ClaimKey,
    EndProgram,
    View,
    ViewCall,
    ViewProgram,
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
from pollenwalk.process.program_ids import owner_of

# Timeout of one handover request; the answer comes after the whole takeover.
HANDOVER_REQUEST_TIMEOUT_MS = 8000


class EntryService:
    """Answers requests of other entries for one incarnation of an entry."""

    def __init__(self, entry: EntryInterface) -> None:
        """Answer on behalf of `entry`."""
        self.entry = entry
        self.owner = entry.owner

    async def handle(self, hello: Hello, message: Any) -> AsyncIterator[Any]:
        """Answer one request.

        Yields:
            The answer; for a call, tokens and then the answer.

        Raises:
            Refusal: the request failed, or this entry does not own the program.
        """
        if isinstance(message, CallProgram):
            self.check_owned(message.program)
            async for item in self.call(message):
                yield item
            return
        yield await self.answer(message)

    async def call(self, message: CallProgram) -> AsyncIterator[Any]:
        """Run a forwarded call.

        Raises:
            OwnerUnreachable: a successor owns the program; the sender should
                look it up again.
        """
        try:
            async for item in self.owner.call(message):
                yield item
        except Fenced as error:
            raise OwnerUnreachable() from error

    async def answer(self, message: Any) -> Any:
        """Answer a request that has a single answer.

        Raises:
            Refusal: the request failed, or its message is not expected here.
        """
        if isinstance(message, WitnessAppend):
            return self.entry.witness_log.append(message)
        if isinstance(message, WitnessSeal):
            return self.entry.witness_log.seal(message)
        if isinstance(message, HandOver):
            return await self.accept_handover(message)
        if isinstance(message, Beat):
            return Done()
        if isinstance(message, ClaimKey):
            return await self.claim(message)
        return await self.answer_about_program(message)

    async def answer_about_program(self, message: Any) -> View:
        """Create, read or end a program for another entry.

        Raises:
            Refusal: the request failed.
            OwnerUnreachable: this entry does not own the program.
        """
        if isinstance(message, BeginProgram):
            self.check_owned(message.parent or message.program)
        elif isinstance(message, ViewProgram | ViewCall | EndProgram):
            self.check_owned(message.program)
        else:
            raise Refusal(RefusalCode.PROTOCOL, f'unexpected {type(message)}')
        try:
            return await self.entry.routing.answer(message)
        except Fenced as error:
            raise OwnerUnreachable() from error

    def check_owned(self, program_id: str) -> None:
        """Check that this entry is the owner for a program id.

        It need not have such a program, for example if that is yet to be
        created.

        Raises:
            OwnerUnreachable: this entry is not the owner, so it can't tell
                whether a call of the program ran.
        """
        if self.entry.routing.is_owned_here(program_id):
            return
        owner_record = self.entry.directory.resolve_owner(owner_of(program_id))
        if owner_record is None or owner_record.incarnation != self.entry.incarnation:
            raise OwnerUnreachable()

    async def claim(self, message: ClaimKey) -> Claim:
        """Claim an idempotency key for a program, or look up the key's program.

        Raises:
            Refusal: the claim can't be made durable now.
            OwnerUnreachable: a successor has sealed this entry's journal.
        """
        try:
            if message.program:
                return Claim(await self.entry.routing.claim_here(message))
            return Claim(await self.owner.program_creator.claim(*message))
        except Fenced as error:
            raise OwnerUnreachable() from error

    async def accept_handover(self, message: HandOver) -> Done:
        """Take over the programs of an entry that is stopping.

        Raises:
            Refusal: the takeover is not possible now; the sender should retry.
        """
        if self.entry.stopping or not await self.entry.take_over(message.incarnation):
            raise Refusal(
                RefusalCode.STORE_UNAVAILABLE,
                'the takeover is not possible now; try again',
                Outcome.UNKNOWN,
            )
        return Done()

    async def request_handover(self, successor: EntryRecord) -> bool:
        """Ask another entry to take over this one's programs.

        Returns:
            Whether it confirmed; False may also mean that its answer was lost.
        """
        message = HandOver(self.entry.incarnation)
        try:
            await self.entry.peers.at(successor.address).request(
                message,
                HANDOVER_REQUEST_TIMEOUT_MS,
            )
        except (ConnectionLost, Refusal):
            return False
        return True
