"""What a home does regularly: leases, idle programs, and retention."""

from loguru import logger

from pollenwalk.connection.wire import Release, Renew
from pollenwalk.errors import ConnectionLost, PollenwalkError, Refusal
from pollenwalk.process.owner_interface import OwnerInterface
from pollenwalk.program.live import LiveProgram
from pollenwalk.program.program import Program
from pollenwalk.program.records import Dropped
from pollenwalk.version.resources import ProgramSpec

RENEW_MS = 5000
RELEASE_TIMEOUT_MS = 2000
RELEASE_ATTEMPTS = 5
SWEEP_MS = 2000
RETAIN_MS = 600_000
DROP_WAIT_MS = 2000


class Upkeep:
    """Keeps the programs of one home in order."""

    def __init__(self, owner: OwnerInterface) -> None:
        """Look after `home`."""
        self.owner = owner
        self.context = owner.context
        self.ended_ms: dict[str, float] = {}

    def start(self) -> None:
        """Start the regular work."""
        self.owner.tasks.spawn(self.renew(), 'renew')
        self.owner.tasks.spawn(self.sweep(), 'sweep')

    async def release(self, program: Program) -> None:
        """Ask every sidecar that holds memory to return it.

        A sidecar that can't be reached returns it when the lease lapses.
        """
        pending = list(program.engine_sidecars)
        for _ in range(RELEASE_ATTEMPTS):
            pending = [
                address
                for address in pending
                if not await self.released(address, program.id)
            ]
            if not pending:
                return
            await self.context.clock.sleep_ms(RELEASE_TIMEOUT_MS)

    async def released(self, address: str, program_id: str) -> bool:
        """Ask one sidecar; tell whether it has returned the memory."""
        try:
            await self.context.peers(address).request(
                Release([program_id]),
                RELEASE_TIMEOUT_MS,
            )
        except (ConnectionLost, Refusal):
            return False
        return True

    async def renew(self) -> None:
        """Renew the leases on engine memory, one message a sidecar."""
        while True:
            for address, programs in self.holdings().items():
                self.owner.tasks.spawn(self.renew_at(address, programs), 'renew_at')
            await self.context.clock.sleep_ms(RENEW_MS)

    def holdings(self) -> dict[str, list[str]]:
        """Give the running programs by the sidecars that hold for them."""
        holdings: dict[str, list[str]] = {}
        for program in self.owner.table.programs.values():
            if program.ended:
                continue
            for address in program.engine_sidecars:
                holdings.setdefault(address, []).append(program.id)
        return holdings

    async def renew_at(self, address: str, programs: list[str]) -> None:
        """Renew at one sidecar; a lost message only shortens the lease."""
        try:
            await self.context.peers(address).request(Renew(programs), RENEW_MS)
        except (ConnectionLost, Refusal):
            logger.debug('renew_lost', address=address)

    async def sweep(self) -> None:
        """End idle programs and drop ended ones after their retention."""
        while True:
            await self.context.clock.sleep_ms(SWEEP_MS)
            self.owner.drop_claims()
            for program in list(self.owner.table.programs.values()):
                await self.sweep_one(program)

    async def sweep_one(self, program: Program) -> None:
        """End or drop one program if it is time."""
        now_ms = self.context.clock.now_ms()
        live = self.owner.find(program.id)
        spec = self.context.config.program(program.declaration) or ProgramSpec([])
        try:
            if not program.ended:
                idle = now_ms - live.last_used_ms > spec.idle_ms
                if not live.calls and (idle or live.is_overdue()):
                    await self.owner.end(program.id)
                return
            ended_ms = self.ended_ms.setdefault(program.id, now_ms)
            if now_ms - ended_ms > RETAIN_MS:
                await self.drop(live)
        except PollenwalkError as error:
            logger.debug('sweep_put_off', program=program.id, reason=str(error))

    async def drop(self, live: LiveProgram) -> None:
        """Forget an ended program."""
        program_id = live.program.id
        await self.context.recorder.record(
            live,
            lambda: [Dropped(program_id)],
            DROP_WAIT_MS,
        )
        self.owner.live.pop(program_id, None)
        self.ended_ms.pop(program_id, None)
