"""From any entry to a program's home, across the home's death.

The program's id names its first home and the directory its successors. An
entry that is not the home can't know whether a call ran, so it never says
"not run" of its own accord.
"""

from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

from pollenwalk.connection.wire import (
    Answer,
    BeginProgram,
    CallProgram,
    ClaimKey,
    EndProgram,
    Tokens,
    View,
    ViewCall,
    ViewProgram,
)
from pollenwalk.errors import (
    ConnectionLost,
    Fenced,
    OwnerUnreachable,
    Refusal,
    StoreUnavailable,
)
from pollenwalk.process.directory import Directory, EntryRecord, rendezvous
from pollenwalk.process.fleet import Location
from pollenwalk.process.ids import owner_of, unknown_program
from pollenwalk.process.program_owner import ProgramOwner
from pollenwalk.process.witness import PeerSource
from pollenwalk.program.view import view_call, view_program

OWNER_WAIT_MS = 30_000
OWNER_PAUSE_MS = 50
FORWARD_TIMEOUT_MS = 10_000
CLAIM_TIMEOUT_MS = 1000
OLDER_REGISTRARS = 2
MOVED = (ConnectionLost, Fenced, OwnerUnreachable)


class Routing:
    """Brings requests to the programs' homes."""

    def __init__(
        self,
        owner: ProgramOwner,
        directory: Directory,
        peers: PeerSource,
        location: Location,
    ) -> None:
        """Serve `home`'s programs here and forward all others."""
        self.owner = owner
        self.directory = directory
        self.peers = peers
        self.location = location
        self.clock = owner.context.clock
        self.open_requests = 0
        self.forwarded = 0

    @property
    def incarnation(self) -> str:
        """Give the incarnation whose programs are served here."""
        return self.owner.context.incarnation

    def is_here(self, program_id: str) -> bool:
        """Tell whether this entry is a program's home."""
        if program_id in self.owner.table.programs:
            return not self.owner.context.recorder.journal.fenced
        return owner_of(program_id) == self.incarnation

    async def locate(self, program_id: str) -> EntryRecord:
        """Give the present owner of a program.

        Raises:
            Refusal: no entry has ever had that incarnation.
        """
        incarnation = owner_of(program_id)
        owner_record = self.directory.resolve_owner(incarnation)
        if owner_record is None:
            await self.refresh()
            owner_record = self.directory.resolve_owner(incarnation)
        if owner_record is None:
            raise unknown_program(program_id)
        return owner_record

    async def refresh(self) -> None:
        """Read the directory; without the store nobody can tell.

        Raises:
            Refusal: the store does not answer.
        """
        try:
            await self.directory.refresh()
        except StoreUnavailable as error:
            raise OwnerUnreachable() from error

    async def begin(self, request: BeginProgram) -> View:
        """Begin a program, or give the one begun with the same key."""
        self.open_requests += 1
        try:
            if request.parent:
                return await self.at_owner(request.parent, request)
            return await self.begin_by_key(request)
        finally:
            self.open_requests -= 1

    async def begin_by_key(self, request: BeginProgram) -> View:
        """Begin here, or give what the same key began anywhere before."""
        proposed = self.owner.beginnings.new_id(self.best_owner(request))
        if not request.key:
            return await self.at_owner(proposed, request._replace(program=proposed))
        program_id = await self.claim(request, proposed)
        return await self.at_owner(
            program_id,
            request._replace(program=program_id),
        )

    def best_owner(self, request: BeginProgram) -> str:
        """Choose a home in the region of most of the program's upstreams.

        A commit and a dispatch are short ways there, while the link between
        regions is slow, narrow and paid by volume.
        """
        spec = self.owner.context.config.program(request.declaration)
        upstreams = spec.upstreams if spec else []
        fleet = self.owner.context.fleet
        regions = Counter(host.region for host in fleet.available_hosts_of(upstreams))
        own = self.location.region
        if not regions or regions[own] == max(regions.values()):
            return self.incarnation
        region = max(sorted(regions), key=regions.__getitem__)
        names = [record.incarnation for record in self.directory.live(region)]
        ranked = rendezvous(request.key or self.owner.beginnings.new_id(), names)
        return ranked[0] if ranked else self.incarnation

    async def claim(self, request: BeginProgram, proposed: str) -> str:
        """Settle a key with its registrar, across the registrar's death."""
        until_ms = self.clock.now_ms() + OWNER_WAIT_MS
        message = ClaimKey(request.caller, request.key, proposed)
        while True:
            try:
                return await self.claim_once(message)
            except MOVED as error:
                await self.wait_or_give_up(until_ms, error)

    async def claim_once(self, message: ClaimKey) -> str:
        """Settle a key with its present registrar."""
        registrar = self.registrars(message)[0]
        if registrar.incarnation == self.incarnation:
            return await self.claim_here(message)
        claim = await self.peers(registrar.address).request(
            message,
            FORWARD_TIMEOUT_MS,
        )
        return claim.program

    def registrars(self, message: ClaimKey) -> list[EntryRecord]:
        """Rank the entries for a key.

        Dead entries keep their rank: their successors know their keys.
        """
        ranked = rendezvous(
            f'{message.caller}\0{message.key}',
            self.directory.records,
        )
        owners = [self.directory.resolve_owner(incarnation) for incarnation in ranked]
        known = {record.incarnation: record for record in owners if record is not None}
        if not known:
            raise OwnerUnreachable()
        return list(known.values())

    async def claim_here(self, message: ClaimKey) -> str:
        """Settle a key here, after asking who was its registrar before."""
        identity = (message.caller, message.key)
        if identity not in self.owner.table.claims:
            earlier = await self.claimed_before(message)
            message = message._replace(program=earlier or message.program)
        return await self.owner.beginnings.claim(*message)

    async def claimed_before(self, message: ClaimKey) -> str:
        """Ask the entries that owned the key before this one joined."""
        own = self.directory.records.get(self.incarnation)
        question = message._replace(program='')
        older = [
            record
            for record in self.registrars(message)
            if own is not None
            and record.incarnation != self.incarnation
            and record.started_ms <= own.started_ms
        ]
        for record in older[:OLDER_REGISTRARS]:
            try:
                claim = await self.peers(record.address).request(
                    question,
                    CLAIM_TIMEOUT_MS,
                )
            except (ConnectionLost, Refusal):
                continue
            if claim.program:
                return claim.program
        return ''

    async def call(self, request: CallProgram) -> AsyncIterator[Tokens | Answer]:
        """Run a call at its program's home, wherever that moves to.

        After a move the tokens begin again at offset 0.
        """
        deadline_ms = self.clock.now_ms() + request.time_left_ms
        until_ms = min(deadline_ms, self.clock.now_ms() + OWNER_WAIT_MS)
        self.open_requests += 1
        try:
            async for item in self.call_until_done(request, deadline_ms, until_ms):
                yield item
        finally:
            self.open_requests -= 1

    async def call_until_done(
        self,
        request: CallProgram,
        deadline_ms: float,
        until_ms: float,
    ) -> AsyncIterator[Tokens | Answer]:
        """Run a call at one home after the other until one answers."""
        while True:
            remaining_ms = deadline_ms - self.clock.now_ms()
            request = request._replace(time_left_ms=remaining_ms)
            try:
                async for item in self.call_once(request):
                    yield item
            except MOVED as error:
                grace_ms = self.clock.now_ms() + OWNER_PAUSE_MS
                await self.wait_or_give_up(max(until_ms, grace_ms), error)
                request = request._replace(offset=0)
            else:
                return

    async def call_once(self, request: CallProgram) -> AsyncIterator[Tokens | Answer]:
        """Run a call at the present home."""
        if self.is_here(request.program):
            source = self.owner.call(request)
        else:
            owner_record = await self.locate(request.program)
            if owner_record.incarnation == self.incarnation:
                raise unknown_program(request.program)
            self.forwarded += 1
            source = self.peers(owner_record.address).stream(request)
        try:
            async for item in source:
                yield item
        finally:
            await source.aclose()

    async def wait_or_give_up(self, until_ms: float, error: Exception) -> None:
        """Wait for a successor.

        Raises:
            Refusal: none came in time; whether the call ran is unknown.
        """
        if self.clock.now_ms() >= until_ms:
            raise OwnerUnreachable() from error
        await self.clock.sleep_ms(OWNER_PAUSE_MS)

    async def at_owner(self, program_id: str, message: Any) -> View:
        """Ask a program's home one question, across its death."""
        until_ms = self.clock.now_ms() + OWNER_WAIT_MS
        while True:
            try:
                return await self.ask_owner(program_id, message)
            except MOVED as error:
                await self.wait_or_give_up(until_ms, error)

    async def ask_owner(self, program_id: str, message: Any) -> View:
        """Ask the present home once."""
        if self.is_here(program_id):
            return await self.answer(message)
        owner_record = await self.locate(program_id)
        if owner_record.incarnation != self.incarnation:
            self.forwarded += 1
            return await self.peers(owner_record.address).request(
                message, FORWARD_TIMEOUT_MS
            )
        if isinstance(message, BeginProgram):
            return await self.answer(message)
        raise unknown_program(program_id)

    async def answer(self, message: Any) -> View:
        """Answer a question about a program of this home."""
        if isinstance(message, BeginProgram):
            return View(view_program(await self.owner.beginnings.begin(message)))
        if isinstance(message, EndProgram):
            return View(view_program(await self.owner.end(message.program)))
        live = self.owner.find(message.program)
        confirmed = await self.owner.confirmed()
        if isinstance(message, ViewCall):
            return View(view_call(live, message.key))
        return View(view_program(live.program, confirmed=confirmed))

    async def view(self, message: ViewProgram | ViewCall | EndProgram) -> View:
        """Read or end a program at its home."""
        self.open_requests += 1
        try:
            return await self.at_owner(message.program, message)
        finally:
            self.open_requests -= 1
