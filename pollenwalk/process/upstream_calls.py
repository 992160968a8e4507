"""Running calls at the upstream beside a sidecar."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from loguru import logger

from pollenwalk.connection.upstream import ChatRequest, Engine, Service
from pollenwalk.connection.wire import Answer, Dispatch, HistoryItem, Tokens
from pollenwalk.errors import (
    ConnectionLost,
    Outcome,
    PollenwalkError,
    Refusal,
    RefusalCode,
)
from pollenwalk.policy.slot_queue import SlotQueue
from pollenwalk.process.clock import Clock
from pollenwalk.process.grants import Grants
from pollenwalk.process.sidecar_calls import SidecarCall, SidecarCalls
from pollenwalk.process.sidecar_histories import SidecarHistories
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.traces import Tracer
from pollenwalk.version.resources import UpstreamSpec

RESUME_ATTEMPTS = 3
RESUME_PAUSE_MS = 100


class UpstreamCalls:
    """The calls of one start of a sidecar, from the queue to their result."""

    def __init__(
        self,
        upstream: Engine | Service,
        clock: Clock,
        tasks: TaskSet,
        tracer: Tracer,
    ) -> None:
        """Run calls at `upstream`."""
        self.upstream = upstream
        self.clock = clock
        self.tasks = tasks
        self.tracer = tracer
        self.calls = SidecarCalls(clock)
        self.histories = SidecarHistories()
        self.slot_queue = SlotQueue(clock)
        self.grants = Grants(upstream, clock) if is_engine(upstream) else None
        self.spec: UpstreamSpec | None = None

    def begin(self, message: Dispatch, history: list[HistoryItem]) -> SidecarCall:
        """Start a call's task."""
        call = SidecarCall(message, history)
        self.calls.calls[message.call] = call
        call.task = self.tasks.spawn(self.run(call), 'sidecar_call')
        return call

    async def run(self, call: SidecarCall) -> None:
        """Wait for a slot, run the call and keep its result."""
        message = call.message
        deadline_ms = self.clock.now_ms() + message.deadline_in_ms
        try:
            await self.slot_queue.acquire(
                message.priority,
                deadline_ms,
                self.clock.now_ms() - message.age_ms,
            )
        except Refusal as refusal:
            self.refused(call, refusal)
            return
        try:
            await self.run_upstream(call, deadline_ms)
        except Refusal as refusal:
            self.refused(call, refusal)
        finally:
            self.slot_queue.release()
            if not call.result.done():
                call.fail(cut_short(), self.clock.now_ms())

    def refused(self, call: SidecarCall, refusal: Refusal) -> None:
        """Keep a refusal; a call that did not run may be handed over again."""
        if refusal.outcome == Outcome.NOT_RUN:
            self.calls.calls.pop(call.message.call, None)
        call.fail(refusal, self.clock.now_ms())

    async def run_upstream(self, call: SidecarCall, deadline_ms: float) -> None:
        """Run a call at the upstream, in its time."""
        left_ms = deadline_ms - self.clock.now_ms()
        limit_ms = min(left_ms, float(self.spec.timeout_ms))
        with self.tracer.span('upstream', call.message.trace):
            try:
                async with self.clock.timeout_ms(limit_ms):
                    answer = await self.run_kind(call)
            except TimeoutError as error:
                await self.abandon(call)
                raise timed_out() from error
        call.finish(answer, self.clock.now_ms())

    async def run_kind(self, call: SidecarCall) -> Answer:
        """Run a model call or a plain one."""
        if self.grants is not None:
            return await self.run_model(call)
        message = call.message
        output = await self.upstream.invoke(
            message.call,
            message.operation,
            message.argument,
        )
        return Answer(output)

    async def run_model(self, call: SidecarCall) -> Answer:
        """Run a model call and keep the history beside its engine."""
        message = call.message
        self.grants.enter(message.program)
        try:
            answer = await self.generate(call)
        finally:
            self.grants.leave(message.program)
        self.histories.extend(message, answer)
        return answer

    async def generate(self, call: SidecarCall) -> Answer:
        """Stream from the engine, resuming when the stream is cut."""
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
        for _ in range(RESUME_ATTEMPTS):
            try:
                answer = await self.pump(source, call)
            except ConnectionLost as error:
                logger.info('engine_stream_cut', reason=error.message)
            else:
                return whole_answer(call, answer)
            await self.clock.sleep_ms(RESUME_PAUSE_MS)
            source = self.upstream.resume(request.call, len(call.stream.texts))
        raise Refusal(
            RefusalCode.UPSTREAM_FAILED,
            'the engine does not answer',
            Outcome.UNKNOWN,
        )

    async def pump(self, source: AsyncIterator[Any], call: SidecarCall) -> Answer:
        """Pass an engine's stream on to the followers."""
        async for item in source:
            if isinstance(item, Tokens):
                call.stream.append(item)
            else:
                return item
        raise ConnectionLost('the engine ended its stream without an answer')

    async def abandon(self, call: SidecarCall) -> None:
        """Stop the engine's work on a call that nobody waits for."""
        if self.grants is None:
            return
        try:
            await self.upstream.cancel(call.message.call)
        except PollenwalkError as error:
            logger.warning('cancel_lost', reason=error.message)

    async def cancel_program(self, program: str) -> None:
        """Stop the calls of a program that may be stopped."""
        for call in list(self.calls.calls.values()):
            message = call.message
            if message.program == program and message.idempotent:
                await self.stop_call(call)

    async def stop_call(self, call: SidecarCall) -> None:
        """Stop a call that may be repeated."""
        if call.ended_ms or call.task is None:
            return
        await self.abandon(call)
        call.task.cancel()
        await asyncio.gather(call.task, return_exceptions=True)
        self.calls.calls.pop(call.message.call, None)


def is_engine(upstream: Engine | Service) -> bool:
    """Tell a model engine from a plain service."""
    return hasattr(upstream, 'chat')


def whole_answer(call: SidecarCall, answer: Answer) -> Answer:
    """Put together what came before and after a cut."""
    texts = call.stream.texts
    return answer._replace(output={'text': ''.join(texts)}, tokens=len(texts))


def timed_out() -> Refusal:
    """Refuse a call that took too long at the upstream."""
    return Refusal(
        RefusalCode.DEADLINE,
        'the upstream did not answer in time',
        Outcome.UNKNOWN,
    )


def cut_short() -> Refusal:
    """Describe a call whose task was ended."""
    return Refusal(
        RefusalCode.CANCELLED,
        'the call was cancelled',
        Outcome.UNKNOWN,
    )
