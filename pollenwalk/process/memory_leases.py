"""Leases on engine memory, so that ended programs hold none.

Homes renew in batches. What the engine holds without a lease, after a restart
of the sidecar or a lost message, is returned once its lease has lapsed.
"""

from loguru import logger

from pollenwalk.connection.upstream import Engine
from pollenwalk.errors import ConnectionLost, Refusal
from pollenwalk.process.clock import Clock

LEASE_MS = 20_000
CHECK_INTERVAL_MS = 2_000


class MemoryLeases:
    """Which programs may hold memory of one engine."""

    def __init__(self, engine: Engine, clock: Clock) -> None:
        """Start with no lease."""
        self.engine = engine
        self.clock = clock
        self.expires_ms: dict[str, float] = {}
        self.running_calls: dict[str, int] = {}

    def renew(self, program: str) -> None:
        """Grant or renew a program's lease."""
        self.expires_ms[program] = self.clock.now_ms() + LEASE_MS

    def expire(self, program: str) -> None:
        """Let a program's lease lapse now."""
        self.expires_ms[program] = self.clock.now_ms()

    def begin_call(self, program: str) -> None:
        """Keep a program's memory while a call of it runs."""
        self.running_calls[program] = self.running_calls.get(program, 0) + 1
        self.renew(program)

    def end_call(self, program: str) -> None:
        """Note that a call of a program has ended."""
        self.running_calls[program] -= 1
        if not self.running_calls[program]:
            self.running_calls.pop(program)

    async def release(self, program: str) -> None:
        """Return a program's memory now.

        Raises:
            ConnectionLost: the engine did not answer; the lapsed lease makes
                sure that it is asked again.
        """
        self.expire(program)
        if program in self.running_calls:
            return
        await self.engine.release(program)
        self.expires_ms.pop(program, None)

    async def reclaim_periodically(self) -> None:
        """Return what is held without a lease, as long as the process lives."""
        while True:
            try:
                await self.reclaim_expired()
            except (ConnectionLost, Refusal) as error:
                logger.warning('engine_silent', reason=error.message)
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)

    async def reclaim_expired(self) -> None:
        """Compare the engine's own list with the leases."""
        now_ms = self.clock.now_ms()
        for program in sorted(await self.engine.held()):
            lease_ms = self.expires_ms.setdefault(program, now_ms + LEASE_MS)
            if lease_ms <= now_ms and program not in self.running_calls:
                logger.info('memory_returned', program=program)
                await self.release(program)
