"""Tests of calls that a sidecar runs at an engine that loses them."""

from collections.abc import AsyncIterator

import testtools

from pollenwalk.connection.call_messages import Answer, Dispatch, Tokens
from pollenwalk.connection.upstream import ChatRequest
from pollenwalk.errors import ConnectionLost, Outcome, Refusal, RefusalCode
from pollenwalk.process.call_executor import CallExecutor
from pollenwalk.process.sidecar_calls import SidecarCall
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.traces import Tracer
from test.helper import make_clock, virtual

CHAT = Dispatch('c1', 'p1', 'b', 'chat', True, {}, '', [], '', 9, 5, 0, 5000, '')


class RestartedEngine:
    """An engine that breaks off a stream and then does not know its call.

    Attributes:
        tokens: how many tokens it streams before that.
    """

    def __init__(self, tokens: int) -> None:
        """Prepare an engine."""
        self.tokens = tokens

    async def chat(self, request: ChatRequest) -> AsyncIterator[Tokens | Answer]:
        """Stream some tokens and break off."""
        for offset in range(self.tokens):
            yield Tokens(offset, ['x'])
        raise ConnectionLost('the engine has restarted')

    async def resume(self, call: str, offset: int) -> AsyncIterator[Tokens | Answer]:
        """Refuse a call that is not known."""
        if call:
            raise Refusal(RefusalCode.UPSTREAM_FAILED, 'status 404')
        yield Tokens(offset, [])


class CallExecutorTest(testtools.TestCase):
    """Tests of streams that can't be resumed."""

    @virtual
    async def test_refused_resumption_does_not_say_not_run(self) -> None:
        for tokens in (0, 2):
            engine = RestartedEngine(tokens)
            executor = CallExecutor(engine, make_clock(), TaskSet(), Tracer())
            try:
                await executor.stream_chat(SidecarCall(CHAT, []))
            except Refusal as refusal:
                self.assertEqual(Outcome.UNKNOWN, refusal.outcome)
            else:
                self.fail('the call was answered')
