"""Handing one call to one sidecar, and asking what became of it."""

from collections.abc import AsyncIterator
from typing import Any

from pollenwalk.connection.peer import Connection, Peer
from pollenwalk.connection.wire import (
    Answer,
    Dispatch,
    Follow,
    NeedHistory,
    Resolve,
    Tokens,
)
from pollenwalk.errors import (
    ConnectionLost,
    Outcome,
    Refusal,
    RefusalCode,
)
from pollenwalk.process.clock import Clock
from pollenwalk.program.history import EMPTY_DIGEST
from pollenwalk.program.live import LiveProgram
from pollenwalk.request.call import LiveCall

RESOLVE_TIMEOUT_MS = 2000
RESOLVE_PAUSE_MS = 250
NOT_RUN_STATE = 'not_run'


async def dispatch(
    connection: Connection,
    live: LiveProgram,
    call: LiveCall,
    message: Dispatch,
) -> Answer:
    """Hand a call over and wait for its answer, passing tokens on.

    Args:
        connection: to the sidecar.
        live: the call's program, for its history.
        call: receives the tokens.
        message: what to hand over.

    Raises:
        ConnectionLost: the sidecar is gone; the call may have run.
        Refusal: the sidecar's word on the call.
    """
    answer = await collect(connection.stream(message), call)
    if isinstance(answer, NeedHistory):
        whole = message._replace(base=EMPTY_DIGEST, delta=live.program.history.items)
        answer = await collect(connection.stream(whole), call)
    if not isinstance(answer, Answer):
        raise ConnectionLost('the sidecar ended without an answer')
    return answer


async def collect(messages: AsyncIterator[Any], call: LiveCall) -> Any:
    """Pass tokens on and give the last message."""
    last = None
    async for message in messages:
        if isinstance(message, Tokens):
            call.stream.append(message)
        else:
            last = message
    return last


async def follow(connection: Connection, call: LiveCall, boot_id: str) -> Answer:
    """Attach to a call that a sidecar has."""
    message = Follow(call.id, boot_id, len(call.stream.texts))
    answer = await collect(connection.stream(message), call)
    if not isinstance(answer, Answer):
        raise ConnectionLost('the sidecar ended without an answer')
    return answer


class Resolver:
    """Finds out what became of a dispatched call."""

    def __init__(self, peer: Peer, clock: Clock, boot_id: str) -> None:
        """Ask the sidecar behind `peer`, as started under `boot_id`."""
        self.peer = peer
        self.clock = clock
        self.boot_id = boot_id

    async def resolve(
        self, call: LiveCall, fence: str, until_ms: float
    ) -> Answer | None:
        """Ask until the sidecar answers or the time is up.

        Args:
            call: the call in question.
            fence: a sealed incarnation whose dispatches must be refused from
                now on; empty when the asking home made the dispatch itself.
            until_ms: when to give up, on the process's clock.

        Returns:
            The answer, or None when the call is proven not to have run.

        Raises:
            Refusal: the call failed, or nobody can tell whether it ran.
        """
        while self.clock.now_ms() < until_ms:
            try:
                return await self.ask(call, fence)
            except ConnectionLost:
                await self.clock.sleep_ms(RESOLVE_PAUSE_MS)
        raise Refusal(
            RefusalCode.OUTCOME_UNKNOWN,
            'the upstream host could not be asked whether the call ran',
            Outcome.UNKNOWN,
        )

    async def ask(self, call: LiveCall, fence: str) -> Answer | None:
        """Ask once; raises `ConnectionLost` when there is no answer."""
        connection = await self.peer.ensure_connected()
        if connection.boot_id != self.boot_id:
            raise Refusal(
                RefusalCode.OUTCOME_UNKNOWN,
                'the upstream host restarted while the call was with it',
                Outcome.UNKNOWN,
            )
        question = Resolve(call.id, self.boot_id, fence)
        resolution = await self.peer.request(question, RESOLVE_TIMEOUT_MS)
        if resolution.state == NOT_RUN_STATE:
            return None
        return await follow(connection, call, self.boot_id)
