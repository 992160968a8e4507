"""What a sidecar answers to entries and operators."""

from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol

from pollenwalk.connection.wire import (
    Answer,
    Dispatch,
    Done,
    Drain,
    Follow,
    Hello,
    NeedHistory,
    Release,
    Renew,
    Resolution,
    Resolve,
    Settle,
    Tokens,
)
from pollenwalk.errors import Outcome, Refusal, RefusalCode
from pollenwalk.process.sidecar_calls import Sessions
from pollenwalk.process.upstream_calls import UpstreamCalls

RETRY_AFTER_MS = 1000


class SidecarWork(Protocol):
    """A sidecar, as the answers to its peers see it.

    Attributes:
        boot: of this start.
        leaving: whether it takes no new calls.
        work: its calls.
    """

    boot: str
    leaving: bool
    work: UpstreamCalls

    def send_report(self) -> None:
        """Send one report to each entry."""


class SidecarService:
    """Answers peers for one start of a sidecar."""

    def __init__(self, sidecar: SidecarWork) -> None:
        """Answer for `sidecar`."""
        self.sidecar = sidecar
        self.work = sidecar.work
        self.sessions = Sessions()

    async def handle(self, hello: Hello, message: Any) -> AsyncIterator[Any]:
        """Answer one question of an entry."""
        self.sessions.open(hello.incarnation, hello.epoch)
        answer = HANDLERS.get(type(message))
        if answer is None:
            raise Refusal(RefusalCode.PROTOCOL, f'unexpected {type(message)}')
        async for item in answer(self, hello, message):
            yield item

    async def take(self, hello: Hello, message: Dispatch) -> AsyncIterator[Any]:
        """Take a call over, or attach to the one already here."""
        self.sessions.check(hello.incarnation, hello.epoch)
        self.check_boot(message.boot, Outcome.NOT_RUN)
        call = self.work.calls.calls.get(message.call)
        if call is None or (call.failed and message.idempotent):
            self.check_accepts_work()
            history = self.work.histories.join(message) if self.work.grants else []
            if history is None:
                yield NeedHistory(message.program)
                return
            call = self.work.begin(message, history)
        async for item in call.follow(0):
            yield self.with_load(item)

    def with_load(self, item: Tokens | Answer) -> Tokens | Answer:
        """Let an answer tell how many calls are still here."""
        if isinstance(item, Tokens):
            return item
        ahead = self.work.slot_queue.running + len(self.work.slot_queue.waiting)
        return item._replace(ahead=ahead)

    def check_boot(self, boot: str, outcome: Outcome) -> None:
        """Refuse what was meant for an earlier start of this sidecar."""
        if boot != self.sidecar.boot:
            raise Refusal(
                RefusalCode.STALE_SESSION,
                'this sidecar has restarted',
                outcome,
            )

    def check_accepts_work(self) -> None:
        """Refuse new calls while leaving or without a declaration."""
        if self.sidecar.leaving:
            raise Refusal(
                RefusalCode.STOPPING,
                'this upstream host is leaving',
                retry_after_ms=RETRY_AFTER_MS,
            )
        if self.work.spec is None:
            raise Refusal(
                RefusalCode.NO_UPSTREAM,
                'this sidecar has no declaration yet',
                retry_after_ms=RETRY_AFTER_MS,
            )

    async def follow(self, hello: Hello, message: Follow) -> AsyncIterator[Any]:
        """Attach to a call."""
        self.check_boot(message.boot, Outcome.UNKNOWN)
        async for item in self.work.calls.find(message.call).follow(message.offset):
            yield item

    async def resolve(self, hello: Hello, message: Resolve) -> AsyncIterator[Any]:
        """Tell what became of a call, and see to it that this stays so."""
        self.check_boot(message.boot, Outcome.UNKNOWN)
        if message.fence:
            self.sessions.seal(message.fence)
        call = self.work.calls.calls.get(message.call)
        if call is None:
            yield Resolution('not_run')
        else:
            yield Resolution('done' if call.ended_ms else 'running')

    async def settle(self, hello: Hello, message: Settle) -> AsyncIterator[Any]:
        """Drop calls whose results are durable elsewhere."""
        for call_id in message.calls:
            call = self.work.calls.calls.get(call_id)
            if call is not None and call.ended_ms:
                self.work.calls.calls.pop(call_id)
        yield Done()

    async def renew(self, hello: Hello, message: Renew) -> AsyncIterator[Any]:
        """Renew leases on engine memory."""
        if self.work.grants is not None:
            for program in message.programs:
                self.work.grants.renew(program)
        yield Done()

    async def release(self, hello: Hello, message: Release) -> AsyncIterator[Any]:
        """Cancel what ended programs run and return their memory."""
        for program in message.programs:
            await self.work.cancel_program(program)
            self.work.histories.drop(program)
            if self.work.grants is not None:
                await self.work.grants.release(program)
        yield Done()

    async def drain(self, hello: Hello, message: Drain) -> AsyncIterator[Any]:
        """Take no new calls from now on."""
        self.sidecar.leaving = True
        self.sidecar.send_report()
        yield Done()


Handler = Callable[[SidecarService, Hello, Any], AsyncIterator[Any]]
HANDLERS: dict[type[Any], Handler] = {
    Dispatch: SidecarService.take,
    Follow: SidecarService.follow,
    Resolve: SidecarService.resolve,
    Settle: SidecarService.settle,
    Renew: SidecarService.renew,
    Release: SidecarService.release,
    Drain: SidecarService.drain,
}
