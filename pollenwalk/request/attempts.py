"""Attempts to run one call: choice of a host, dispatch to it, and back-off."""

from loguru import logger

from pollenwalk.connection.call_messages import Answer, Dispatch
from pollenwalk.connection.peer import Connection
from pollenwalk.errors import Fenced, Refusal, RefusalCode
from pollenwalk.policy.placement import HostView, PlacementRequest
from pollenwalk.program.history import EMPTY_DIGEST, estimate_tokens
from pollenwalk.program.live import LiveProgram
from pollenwalk.request.call import LiveCall
from pollenwalk.request.dispatch import dispatch
from pollenwalk.request.entry_context import EntryContext
from pollenwalk.request.retry import backoff_ms
from pollenwalk.version.resources import UpstreamSpec

DEFAULT_MAX_TOKENS = 64
MAX_ATTEMPTS = 6
# Pause before the fleet is asked again for a host, and how long it is asked.
NO_HOST_PAUSE_MS = 100
NO_HOST_TIMEOUT_MS = 1500
# How long a host gets no calls after a refusal without a retry time, and after a
# lost connection. Its next report ends the pause earlier.
REFUSAL_PAUSE_MS = 100
LOST_HOST_PAUSE_MS = 1000
# Retry-After of calls that no host accepts, that have no retries left or that did
# not reach their host.
RETRY_AFTER_MS = 500


class Attempts:
    """The attempts to run one call.

    Attributes:
        avoided_sidecars: sidecars that refused or lost the call; used as an
            ordered set.
    """

    def __init__(
        self,
        context: EntryContext,
        live: LiveProgram,
        call: LiveCall,
        spec: UpstreamSpec,
    ) -> None:
        """Prepare to run `call` at the upstream that `spec` declares."""
        self.context = context
        self.live = live
        self.call = call
        self.spec = spec
        self.program = live.program
        self.request = call.request
        self.avoided_sidecars: dict[str, None] = {}

    @property
    def priority(self) -> int:
        """Return the level of the program's priority class; lower levels run first."""
        declaration = self.context.config.program(self.program.declaration)
        name = declaration.priority if declaration else ''
        return self.context.config.priority_level(name)

    @property
    def message_tokens(self) -> int:
        """Return the estimated number of tokens that the call adds to the prompt."""
        return estimate_tokens(str(self.request.argument.get('message', '')))

    async def choose_host(self) -> HostView:
        """Return the host for the next attempt; wait a bounded time for one.

        Raises:
            Fenced: this owner is about to hand its programs over.
            Refusal: no host accepted calls in time; the call did not run.
        """
        give_up_at_ms = self.context.clock.now_ms() + min(
            NO_HOST_TIMEOUT_MS,
            self.call.remaining_ms(),
        )
        while True:
            if self.context.recorder.journal.handing_over:
                raise Fenced('this owner is about to hand its programs over')
            if self.context.clock.now_ms() >= give_up_at_ms:
                raise Refusal(
                    RefusalCode.NO_UPSTREAM,
                    f'no host of upstream {self.request.upstream} accepts calls now',
                    retry_after_ms=RETRY_AFTER_MS,
                )
            hosts = self.context.fleet.available_hosts(self.request.upstream)
            host = self.context.placement.choose(hosts, self.placement_request())
            if host is not None:
                return host
            await self.context.clock.sleep_ms(NO_HOST_PAUSE_MS)

    def placement_request(self) -> PlacementRequest:
        """Return the description of the call for the placement policy."""
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
            frozenset(self.avoided_sidecars),
        )

    async def dispatch_to(
        self,
        host: HostView,
        max_tokens: int,
        connection: Connection | None = None,
    ) -> Answer:
        """Dispatch the call to a host's sidecar and wait for the answer.

        Args:
            host: the host.
            max_tokens: tokens that the answer may have; 0 for a plain service.
            connection: to the sidecar; None opens or reuses one.

        Returns:
            The answer, without the host's load that came with it.

        Raises:
            ConnectionLost: the sidecar did not answer; the call may have run.
            Refusal: the sidecar refused the call, or the call failed there.
        """
        if connection is None:
            connection = await self.context.peers(host.address).ensure_connected()
        with self.context.tracer.span('dispatch', self.request.trace) as trace:
            message = self.build_dispatch(host, connection.boot_id, max_tokens, trace)
            self.call.running = True
            self.context.fleet.add_call(host.sidecar, self.call.id)
            try:
                answer = await dispatch(connection, self.live, self.call, message)
            finally:
                self.context.fleet.remove_call(host.sidecar, self.call.id)
        self.context.fleet.update_load(host.sidecar, answer.remaining_calls)
        self.context.retries.budget_of(
            self.program.caller, self.request.upstream
        ).earn()
        return answer._replace(remaining_calls=0)

    def build_dispatch(
        self,
        host: HostView,
        boot_id: str,
        max_tokens: int,
        trace: str,
    ) -> Dispatch:
        """Build the dispatch, with the history items that the sidecar lacks."""
        history = self.program.history
        is_model = self.spec.kind == 'model'
        base = self.live.sidecar_digests.get(host.sidecar, EMPTY_DIGEST)
        delta = history.since(base) if is_model else []
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
            history.digest if is_model else EMPTY_DIGEST,
            max_tokens,
            self.priority,
            self.context.clock.now_ms() - self.live.begun_ms,
            max(self.call.remaining_ms(), 0),
            trace,
        )

    async def handle_lost_host(self, host: HostView) -> None:
        """Pause a host whose connection was lost, and back off.

        Raises:
            Refusal: no retry is left for this caller and upstream.
        """
        logger.info('host_lost', sidecar=host.sidecar, call=self.call.id)
        self.context.fleet.pause_host(host.sidecar, LOST_HOST_PAUSE_MS)
        await self.back_off(host)

    async def handle_refusal(self, host: HostView, refusal: Refusal) -> None:
        """Pause a host that refused the call, and back off.

        The pause lasts as long as the refusal asks for, or `REFUSAL_PAUSE_MS`. A
        host that is stopping is marked as leaving instead.

        Raises:
            Refusal: no attempt is left, or no retry for this caller and upstream.
        """
        if refusal.code == RefusalCode.STOPPING:
            self.context.fleet.mark_leaving(host.sidecar)
        else:
            self.context.fleet.pause_host(
                host.sidecar,
                refusal.retry_after_ms or REFUSAL_PAUSE_MS,
            )
        if not self.has_attempts_left():
            raise refusal
        await self.back_off(host)

    def has_attempts_left(self) -> bool:
        """Return whether another attempt is allowed."""
        return self.call.attempts < MAX_ATTEMPTS and self.call.remaining_ms() > 0

    async def back_off(self, host: HostView) -> None:
        """Spend a retry of the budget and wait for a random back-off.

        Raises:
            Refusal: no retry is left for this caller and upstream.
        """
        self.avoided_sidecars[host.sidecar] = None
        self.call.attempts += 1
        budget = self.context.retries.budget_of(
            self.program.caller, self.request.upstream
        )
        if not budget.spend():
            raise Refusal(
                RefusalCode.OVERLOADED,
                f'retry budget for upstream {self.request.upstream} is used up',
                retry_after_ms=RETRY_AFTER_MS,
            )
        await self.context.clock.sleep_ms(
            backoff_ms(self.call.attempts, self.context.rng),
        )

    def note_cached_history(self, host: HostView) -> None:
        """Note that the host's sidecar and engine now have the whole history."""
        self.live.sidecar_digests[host.sidecar] = self.program.history.digest
        self.live.cached_tokens[host.sidecar] = self.live.history_tokens
