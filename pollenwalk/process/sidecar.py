"""The process beside an upstream host: the only one that talks to it."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple

from loguru import logger

from pollenwalk.connection.channel import Listener, Network
from pollenwalk.connection.peer import COALESCE_MS, PeerServer
from pollenwalk.connection.upstream import ChatRequest, Engine, Service
from pollenwalk.connection.wire import (
    Answer,
    Dispatch,
    Done,
    Drain,
    Entries,
    Follow,
    Hello,
    HistoryItem,
    NeedHistory,
    Release,
    Renew,
    Report,
    Resolution,
    Resolve,
    Settle,
    Tokens,
    UpstreamConfig,
    decode_datagram,
    encode_datagram,
)
from pollenwalk.errors import (
    ConnectionLost,
    Outcome,
    PollenwalkError,
    Refusal,
    RefusalCode,
)
from pollenwalk.policy.admission import Admission
from pollenwalk.process.clock import Clock
from pollenwalk.process.grants import Grants
from pollenwalk.process.sidecar_calls import Sessions, SidecarCall, SidecarCalls
from pollenwalk.process.sidecar_histories import SidecarHistories
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.traces import Tracer
from pollenwalk.version.config import spec_from
from pollenwalk.version.resources import Kind, UpstreamSpec

REPORT_MS = 1000
SEED_EVERY = 10
SWEEP_MS = 1000
ORPHAN_MS = 10_000
STOP_PATIENCE_MS = 60_000
STOP_CHECK_MS = 20
RESUME_ATTEMPTS = 3
RESUME_PAUSE_MS = 100
RETRY_AFTER_MS = 1000
ID_BITS = 64


class SidecarSettings(NamedTuple):
    """Where a sidecar runs and what it stands beside.

    Attributes:
        sidecar: its id, the same after a restart.
        upstream: the declared upstream it belongs to.
        address: `ip:port` for entries, TCP and UDP.
        zone: its availability zone.
        entries: `ip:port` of entries to report to at first.
        coalesce_ms: how long tokens may wait for company.
    """

    sidecar: str
    upstream: str
    address: str
    zone: str
    entries: list[str]
    coalesce_ms: float = COALESCE_MS


class Sidecar:
    """One start of a sidecar."""

    def __init__(
        self,
        settings: SidecarSettings,
        network: Network,
        clock: Clock,
        upstream: Engine | Service,
        dice: random.Random,
        tracer: Tracer,
    ) -> None:
        """Stand beside `upstream`; nothing is started yet."""
        self.settings = settings
        self.network = network
        self.clock = clock
        self.upstream = upstream
        self.tracer = tracer
        self.tasks = TaskSet()
        self.boot = f'{dice.getrandbits(ID_BITS):016x}'
        self.calls = SidecarCalls(clock)
        self.sessions = Sessions()
        self.histories = SidecarHistories()
        self.admission = Admission(clock)
        self.grants = Grants(upstream, clock) if is_engine(upstream) else None
        self.server = PeerServer(
            clock,
            self.handle,
            self.boot,
            settings.coalesce_ms,
        )
        self.spec: UpstreamSpec | None = None
        self.spec_version = 0
        self.entries = list(settings.entries)
        self.interval_ms = float(REPORT_MS)
        self.digest = ''
        self.reports = 0
        self.leaving = False
        self.listeners: list[Listener] = []

    async def start(self) -> None:
        """Listen and begin to report."""
        address = self.settings.address
        self.listeners = [
            await self.network.listen(address, self.server.serve),
            await self.network.bind(address, self.datagram),
        ]
        self.tasks.spawn(self.report(), 'report')
        self.tasks.spawn(self.sweep(), 'sweep')
        if self.grants is not None:
            self.tasks.spawn(self.grants.watch(), 'grants')

    async def stop(self) -> None:
        """Stop gracefully: refuse new calls, end those in progress."""
        self.leaving = True
        self.send_report()
        until_ms = self.clock.now_ms() + STOP_PATIENCE_MS
        while self.busy() and self.clock.now_ms() < until_ms:
            await self.clock.sleep_ms(STOP_CHECK_MS)
        await self.clock.sleep_ms(STOP_CHECK_MS)
        await self.close()

    def busy(self) -> bool:
        """Tell whether a call runs or its answer is still being read."""
        return any(
            not call.ended_ms or call.stream.followers
            for call in self.calls.calls.values()
        )

    async def close(self) -> None:
        """End everything at once."""
        await self.tasks.cancel()
        await self.server.close()
        for listener in self.listeners:
            await listener.close()

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
        call = self.calls.calls.get(message.call)
        if call is None or (call.failed and message.idempotent):
            self.check_open()
            history = self.histories.join(message) if self.grants else []
            if history is None:
                yield NeedHistory(message.program)
                return
            call = self.begin(message, history)
        async for item in call.follow(0):
            yield self.with_load(item)

    def with_load(self, item: Tokens | Answer) -> Tokens | Answer:
        """Let an answer tell how many calls are still here."""
        if isinstance(item, Tokens):
            return item
        ahead = self.admission.running + len(self.admission.waiting)
        return item._replace(ahead=ahead)

    def check_boot(self, boot: str, outcome: Outcome) -> None:
        """Refuse what was meant for an earlier start of this sidecar."""
        if boot != self.boot:
            raise Refusal(
                RefusalCode.STALE_SESSION,
                'this sidecar has restarted',
                outcome,
            )

    def check_open(self) -> None:
        """Refuse new calls while leaving or without a declaration."""
        if self.leaving:
            raise Refusal(
                RefusalCode.STOPPING,
                'this upstream host is leaving',
                retry_after_ms=RETRY_AFTER_MS,
            )
        if self.spec is None:
            raise Refusal(
                RefusalCode.NO_UPSTREAM,
                'this sidecar has no declaration yet',
                retry_after_ms=RETRY_AFTER_MS,
            )

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
            await self.admission.enter(
                message.priority,
                deadline_ms,
                bool(message.base),
            )
        except Refusal as refusal:
            self.refused(call, refusal)
            return
        call.started = True
        try:
            await self.run_upstream(call, deadline_ms)
        except Refusal as refusal:
            self.refused(call, refusal)
        finally:
            self.admission.leave()
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

    async def follow(self, hello: Hello, message: Follow) -> AsyncIterator[Any]:
        """Attach to a call."""
        self.check_boot(message.boot, Outcome.UNKNOWN)
        async for item in self.calls.find(message.call).follow(message.offset):
            yield item

    async def resolve(self, hello: Hello, message: Resolve) -> AsyncIterator[Any]:
        """Tell what became of a call, and see to it that this stays so."""
        self.check_boot(message.boot, Outcome.UNKNOWN)
        if message.fence:
            self.sessions.seal(message.fence)
        call = self.calls.calls.get(message.call)
        if call is None:
            yield Resolution('not_run')
        else:
            yield Resolution('done' if call.ended_ms else 'running')

    async def settle(self, hello: Hello, message: Settle) -> AsyncIterator[Any]:
        """Drop calls whose results are durable elsewhere."""
        for call_id in message.calls:
            call = self.calls.calls.get(call_id)
            if call is not None and call.ended_ms:
                self.calls.calls.pop(call_id)
        yield Done()

    async def renew(self, hello: Hello, message: Renew) -> AsyncIterator[Any]:
        """Renew leases on engine memory."""
        if self.grants is not None:
            for program in message.programs:
                self.grants.renew(program)
        yield Done()

    async def release(self, hello: Hello, message: Release) -> AsyncIterator[Any]:
        """Cancel what ended programs run and return their memory."""
        for program in message.programs:
            await self.cancel_program(program)
            self.histories.drop(program)
            if self.grants is not None:
                await self.grants.release(program)
        yield Done()

    async def drain(self, hello: Hello, message: Drain) -> AsyncIterator[Any]:
        """Take no new calls from now on."""
        self.leaving = True
        self.send_report()
        yield Done()

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

    async def sweep(self) -> None:
        """Stop orphan calls and forget old ones."""
        while True:
            await self.clock.sleep_ms(SWEEP_MS)
            self.calls.drop_old()
            for call in list(self.calls.calls.values()):
                if self.is_orphan(call):
                    await self.stop_call(call)

    def is_orphan(self, call: SidecarCall) -> bool:
        """Tell whether a repeatable call has long had no follower."""
        if call.stream.followers or call.ended_ms or not call.message.idempotent:
            call.alone_ms = None
            return False
        now_ms = self.clock.now_ms()
        if call.alone_ms is None:
            call.alone_ms = now_ms
        return now_ms - call.alone_ms > ORPHAN_MS

    async def report(self) -> None:
        """Report the load for as long as the process lives."""
        while True:
            self.send_report()
            await self.clock.sleep_ms(self.interval_ms)

    def send_report(self) -> None:
        """Send one report to each entry."""
        self.reports += 1
        settings = self.settings
        report = Report(
            settings.sidecar,
            self.boot,
            settings.upstream,
            settings.address,
            settings.zone,
            self.reports,
            self.admission.running,
            len(self.admission.waiting),
            self.admission.slots,
            self.leaving,
            self.spec_version,
            self.digest,
        )
        payload = encode_datagram(report)
        for address in self.targets():
            self.network.send_datagram(settings.address, address, payload)

    def targets(self) -> list[str]:
        """Give whom to report to; now and then also the first entries.

        All that were named since may have been replaced meanwhile.
        """
        if self.reports % SEED_EVERY:
            return self.entries
        return list(dict.fromkeys([*self.entries, *self.settings.entries]))

    def datagram(self, payload: bytes, sender: str) -> None:
        """Take an entry's reply to a report; noise is dropped."""
        try:
            message = decode_datagram(payload)
        except Refusal as refusal:
            logger.debug('datagram_dropped', sender=sender, reason=refusal.message)
            return
        if isinstance(message, Entries) and message.addresses:
            self.entries = message.addresses
            self.interval_ms = float(message.interval_ms)
            self.digest = message.digest
        if isinstance(message, UpstreamConfig):
            self.configure(message)

    def configure(self, message: UpstreamConfig) -> None:
        """Put a newer declaration in force."""
        if message.name != self.settings.upstream:
            return
        if message.version <= self.spec_version:
            return
        self.spec = spec_from(Kind.UPSTREAM, message.spec)
        self.spec_version = message.version
        self.admission.resize(self.spec.slots, self.spec.queue)
        self.send_report()


Handler = Callable[[Sidecar, Hello, Any], AsyncIterator[Any]]
HANDLERS: dict[type[Any], Handler] = {
    Dispatch: Sidecar.take,
    Follow: Sidecar.follow,
    Resolve: Sidecar.resolve,
    Settle: Sidecar.settle,
    Renew: Sidecar.renew,
    Release: Sidecar.release,
    Drain: Sidecar.drain,
}


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
