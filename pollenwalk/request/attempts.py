"""Attempts of one call: choosing a host, handing over, and pausing between."""

from loguru import logger

from pollenwalk.connection.peer import Connection
from pollenwalk.connection.wire import Answer, Dispatch
from pollenwalk.errors import Fenced, Refusal, RefusalCode
from pollenwalk.policy.placement import HostView, PlacementRequest
from pollenwalk.program.history import EMPTY_DIGEST, estimate_tokens
from pollenwalk.program.live import LiveProgram
from pollenwalk.request.call import LiveCall
from pollenwalk.request.dispatch import dispatch
from pollenwalk.request.entry_context import EntryContext
from pollenwalk.request.retry import pause_ms
from pollenwalk.version.resources import UpstreamSpec

DEFAULT_MAX_TOKENS = 64
MAX_ATTEMPTS = 6
NO_HOST_PAUSE_MS = 100
NO_HOST_WAIT_MS = 1500
REFUSED_PAUSE_MS = 100
LOST_PAUSE_MS = 1000
RETRY_AFTER_MS = 500


class Attempts:
    """All attempts of one call."""

    def __init__(
        self,
        context: EntryContext,
        live: LiveProgram,
        call: LiveCall,
        spec: UpstreamSpec,
    ) -> None:
        """Prepare to try `call` at the upstream that `spec` declares."""
        self.context = context
        self.live = live
        self.call = call
        self.spec = spec
        self.program = live.program
        self.request = call.request
        self.avoid: dict[str, None] = {}

    @property
    def priority(self) -> int:
        """Give the level of the program's priority class."""
        declaration = self.context.config.program(self.program.declaration)
        name = declaration.priority if declaration else ''
        return self.context.config.priority_level(name)

    @property
    def message_tokens(self) -> int:
        """Count the tokens that the call adds to the prompt."""
        return estimate_tokens(str(self.request.argument.get('message', '')))

    async def pick(self) -> HostView:
        """Choose a host, waiting a little when there is none.

        Raises:
            Refusal: no host is to be had.
        """
        until_ms = self.context.clock.now_ms() + min(
            NO_HOST_WAIT_MS,
            self.call.remaining_ms(),
        )
        while True:
            if self.context.recorder.journal.closing:
                raise Fenced('this home is about to be handed over')
            if self.context.clock.now_ms() >= until_ms:
                raise Refusal(
                    RefusalCode.NO_UPSTREAM,
                    f'no host of {self.request.upstream} takes work now',
                    retry_after_ms=RETRY_AFTER_MS,
                )
            hosts = self.context.fleet.available_hosts(self.request.upstream)
            host = self.context.placement.choose(hosts, self.placement_request())
            if host is not None:
                return host
            await self.context.clock.sleep_ms(NO_HOST_PAUSE_MS)

    def placement_request(self) -> PlacementRequest:
        """Describe the call to the placement policy."""
        history = self.program.history
        prompt = self.live.history_tokens + self.message_tokens
        max_tokens = self.request.argument.get('max_tokens', DEFAULT_MAX_TOKENS)
        return PlacementRequest(
            self.program.id,
            self.context.location.zone,
            self.context.location.region,
            prompt if history.items else self.message_tokens,
            self.live.cached_tokens,
            float(max_tokens) * self.spec.decode_ms,
            self.spec.prefill_ms,
            frozenset(self.avoid),
        )

    async def hand_over(
        self,
        host: HostView,
        max_tokens: int,
        connection: Connection | None = None,
    ) -> Answer:
        """Give the call to a host's sidecar and wait for the answer."""
        if connection is None:
            connection = await self.context.peers(host.address).connected()
        with self.context.tracer.span('dispatch', self.request.trace) as trace:
            message = self.build(host, connection.boot_id, max_tokens, trace)
            self.call.running = True
            self.context.fleet.add_call(host.sidecar, self.call.id)
            try:
                answer = await dispatch(connection, self.live, self.call, message)
            finally:
                self.context.fleet.remove_call(host.sidecar, self.call.id)
        self.context.fleet.update_load(host.sidecar, answer.ahead)
        self.context.retries.of(self.program.caller, self.request.upstream).earn()
        return answer._replace(ahead=0)

    def build(
        self,
        host: HostView,
        boot_id: str,
        max_tokens: int,
        trace: str,
    ) -> Dispatch:
        """Build the message, with the part of the history that is missing."""
        history = self.program.history
        model = self.spec.kind == 'model'
        base = self.live.sidecar_digests.get(host.sidecar, EMPTY_DIGEST)
        delta = history.since(base) if model else []
        if delta is None:
            base, delta = EMPTY_DIGEST, history.items
        return Dispatch(
            self.call.id,
            self.program.id,
            boot_id,
            self.request.operation,
            self.request.operation not in self.spec.non_idempotent,
            self.request.argument,
            base,
            list(delta),
            history.digest if model else EMPTY_DIGEST,
            max_tokens,
            self.priority,
            self.context.clock.now_ms() - self.live.begun_ms,
            max(self.call.remaining_ms(), 0),
            trace,
        )

    async def lost(self, host: HostView) -> None:
        """Leave a silent host out and pause before the next attempt."""
        logger.info('host_lost', sidecar=host.sidecar, call=self.call.id)
        self.context.fleet.pause_host(host.sidecar, LOST_PAUSE_MS)
        await self.pause(host)

    async def refused(self, host: HostView, refusal: Refusal) -> None:
        """Take a proven refusal; go on to another host or give up.

        Raises:
            Refusal: the attempts or the retries are used up.
        """
        if refusal.code == RefusalCode.STOPPING:
            self.context.fleet.mark_leaving(host.sidecar)
        else:
            self.context.fleet.pause_host(
                host.sidecar,
                refusal.retry_after_ms or REFUSED_PAUSE_MS,
            )
        if not self.attempts_left():
            raise refusal
        await self.pause(host)

    def attempts_left(self) -> bool:
        """Tell whether the call may be tried once more."""
        return self.call.attempts < MAX_ATTEMPTS and self.call.remaining_ms() > 0

    async def pause(self, host: HostView) -> None:
        """Spend a retry and wait with jitter.

        Raises:
            Refusal: no retry is left for this caller and upstream.
        """
        self.avoid[host.sidecar] = None
        self.call.attempts += 1
        budget = self.context.retries.of(self.program.caller, self.request.upstream)
        if not budget.spend():
            raise Refusal(
                RefusalCode.OVERLOADED,
                f'too many retries towards {self.request.upstream}',
                retry_after_ms=RETRY_AFTER_MS,
            )
        await self.context.clock.sleep_ms(
            pause_ms(self.call.attempts, self.context.rng),
        )

    def note_held(self, host: HostView) -> None:
        """Remember what the host's sidecar and engine now hold."""
        self.live.sidecar_digests[host.sidecar] = self.program.history.digest
        self.live.cached_tokens[host.sidecar] = self.live.history_tokens
