"""Leases on engine memory, so that ended programs do not occupy it.

Engine memory is what an engine has cached of a program's prompts. Owners renew
the leases of their programs in batches. A program that the engine holds memory
for without a lease (the sidecar restarted, or a message was lost) gets one
lease; if it is not renewed, the memory is freed when it expires.
"""

from loguru import logger

from pollenwalk.connection.upstream import Engine
from pollenwalk.errors import ConnectionLost, Refusal
from pollenwalk.process.clock import Clock

LEASE_MS = 20_000
RECLAIM_INTERVAL_MS = 2_000


class MemoryLeases:
    """The leases of programs on the memory of one engine.

    Attributes:
        expires_ms: when each program's lease expires, on the process's clock.
        running_calls: number of running calls by program; programs without
            one are left out.
    """

    def __init__(self, engine: Engine, clock: Clock) -> None:
        """Create an empty set of leases for `engine`."""
        self.engine = engine
        self.clock = clock
        self.expires_ms: dict[str, float] = {}
        self.running_calls: dict[str, int] = {}

    def renew(self, program: str) -> None:
        """Grant a program a lease of LEASE_MS, or renew it."""
        self.expires_ms[program] = self.clock.now_ms() + LEASE_MS

    def expire(self, program: str) -> None:
        """Make a program's lease expire now."""
        self.expires_ms[program] = self.clock.now_ms()

    def begin_call(self, program: str) -> None:
        """Count a running call and renew its program's lease.

        The program's memory is not freed while a call of it runs.
        """
        self.running_calls[program] = self.running_calls.get(program, 0) + 1
        self.renew(program)

    def end_call(self, program: str) -> None:
        """Stop counting a call that has ended."""
        self.running_calls[program] -= 1
        if not self.running_calls[program]:
            self.running_calls.pop(program)

    async def release(self, program: str) -> None:
        """Expire a program's lease and free its memory if no call of it runs.

        Memory that is not freed now is freed later by `reclaim_expired`.

        Raises:
            ConnectionLost: the engine did not answer.
        """
        self.expire(program)
        if program in self.running_calls:
            return
        await self.engine.release_memory(program)
        self.expires_ms.pop(program, None)

    async def reclaim_periodically(self) -> None:
        """Free memory without a valid lease periodically, until cancelled."""
        while True:
            try:
                await self.reclaim_expired()
            except (ConnectionLost, Refusal) as error:
                logger.warning('memory_reclaim_failed', reason=error.message)
            await self.clock.sleep_ms(RECLAIM_INTERVAL_MS)

    async def reclaim_expired(self) -> None:
        """Free the memory of programs that the engine holds beyond their lease.

        A program that has no lease is given one and keeps its memory until that
        expires.

        Raises:
            ConnectionLost: the engine did not answer.
            Refusal: the engine's list could not be read.
        """
        now_ms = self.clock.now_ms()
        for program in sorted(await self.engine.list_cache()):
            expiry_ms = self.expires_ms.setdefault(program, now_ms + LEASE_MS)
            if expiry_ms <= now_ms and program not in self.running_calls:
                logger.info('memory_returned', program=program)
                await self.release(program)
