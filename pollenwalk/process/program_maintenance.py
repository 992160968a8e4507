"""Periodic work on an owner's programs: leases, idle programs, retention."""

from loguru import logger

from pollenwalk.connection.sidecar_messages import Release, Renew
from pollenwalk.errors import ConnectionLost, PollenwalkError, Refusal
from pollenwalk.process.owner_interface import OwnerInterface
from pollenwalk.program.live import LiveProgram
from pollenwalk.program.program import Program
from pollenwalk.program.records import Dropped
from pollenwalk.version.resources import ProgramSpec

RENEW_INTERVAL_MS = 5000
# Timeout of a request to free memory, and the pause before it is repeated.
RELEASE_TIMEOUT_MS = 2000
RELEASE_ATTEMPTS = 5
SWEEP_INTERVAL_MS = 2000
RETENTION_MS = 600_000
DROP_COMMIT_TIMEOUT_MS = 2000


class ProgramMaintenance:
    """Renews leases, ends idle programs and drops old ones for one owner.

    Attributes:
        ended_ms: when each ended program was first seen by the sweep.
    """

    def __init__(self, owner: OwnerInterface) -> None:
        """Maintain the programs of `owner`."""
        self.owner = owner
        self.context = owner.context
        self.ended_ms: dict[str, float] = {}

    def start(self) -> None:
        """Start the periodic tasks."""
        self.owner.tasks.spawn(self.renew(), 'renew')
        self.owner.tasks.spawn(self.sweep(), 'sweep')

    async def release(self, program: Program) -> None:
        """Ask every sidecar that holds engine memory for a program to free it.

        A sidecar that does not answer after `RELEASE_ATTEMPTS` frees it when
        the lease expires.
        """
        pending = list(program.engine_sidecars)
        for _ in range(RELEASE_ATTEMPTS):
            pending = [
                address
                for address in pending
                if not await self.release_at(address, program.id)
            ]
            if not pending:
                return
            await self.context.clock.sleep_ms(RELEASE_TIMEOUT_MS)

    async def release_at(self, address: str, program_id: str) -> bool:
        """Ask one sidecar to free memory, and return whether it confirmed."""
        try:
            await self.context.peers(address).request(
                Release([program_id]),
                RELEASE_TIMEOUT_MS,
            )
        except (ConnectionLost, Refusal):
            return False
        return True

    async def renew(self) -> None:
        """Renew the leases on engine memory every `RENEW_INTERVAL_MS`.

        Each sidecar gets one message for all its programs.
        """
        while True:
            for address, programs in self.programs_by_sidecar().items():
                self.owner.tasks.spawn(self.renew_at(address, programs), 'renew_at')
            await self.context.clock.sleep_ms(RENEW_INTERVAL_MS)

    def programs_by_sidecar(self) -> dict[str, list[str]]:
        """Return, by sidecar address, the running programs with memory there."""
        programs_by_sidecar: dict[str, list[str]] = {}
        for program in self.owner.table.programs.values():
            if program.ended:
                continue
            for address in program.engine_sidecars:
                programs_by_sidecar.setdefault(address, []).append(program.id)
        return programs_by_sidecar

    async def renew_at(self, address: str, programs: list[str]) -> None:
        """Renew leases at one sidecar; the next round makes up for a lost one."""
        try:
            await self.context.peers(address).request(
                Renew(programs), RENEW_INTERVAL_MS
            )
        except (ConnectionLost, Refusal):
            logger.debug('renew_lost', address=address)

    async def sweep(self) -> None:
        """End idle and overdue programs, and drop ended ones after retention."""
        while True:
            await self.context.clock.sleep_ms(SWEEP_INTERVAL_MS)
            self.owner.drop_claims()
            for program in list(self.owner.table.programs.values()):
                await self.sweep_program(program)

    async def sweep_program(self, program: Program) -> None:
        """End or drop one program if it is due.

        Errors are logged, and the next sweep tries again.
        """
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
            if now_ms - ended_ms > RETENTION_MS:
                await self.drop_program(live)
        except PollenwalkError as error:
            logger.debug('sweep_put_off', program=program.id, reason=str(error))

    async def drop_program(self, live: LiveProgram) -> None:
        """Record that an ended program is dropped, and remove it."""
        program_id = live.program.id
        await self.context.recorder.record(
            live,
            lambda: [Dropped(program_id)],
            DROP_COMMIT_TIMEOUT_MS,
        )
        self.owner.live.pop(program_id, None)
        self.ended_ms.pop(program_id, None)
