"""Handlers for the requests that entries and operators send to a sidecar."""

from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol

from pollenwalk.connection.call_messages import (
    Answer,
    Dispatch,
    Follow,
    NeedHistory,
    Resolution,
    Resolve,
    Settle,
    Tokens,
)
from pollenwalk.connection.peer_messages import Done, Hello
from pollenwalk.connection.sidecar_messages import Drain, Release, Renew
from pollenwalk.errors import Outcome, Refusal, RefusalCode
from pollenwalk.process.call_executor import CallExecutor
from pollenwalk.process.sidecar_calls import EpochFence

# When a caller may try again, if the host is leaving or has no declaration yet.
RETRY_AFTER_MS = 1000


class SidecarInterface(Protocol):
    """The part of a sidecar that the request handlers use.

    Attributes:
        boot_id: id of this start of the process.
        leaving: whether new calls are refused.
        executor: runs the calls.
    """

    boot_id: str
    leaving: bool
    executor: CallExecutor

    def send_report(self) -> None:
        """Send a load report to each entry known to this sidecar."""


class SidecarService:
    """Handles the requests to a sidecar."""

    def __init__(self, sidecar: SidecarInterface) -> None:
        """Handle requests on behalf of `sidecar`."""
        self.sidecar = sidecar
        self.executor = sidecar.executor
        self.epoch_fence = EpochFence()

    async def handle(self, hello: Hello, message: Any) -> AsyncIterator[Any]:
        """Handle one request and yield its replies.

        Args:
            hello: the first message of the connection.
            message: the request.

        Raises:
            Refusal: the request is refused, or no handler takes its type.
        """
        self.epoch_fence.advance(hello.incarnation, hello.epoch)
        handler = HANDLERS.get(type(message))
        if handler is None:
            raise Refusal(RefusalCode.PROTOCOL, f'unexpected {type(message)}')
        async for item in handler(self, hello, message):
            yield item

    async def dispatch(self, hello: Hello, message: Dispatch) -> AsyncIterator[Any]:
        """Start a call, or attach to it if it is already here.

        An idempotent call that has failed is started again. Yields the tokens
        and the answer, or NeedHistory if the history that the delta is based
        on is missing.
        """
        self.epoch_fence.check(hello.incarnation, hello.epoch)
        self.check_boot_id(message.boot_id, Outcome.NOT_RUN)
        call = self.executor.calls.by_id.get(message.call)
        if call is None or (call.failed and message.idempotent):
            self.check_accepting()
            history = (
                self.executor.histories.merge(message) if self.executor.leases else []
            )
            if history is None:
                yield NeedHistory(message.program)
                return
            call = self.executor.start_call(message, history)
        async for item in call.follow(0):
            yield self.with_load(item)

    def with_load(self, item: Tokens | Answer) -> Tokens | Answer:
        """Add the number of running and queued calls to an answer."""
        if isinstance(item, Tokens):
            return item
        remaining_calls = self.executor.slot_queue.running + len(
            self.executor.slot_queue.waiting
        )
        return item._replace(remaining_calls=remaining_calls)

    def check_boot_id(self, boot_id: str, outcome: Outcome) -> None:
        """Refuse a request that was meant for an earlier start of this sidecar."""
        if boot_id != self.sidecar.boot_id:
            raise Refusal(
                RefusalCode.STALE_SESSION,
                'sidecar restarted; the request names an earlier start',
                outcome,
            )

    def check_accepting(self) -> None:
        """Refuse new calls if the host is leaving or has no declaration yet."""
        if self.sidecar.leaving:
            raise Refusal(
                RefusalCode.STOPPING,
                'this upstream host is leaving',
                retry_after_ms=RETRY_AFTER_MS,
            )
        if self.executor.spec is None:
            raise Refusal(
                RefusalCode.NO_UPSTREAM,
                'this sidecar has not received the declaration of its upstream yet',
                retry_after_ms=RETRY_AFTER_MS,
            )

    async def follow(self, hello: Hello, message: Follow) -> AsyncIterator[Any]:
        """Attach to a call and yield its tokens from an offset on, then its answer."""
        self.check_boot_id(message.boot_id, Outcome.UNKNOWN)
        async for item in self.executor.calls.find(message.call).follow(message.offset):
            yield item

    async def resolve(self, hello: Hello, message: Resolve) -> AsyncIterator[Any]:
        """Report the state of a call: 'done', 'running' or 'not_run'.

        A call that waits for a slot counts as 'running'. If the request names a
        sealed incarnation, later dispatches of that incarnation are refused, so
        that 'not_run' stays true.
        """
        self.check_boot_id(message.boot_id, Outcome.UNKNOWN)
        if message.fence:
            self.epoch_fence.seal(message.fence)
        call = self.executor.calls.by_id.get(message.call)
        if call is None:
            yield Resolution('not_run')
        else:
            yield Resolution('done' if call.ended_ms else 'running')

    async def settle(self, hello: Hello, message: Settle) -> AsyncIterator[Any]:
        """Drop ended calls whose results the owner has made durable."""
        for call_id in message.calls:
            call = self.executor.calls.by_id.get(call_id)
            if call is not None and call.ended_ms:
                self.executor.calls.by_id.pop(call_id)
        yield Done()

    async def renew(self, hello: Hello, message: Renew) -> AsyncIterator[Any]:
        """Renew the leases of programs on engine memory."""
        if self.executor.leases is not None:
            for program in message.programs:
                self.executor.leases.renew(program)
        yield Done()

    async def release(self, hello: Hello, message: Release) -> AsyncIterator[Any]:
        """Cancel the idempotent calls of ended programs and free their memory.

        The memory of a program whose other calls still run is freed later.

        Raises:
            ConnectionLost: the engine did not answer.
        """
        for program in message.programs:
            await self.executor.cancel_program(program)
            self.executor.histories.drop(program)
            if self.executor.leases is not None:
                await self.executor.leases.release(program)
        yield Done()

    async def drain(self, hello: Hello, message: Drain) -> AsyncIterator[Any]:
        """Refuse new calls from now on and report that the host is leaving."""
        self.sidecar.leaving = True
        self.sidecar.send_report()
        yield Done()


Handler = Callable[[SidecarService, Hello, Any], AsyncIterator[Any]]
HANDLERS: dict[type[Any], Handler] = {
    Dispatch: SidecarService.dispatch,
    Follow: SidecarService.follow,
    Resolve: SidecarService.resolve,
    Settle: SidecarService.settle,
    Renew: SidecarService.renew,
    Release: SidecarService.release,
    Drain: SidecarService.drain,
}
