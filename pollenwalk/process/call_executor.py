"""Execution of calls at the sidecar's upstream host."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from loguru import logger

from pollenwalk.connection.call_messages import Answer, Dispatch, HistoryItem, Tokens
from pollenwalk.connection.upstream import ChatRequest, Engine, Service
from pollenwalk.errors import (
    ConnectionLost,
    Outcome,
    PollenwalkError,
    Refusal,
    RefusalCode,
)
from pollenwalk.policy.slot_queue import SlotQueue
from pollenwalk.process.clock import Clock
from pollenwalk.process.memory_leases import MemoryLeases
from pollenwalk.process.sidecar_calls import CallTable, SidecarCall
from pollenwalk.process.sidecar_histories import SidecarHistories
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.traces import Tracer
from pollenwalk.version.resources import UpstreamSpec

STREAM_ATTEMPTS = 3
RESUME_DELAY_MS = 100


class CallExecutor:
    """Runs calls: queues them, sends them upstream and stores their results.

    Attributes:
        calls: the calls by id.
        histories: cached histories of programs, for model calls.
        slot_queue: the queue for the slots of the host.
        leases: leases on engine memory; None if the upstream is no engine.
        spec: the declaration of the upstream; None until an entry has sent it.
    """

    def __init__(
        self,
        upstream: Engine | Service,
        clock: Clock,
        tasks: TaskSet,
        tracer: Tracer,
    ) -> None:
        """Create an executor for calls to `upstream`.

        Args:
            upstream: client of the upstream.
            clock: the process's clock.
            tasks: gets one background task per call.
            tracer: records a span for each call to the upstream.
        """
        self.upstream = upstream
        self.clock = clock
        self.tasks = tasks
        self.tracer = tracer
        self.calls = CallTable(clock)
        self.histories = SidecarHistories()
        self.slot_queue = SlotQueue(clock)
        self.leases = MemoryLeases(upstream, clock) if is_engine(upstream) else None
        self.spec: UpstreamSpec | None = None

    def start_call(self, message: Dispatch, history: list[HistoryItem]) -> SidecarCall:
        """Start a call in a background task."""
        call = SidecarCall(message, history)
        self.calls.by_id[message.call] = call
        call.task = self.tasks.spawn(self.run_call(call), 'sidecar_call')
        return call

    async def run_call(self, call: SidecarCall) -> None:
        """Wait for a slot, run the call and store its result.

        If the task ends in any other way once it has a slot, for instance by
        cancellation, the call is refused with an unknown outcome.
        """
        message = call.message
        deadline_ms = self.clock.now_ms() + message.time_left_ms
        try:
            await self.slot_queue.acquire(
                message.priority,
                deadline_ms,
                self.clock.now_ms() - message.program_age_ms,
            )
        except Refusal as refusal:
            self.record_refusal(call, refusal)
            return
        try:
            await self.run_with_timeout(call, deadline_ms)
        except Refusal as refusal:
            self.record_refusal(call, refusal)
        finally:
            self.slot_queue.release()
            if not call.result.done():
                call.fail(cancelled_refusal(), self.clock.now_ms())

    def record_refusal(self, call: SidecarCall, refusal: Refusal) -> None:
        """Store a refusal as the call's result.

        A call that has not run is removed, so that it may be dispatched again.
        """
        if refusal.outcome == Outcome.NOT_RUN:
            self.calls.by_id.pop(call.message.call, None)
        call.fail(refusal, self.clock.now_ms())

    async def run_with_timeout(self, call: SidecarCall, deadline_ms: float) -> None:
        """Run a call at the upstream within its deadline and the declared timeout.

        Whichever of the two comes first ends it.

        Args:
            call: the call.
            deadline_ms: deadline of the call, on the process's clock.

        Raises:
            Refusal: the upstream did not answer in time, or failed.
        """
        remaining_ms = deadline_ms - self.clock.now_ms()
        limit_ms = min(remaining_ms, float(self.spec.timeout_ms))
        with self.tracer.span('upstream', call.message.trace):
            try:
                async with self.clock.timeout_ms(limit_ms):
                    answer = await self.invoke(call)
            except TimeoutError as error:
                await self.cancel_at_engine(call)
                raise deadline_refusal() from error
        call.finish(answer, self.clock.now_ms())

    async def invoke(self, call: SidecarCall) -> Answer:
        """Run a model call at an engine, or an operation of a plain service."""
        if self.leases is not None:
            return await self.run_chat(call)
        message = call.message
        output = await self.upstream.invoke(
            message.call,
            message.operation,
            message.argument,
        )
        return Answer(output)

    async def run_chat(self, call: SidecarCall) -> Answer:
        """Run a model call under a memory lease and extend the cached history."""
        message = call.message
        self.leases.begin_call(message.program)
        try:
            answer = await self.stream_chat(call)
        finally:
            self.leases.end_call(message.program)
        self.histories.append_turn(message, answer)
        return answer

    async def stream_chat(self, call: SidecarCall) -> Answer:
        """Stream the engine's answer, resuming the stream if it is interrupted.

        Raises:
            Refusal: the engine refused, or all STREAM_ATTEMPTS streams were
                interrupted.
        """
        prompt = [
            *call.history,
            HistoryItem('user', str(call.message.argument.get('message', ''))),
        ]
        request = ChatRequest(
            call.message.call,
            call.message.program,
            prompt,
            call.message.max_tokens,
            call.message.priority,
        )
        source = self.upstream.chat(request)
        for _ in range(STREAM_ATTEMPTS):
            try:
                answer = await self.forward_stream(source, call)
            except ConnectionLost as error:
                logger.info('engine_stream_interrupted', reason=error.message)
            else:
                return complete_answer(call, answer)
            await self.clock.sleep_ms(RESUME_DELAY_MS)
            source = self.resume(call)
        raise Refusal(
            RefusalCode.UPSTREAM_FAILED,
            'the engine gave no complete answer, even after resuming the stream',
            Outcome.UNKNOWN,
        )

    async def resume(self, call: SidecarCall) -> AsyncIterator[Any]:
        """Resume the stream of a call after the tokens that have been received.

        Raises:
            ConnectionLost: the stream was interrupted again.
            Refusal: the engine does not resume it, as after a restart; the outcome
                is unknown, since the call had begun to run.
        """
        offset = len(call.stream.texts)
        try:
            async for item in self.upstream.resume(call.message.call, offset):
                yield item
        except Refusal as refusal:
            raise Refusal(refusal.code, refusal.message, Outcome.UNKNOWN) from refusal

    async def forward_stream(
        self, source: AsyncIterator[Any], call: SidecarCall
    ) -> Answer:
        """Append the engine's tokens to the call's stream and return its answer.

        Raises:
            ConnectionLost: the stream ended without an answer.
        """
        async for item in source:
            if isinstance(item, Tokens):
                call.stream.append(item)
            else:
                return item
        raise ConnectionLost('the engine ended its stream without an answer')

    async def cancel_at_engine(self, call: SidecarCall) -> None:
        """Ask the engine to stop generating for a call; does nothing at a service."""
        if self.leases is None:
            return
        try:
            await self.upstream.cancel(call.message.call)
        except PollenwalkError as error:
            logger.warning('engine_cancel_failed', reason=error.message)

    async def cancel_program(self, program: str) -> None:
        """Stop the idempotent calls of a program; others run to their end."""
        for call in list(self.calls.by_id.values()):
            message = call.message
            if message.program == program and message.idempotent:
                await self.stop_call(call)

    async def stop_call(self, call: SidecarCall) -> None:
        """Cancel a waiting or running call, which must be idempotent, and remove it.

        Does nothing if the call has ended.
        """
        if call.ended_ms or call.task is None:
            return
        await self.cancel_at_engine(call)
        call.task.cancel()
        await asyncio.gather(call.task, return_exceptions=True)
        self.calls.by_id.pop(call.message.call, None)


def is_engine(upstream: Engine | Service) -> bool:
    """Return whether the upstream is a model engine, not a plain service."""
    return hasattr(upstream, 'chat')


def complete_answer(call: SidecarCall, answer: Answer) -> Answer:
    """Return the answer with the tokens of all streams of the call."""
    texts = call.stream.texts
    return answer._replace(output={'text': ''.join(texts)}, tokens=len(texts))


def deadline_refusal() -> Refusal:
    """Return the refusal for a call that the upstream did not answer in time."""
    return Refusal(
        RefusalCode.DEADLINE,
        'the upstream did not answer within the deadline or its declared timeout',
        Outcome.UNKNOWN,
    )


def cancelled_refusal() -> Refusal:
    """Return the refusal for a call whose task ended without a result."""
    return Refusal(
        RefusalCode.CANCELLED,
        'the call was cancelled',
        Outcome.UNKNOWN,
    )
