"""Responses that end with their connection, whole and cut at each byte."""

from collections.abc import Iterator

import testtools

from pollenwalk.connection.call_messages import Answer, HistoryItem, Tokens
from pollenwalk.connection.engine_http import HttpEngine
from pollenwalk.connection.service_http import HttpService
from pollenwalk.connection.store_http import HttpStore
from pollenwalk.connection.upstream import ChatRequest
from pollenwalk.errors import Outcome, Refusal, StoreUnavailable
from pollenwalk.platform.objects import PlatformStore
from pollenwalk.process.store import StoredObject
from standin.platform.host import Line, Received, ScriptedHost
from test.helper import on_loop

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nETag: "7"\r\n\r\n'
CHAT = ChatRequest('c1', 'p1', [HistoryItem('user', 'hello there')], 2, 5)
CHAT_STREAM = (
    b'data: {"choices": [{"delta": {"content": "a"}}]}\n\n'
    b'data: {"choices": [{"delta": {"content": "b"}}]}\n\n'
    b'data: [DONE]\n'
)
LISTING = b'[3, []]'
PLATFORM_LISTING = b'{"items": [], "store_revision": 3}'


def beginnings(raw: bytes) -> Iterator[bytes]:
    """Yield all beginnings of some bytes that are shorter than these."""
    return (raw[:size_bytes] for size_bytes, _ in enumerate(raw))


class FixedHost:
    """A host that answers each request with the same body and closes the connection.

    Attributes:
        body: the body of the next answers.
    """

    def __init__(self) -> None:
        """Prepare a host whose answers have an empty body."""
        self.body = b''
        self.host = ScriptedHost('i-1', self.answer)

    async def answer(self, line: Line, request: Received) -> None:
        """Answer one request."""
        line.say(HEAD + self.body)
        line.writer.close()
        await line.writer.wait_closed()

    async def start(self) -> str:
        """Start to listen and return the URL."""
        return f'http://{(await self.host.start()).address}'


class UnframedResponsesTest(testtools.TestCase):
    """Tests of clients whose server stops in the middle of a response."""

    async def chat(self, engine: HttpEngine) -> tuple[list[str], bool]:
        """Return the tokens that an engine streams, and whether an answer ends them."""
        found = [found async for found in engine.chat(CHAT)]
        tokens = (part for part in found if isinstance(part, Tokens))
        texts = [text for part in tokens for text in part.texts]
        return texts, any(isinstance(part, Answer) for part in found)

    @on_loop
    async def test_cut_engine_stream_has_no_answer(self) -> None:
        fixed = FixedHost()
        engine = HttpEngine(await fixed.start())
        for body in beginnings(CHAT_STREAM):
            fixed.body = body
            texts, answered = await self.chat(engine)
            self.assertFalse(answered, body)
            self.assertEqual(['a', 'b'][: len(texts)], texts, body)
        fixed.body = CHAT_STREAM
        self.assertEqual((['a', 'b'], True), await self.chat(engine))
        await engine.close()
        fixed.host.stop()

    @on_loop
    async def test_cut_service_response_is_unknown(self) -> None:
        fixed = FixedHost()
        service = HttpService(await fixed.start())
        for body in beginnings(b'{"a": [1, 2]}'):
            fixed.body = body
            try:
                await service.invoke('c1', 'add', {})
            except Refusal as refusal:
                self.assertEqual(Outcome.UNKNOWN, refusal.outcome)
            else:
                self.fail(f'{body} was accepted')
        await service.close()
        fixed.host.stop()

    @on_loop
    async def test_object_without_a_length_is_not_used(self) -> None:
        fixed = FixedHost()
        store = HttpStore(await fixed.start())
        for body in (b'', b'half an ob', b'half an object'):
            fixed.body = body
            with testtools.ExpectedException(StoreUnavailable):
                await store.get('a/1')
        await store.close()
        fixed.host.stop()

    @on_loop
    async def test_cut_listing_is_not_used(self) -> None:
        fixed = FixedHost()
        url = await fixed.start()
        for store, whole in (
            (HttpStore(url), LISTING),
            (PlatformStore(url), PLATFORM_LISTING),
        ):
            for body in beginnings(whole):
                fixed.body = body
                with testtools.ExpectedException(StoreUnavailable):
                    await store.scan('a/')
            fixed.body = whole
            self.assertEqual(3, (await store.scan('a/')).revision)
            await store.close()
        fixed.host.stop()

    @on_loop
    async def test_cut_object_of_the_platform_is_not_used(self) -> None:
        fixed = FixedHost()
        store = PlatformStore(await fixed.start())
        whole = b'{"metadata": {"name": "1", "revision": 7}, "spec": {"b": 2}}'
        for body in beginnings(whole):
            fixed.body = body
            with testtools.ExpectedException(StoreUnavailable):
                await store.get('a/1')
        fixed.body = whole
        expected = StoredObject('a/1', b'{"b": 2}', 7)
        self.assertEqual(expected, await store.get('a/1'))
        await store.close()
        fixed.host.stop()
