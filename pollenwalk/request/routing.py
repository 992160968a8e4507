"""Routing of requests from any entry to a program's owner, also after a takeover.

A program's id names its first owner, and the directory names the successors. An
entry that is not the owner cannot know whether a call ran, so it never states on
its own that a call did not run.

The registrar of a caller's idempotency key is the entry that ranks first for it. It
records which program the key has begun.
"""

from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

from pollenwalk.connection.call_messages import Answer, Tokens
from pollenwalk.connection.program_messages import (
    BeginProgram,
    CallProgram,
    ClaimKey,
    EndProgram,
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
from pollenwalk.process.program_ids import owner_of, unknown_program
from pollenwalk.process.program_owner import ProgramOwner
from pollenwalk.process.witness import PeerSource
from pollenwalk.program.view import view_call, view_program

# How long a request waits for an owner or registrar that answers, and the pause
# between attempts. Calls wait longer, see `Routing.call_until_done`.
OWNER_WAIT_MS = 30_000
OWNER_PAUSE_MS = 50
# Timeout of one request to another entry, other than a call or a key look-up.
FORWARD_TIMEOUT_MS = 10_000
# Timeout of asking one earlier registrar of a key.
CLAIM_LOOKUP_TIMEOUT_MS = 1000
# How many earlier registrars of a key are asked for its program.
MAX_EARLIER_REGISTRARS = 2
# Errors after which the owner is looked up again, as it may have a successor.
OWNER_MOVED_ERRORS = (ConnectionLost, Fenced, OwnerUnreachable)


class Routing:
    """Routes requests to the owners of their programs.

    Attributes:
        open_requests: requests of callers that are not answered yet.
        forwarded: number of requests sent to other entries since the start.
    """

    def __init__(
        self,
        owner: ProgramOwner,
        directory: Directory,
        peers: PeerSource,
        location: Location,
    ) -> None:
        """Serve the programs of `owner` here and forward all other requests."""
        self.owner = owner
        self.directory = directory
        self.peers = peers
        self.location = location
        self.clock = owner.context.clock
        self.open_requests = 0
        self.forwarded = 0

    @property
    def incarnation(self) -> str:
        """Return the incarnation whose programs are served here."""
        return self.owner.context.incarnation

    def is_owned_here(self, program_id: str) -> bool:
        """Return whether this entry owns a program.

        A program that it does not have counts as owned if its id names this entry;
        one that it has does not count after the entry was fenced.
        """
        if program_id in self.owner.table.programs:
            return not self.owner.context.recorder.journal.fenced
        return owner_of(program_id) == self.incarnation

    async def find_owner(self, program_id: str) -> EntryRecord:
        """Return the record of a program's current owner.

        Raises:
            Refusal: the directory has no owner for the incarnation in the
                program's id.
            OwnerUnreachable: the store does not answer.
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
        """Read the directory again.

        Raises:
            OwnerUnreachable: the store does not answer, so the owner is unknown.
        """
        try:
            await self.directory.refresh()
        except StoreUnavailable as error:
            raise OwnerUnreachable() from error

    async def begin(self, request: BeginProgram) -> View:
        """Begin a program, or return the one begun with the same key."""
        self.open_requests += 1
        try:
            if request.parent:
                return await self.request_until_answered(request.parent, request)
            return await self.begin_without_parent(request)
        finally:
            self.open_requests -= 1

    async def begin_without_parent(self, request: BeginProgram) -> View:
        """Begin a program that has no parent.

        If the request has a key that has begun a program before, at any entry, that
        program is returned.
        """
        proposed_id = self.owner.program_creator.new_id(self.choose_owner(request))
        if not request.key:
            return await self.request_until_answered(
                proposed_id, request._replace(program=proposed_id)
            )
        program_id = await self.claim(request, proposed_id)
        return await self.request_until_answered(
            program_id,
            request._replace(program=program_id),
        )

    def choose_owner(self, request: BeginProgram) -> str:
        """Choose an owner in the region that has most hosts of the upstreams.

        There, commits and dispatches have short round trips. The link between
        regions has a high latency and little bandwidth, and is billed by volume.

        Returns:
            The owner's incarnation; this entry's if no other region has more hosts.
        """
        spec = self.owner.context.config.program(request.declaration)
        upstreams = spec.upstreams if spec else []
        fleet = self.owner.context.fleet
        regions = Counter(host.region for host in fleet.available_hosts_of(upstreams))
        own_region = self.location.region
        if not regions or regions[own_region] == max(regions.values()):
            return self.incarnation
        region = max(sorted(regions), key=regions.__getitem__)
        names = [record.incarnation for record in self.directory.live_entries(region)]
        ranked = rendezvous(request.key or self.owner.program_creator.new_id(), names)
        return ranked[0] if ranked else self.incarnation

    async def claim(self, request: BeginProgram, proposed_id: str) -> str:
        """Claim a key for a program at the key's registrar.

        If the registrar is taken over, its successor is asked.

        Returns:
            Id of the key's program, which is another one if the key is not new.

        Raises:
            OwnerUnreachable: no registrar answered in time.
        """
        give_up_at_ms = self.clock.now_ms() + OWNER_WAIT_MS
        message = ClaimKey(request.caller, request.key, proposed_id)
        while True:
            try:
                return await self.claim_at_registrar(message)
            except OWNER_MOVED_ERRORS as error:
                await self.wait_or_give_up(give_up_at_ms, error)

    async def claim_at_registrar(self, message: ClaimKey) -> str:
        """Claim a key at its current registrar and return the key's program."""
        registrar = self.rank_registrars(message)[0]
        if registrar.incarnation == self.incarnation:
            return await self.claim_here(message)
        claim = await self.peers(registrar.address).request(
            message,
            FORWARD_TIMEOUT_MS,
        )
        return claim.program

    def rank_registrars(self, message: ClaimKey) -> list[EntryRecord]:
        """Return the entries by their rank for a key; the first is its registrar.

        A dead entry keeps its rank but is replaced by its successor, which knows
        its keys.

        Raises:
            OwnerUnreachable: no entry is known.
        """
        ranked = rendezvous(
            f'{message.caller}\0{message.key}',
            self.directory.records,
        )
        owners = [self.directory.resolve_owner(incarnation) for incarnation in ranked]
        by_incarnation = {
            record.incarnation: record for record in owners if record is not None
        }
        if not by_incarnation:
            raise OwnerUnreachable()
        return list(by_incarnation.values())

    async def claim_here(self, message: ClaimKey) -> str:
        """Claim a key here, unless an earlier registrar knows its program."""
        identity = (message.caller, message.key)
        if identity not in self.owner.table.claims:
            earlier_id = await self.find_earlier_claim(message)
            message = message._replace(program=earlier_id or message.program)
        return await self.owner.program_creator.claim(*message)

    async def find_earlier_claim(self, message: ClaimKey) -> str:
        """Ask entries that may have been the key's registrar before this one joined.

        Returns:
            Id of the key's program; empty if no entry names one.
        """
        own_record = self.directory.records.get(self.incarnation)
        lookup = message._replace(program='')
        earlier_registrars = [
            record
            for record in self.rank_registrars(message)
            if own_record is not None
            and record.incarnation != self.incarnation
            and record.started_ms <= own_record.started_ms
        ]
        for record in earlier_registrars[:MAX_EARLIER_REGISTRARS]:
            try:
                claim = await self.peers(record.address).request(
                    lookup,
                    CLAIM_LOOKUP_TIMEOUT_MS,
                )
            except (ConnectionLost, Refusal):
                continue
            if claim.program:
                return claim.program
        return ''

    async def call(self, request: CallProgram) -> AsyncIterator[Tokens | Answer]:
        """Run a call at its program's owner and, after a takeover, at its successor.

        After a change of owner the tokens begin again at offset 0.

        Yields:
            The tokens as they arrive, and the answer last.
        """
        deadline_ms = self.clock.now_ms() + request.time_left_ms
        give_up_at_ms = min(deadline_ms, self.clock.now_ms() + OWNER_WAIT_MS)
        self.open_requests += 1
        try:
            async for item in self.call_until_done(request, deadline_ms, give_up_at_ms):
                yield item
        finally:
            self.open_requests -= 1

    async def call_until_done(
        self,
        request: CallProgram,
        deadline_ms: float,
        give_up_at_ms: float,
    ) -> AsyncIterator[Tokens | Answer]:
        """Run a call at the program's current owner, again until one answers.

        After each error, the time to give up is at least `OWNER_PAUSE_MS` away. So
        the retries end only if an owner answers or refuses, or the caller leaves.

        Args:
            request: the call.
            deadline_ms: when the caller stops waiting, on the process's clock.
            give_up_at_ms: earliest time to stop waiting for an owner, on the same
                clock.
        """
        while True:
            remaining_ms = deadline_ms - self.clock.now_ms()
            request = request._replace(time_left_ms=remaining_ms)
            try:
                async for item in self.call_once(request):
                    yield item
            except OWNER_MOVED_ERRORS as error:
                earliest_give_up_ms = self.clock.now_ms() + OWNER_PAUSE_MS
                await self.wait_or_give_up(
                    max(give_up_at_ms, earliest_give_up_ms), error
                )
                request = request._replace(offset=0)
            else:
                return

    async def call_once(self, request: CallProgram) -> AsyncIterator[Tokens | Answer]:
        """Run a call once at the current owner, here or at another entry."""
        if self.is_owned_here(request.program):
            source = self.owner.call(request)
        else:
            owner_record = await self.find_owner(request.program)
            if owner_record.incarnation == self.incarnation:
                raise unknown_program(request.program)
            self.forwarded += 1
            source = self.peers(owner_record.address).stream(request)
        try:
            async for item in source:
                yield item
        finally:
            await source.aclose()

    async def wait_or_give_up(self, give_up_at_ms: float, error: Exception) -> None:
        """Pause before the owner is looked up again.

        Raises:
            OwnerUnreachable: the time is up; whether the request ran is unknown.
        """
        if self.clock.now_ms() >= give_up_at_ms:
            raise OwnerUnreachable() from error
        await self.clock.sleep_ms(OWNER_PAUSE_MS)

    async def request_until_answered(self, program_id: str, message: Any) -> View:
        """Send a request to a program's owner and, after a takeover, its successor.

        Raises:
            OwnerUnreachable: no owner answered in time.
        """
        give_up_at_ms = self.clock.now_ms() + OWNER_WAIT_MS
        while True:
            try:
                return await self.request_from_owner(program_id, message)
            except OWNER_MOVED_ERRORS as error:
                await self.wait_or_give_up(give_up_at_ms, error)

    async def request_from_owner(self, program_id: str, message: Any) -> View:
        """Send a request to a program's current owner once."""
        if self.is_owned_here(program_id):
            return await self.answer(message)
        owner_record = await self.find_owner(program_id)
        if owner_record.incarnation != self.incarnation:
            self.forwarded += 1
            return await self.peers(owner_record.address).request(
                message, FORWARD_TIMEOUT_MS
            )
        if isinstance(message, BeginProgram):
            return await self.answer(message)
        raise unknown_program(program_id)

    async def answer(self, message: Any) -> View:
        """Handle a request to begin, end or view a program that this entry owns."""
        if isinstance(message, BeginProgram):
            return View(view_program(await self.owner.program_creator.create(message)))
        if isinstance(message, EndProgram):
            return View(view_program(await self.owner.end(message.program)))
        live = self.owner.find(message.program)
        confirmed = await self.owner.confirm_ownership()
        if isinstance(message, ViewCall):
            return View(view_call(live, message.key))
        return View(view_program(live.program, confirmed=confirmed))

    async def view(self, message: ViewProgram | ViewCall | EndProgram) -> View:
        """View or end a program at its owner, or view one of its calls."""
        self.open_requests += 1
        try:
            return await self.request_until_answered(message.program, message)
        finally:
            self.open_requests -= 1
