"""Dispatch of one call to one sidecar, and resolution of its outcome."""

from collections.abc import AsyncIterator
from typing import Any

from pollenwalk.connection.call_messages import (
    Answer,
    Dispatch,
    Follow,
    NeedHistory,
    Resolve,
    Tokens,
)
from pollenwalk.connection.peer import Connection, Peer
from pollenwalk.errors import ConnectionLost, Outcome, Refusal, RefusalCode
from pollenwalk.process.clock import Clock
from pollenwalk.program.history import EMPTY_DIGEST
from pollenwalk.program.live import LiveProgram
from pollenwalk.request.call import LiveCall

# Timeout of one request for an outcome, and the pause after a request without an
# answer.
RESOLVE_TIMEOUT_MS = 2000
RESOLVE_PAUSE_MS = 250
NOT_RUN_STATE = 'not_run'


async def dispatch(
    connection: Connection,
    live: LiveProgram,
    call: LiveCall,
    message: Dispatch,
) -> Answer:
    """Dispatch a call and return its answer; append its tokens to its stream.

    If the sidecar lacks the history that `message` builds on, the call is
    dispatched once more with the whole history.

    Args:
        connection: to the sidecar.
        live: the call's program, for its history.
        call: receives the tokens.
        message: the dispatch to send.

    Raises:
        ConnectionLost: the connection ended before the answer; the call may have
            run.
        Refusal: the sidecar refused the call, or the call failed there.
    """
    answer = await collect_answer(connection.stream(message), call)
    if isinstance(answer, NeedHistory):
        full_message = message._replace(
            base=EMPTY_DIGEST, delta=live.program.history.items
        )
        answer = await collect_answer(connection.stream(full_message), call)
    if not isinstance(answer, Answer):
        raise ConnectionLost('the sidecar ended the stream without an answer')
    return answer


async def collect_answer(messages: AsyncIterator[Any], call: LiveCall) -> Any:
    """Append tokens to the call's stream and return the message that ends them.

    Returns:
        The last message that is not `Tokens`; None if there is none.
    """
    last = None
    async for message in messages:
        if isinstance(message, Tokens):
            call.stream.append(message)
        else:
            last = message
    return last


async def follow(connection: Connection, call: LiveCall, boot_id: str) -> Answer:
    """Attach to a call at a sidecar and return its answer.

    Args:
        connection: to the sidecar.
        call: receives the tokens that it does not have yet.
        boot_id: id of the start of the sidecar that the call was dispatched to.

    Raises:
        ConnectionLost: the connection ended before the answer.
        Refusal: the call failed, or the sidecar does not have it any more.
    """
    message = Follow(call.id, boot_id, len(call.stream.texts))
    answer = await collect_answer(connection.stream(message), call)
    if not isinstance(answer, Answer):
        raise ConnectionLost('the sidecar ended the stream without an answer')
    return answer


class Resolver:
    """Resolves the outcome of a dispatched call."""

    def __init__(self, peer: Peer, clock: Clock, boot_id: str) -> None:
        """Prepare to ask a sidecar.

        Args:
            peer: the sidecar.
            clock: the process's clock.
            boot_id: id of the start of the sidecar that the call was dispatched to.
        """
        self.peer = peer
        self.clock = clock
        self.boot_id = boot_id

    async def resolve(
        self, call: LiveCall, fence: str, give_up_at_ms: float
    ) -> Answer | None:
        """Ask until the sidecar answers or the time is up.

        Args:
            call: the call whose outcome is wanted.
            fence: a sealed incarnation whose dispatches the sidecar must refuse
                from now on; empty if the asking owner made the dispatch itself.
            give_up_at_ms: when to give up, on the process's clock.

        Returns:
            The answer, or None if the call is proven not to have run.

        Raises:
            Refusal: the call failed, or it is unknown whether it ran.
        """
        while self.clock.now_ms() < give_up_at_ms:
            try:
                return await self.ask_once(call, fence)
            except ConnectionLost:
                await self.clock.sleep_ms(RESOLVE_PAUSE_MS)
        raise Refusal(
            RefusalCode.OUTCOME_UNKNOWN,
            'the upstream host could not be asked whether the call ran',
            Outcome.UNKNOWN,
        )

    async def ask_once(self, call: LiveCall, fence: str) -> Answer | None:
        """Ask once for the outcome.

        Returns:
            The answer, or None if the call is proven not to have run.

        Raises:
            ConnectionLost: the sidecar did not answer.
            Refusal: the call failed, or the sidecar has restarted.
        """
        connection = await self.peer.ensure_connected()
        if connection.boot_id != self.boot_id:
            raise Refusal(
                RefusalCode.OUTCOME_UNKNOWN,
                'the sidecar of the upstream host restarted after the call was sent to it',
                Outcome.UNKNOWN,
            )
        question = Resolve(call.id, self.boot_id, fence)
        resolution = await self.peer.request(question, RESOLVE_TIMEOUT_MS)
        if resolution.state == NOT_RUN_STATE:
            return None
        return await follow(connection, call, self.boot_id)
