"""A stand-in model engine: continuous batching and a bounded prefix cache.

Time passes in steps. A step decodes one token of each running call and
prefills waiting prompts up to a token budget. Finished programs' prompts stay
cached until memory is short; the least recently used goes first.
"""

import asyncio
import hashlib
import json
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from pollenwalk.connection.call_messages import Answer, HistoryItem, Tokens
from pollenwalk.connection.upstream import ChatRequest
from pollenwalk.errors import ConnectionLost, Outcome, Refusal, RefusalCode
from pollenwalk.process.clock import Clock
from pollenwalk.process.tasks import TaskSet
from pollenwalk.program.history import estimate_tokens
from pollenwalk.request.stream import TokenStream
from standin.ledger import Ledger

DIGEST_BYTES = 8
TAG_MARK = 'tag:'


class EngineShape(NamedTuple):
    """What an engine can do.

    Attributes:
        slots: calls in one batch.
        step_ms: time of a step.
        prefill_per_step: prompt tokens computed in a step.
        memory_tokens: tokens that the cache holds.
    """

    slots: int = 8
    step_ms: float = 10.0
    prefill_per_step: int = 64
    memory_tokens: int = 20_000


def prompt_digest(messages: list[HistoryItem]) -> str:
    """Digest a prompt, so that callers can tell what the engine was given."""
    text = json.dumps([list(message) for message in messages])
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def prompt_tokens(messages: list[HistoryItem]) -> int:
    """Count a prompt's tokens."""
    return sum(estimate_tokens(message.content) for message in messages)


class Generation:
    """One call in the engine."""

    def __init__(self, request: ChatRequest) -> None:
        """Start before prefill."""
        self.request = request
        self.prompt = prompt_tokens(request.messages)
        self.digest = prompt_digest(request.messages)
        self.stream = TokenStream()
        self.cached = 0
        self.to_prefill = 0
        self.cancelled = False

    @property
    def finished(self) -> bool:
        """Return whether all tokens have been generated."""
        return self.cancelled or len(self.stream.texts) >= self.request.max_tokens

    def step(self) -> None:
        """Generate one token."""
        number = len(self.stream.texts)
        text = f'{self.digest}:{number} '
        self.stream.append(Tokens(number, [text]))
        if self.finished:
            self.stream.end()

    def answer(self) -> Answer:
        """Return the whole answer."""
        return Answer(
            {'text': ''.join(self.stream.texts)},
            len(self.stream.texts),
            self.prompt - self.cached,
        )


class ModelEngine:
    """An engine in memory; also what the HTTP stand-in serves."""

    def __init__(self, shape: EngineShape, clock: Clock, ledger: Ledger) -> None:
        """Start with an empty cache."""
        self.shape = shape
        self.clock = clock
        self.ledger = ledger
        self.tasks = TaskSet()
        self.generations: dict[str, Generation] = {}
        self.waiting: list[Generation] = []
        self.batch: list[Generation] = []
        self.cache: dict[str, int] = {}
        self.used: dict[str, bool] = {}
        self.wake = asyncio.Event()
        self.garbage = 0
        self.cut_after: int | None = None
        self.down = False
        self.slow_factor = 1.0
        self.taken = 0

    def start(self) -> None:
        """Begin to compute."""
        self.tasks.spawn(self.run(), 'engine')

    async def close(self) -> None:
        """Stop computing."""
        await self.tasks.cancel()

    async def run(self) -> None:
        """Compute step by step while there is work."""
        while True:
            self.fill_batch()
            if not self.batch:
                self.wake.clear()
                await self.wake.wait()
                continue
            await self.clock.sleep_ms(self.shape.step_ms * self.slow_factor)
            self.step()

    def fill_batch(self) -> None:
        """Move waiting calls into the batch, urgent ones first."""
        self.waiting.sort(key=lambda one: one.request.priority)
        while self.waiting and len(self.batch) < self.shape.slots:
            generation = self.waiting.pop(0)
            program = generation.request.program
            held = self.cache.get(program, 0)
            generation.cached = min(held, generation.prompt)
            generation.to_prefill = generation.prompt - generation.cached
            self.used[program] = True
            self.ledger.prefill(program, generation.cached, generation.prompt)
            self.batch.append(generation)

    def step(self) -> None:
        """Compute one step."""
        budget = self.shape.prefill_per_step
        for generation in list(self.batch):
            if generation.to_prefill:
                part = min(generation.to_prefill, budget)
                generation.to_prefill -= part
                budget -= part
            elif not generation.finished:
                generation.step()
                self.ledger.generated[generation.request.program] += 1
            if generation.finished:
                self.finish(generation)

    def finish(self, generation: Generation) -> None:
        """Leave the batch and keep the prefix cached."""
        self.batch.remove(generation)
        generation.stream.end()
        program = generation.request.program
        tokens = generation.prompt + len(generation.stream.texts)
        self.cache.pop(program, None)
        self.cache[program] = tokens
        self.used[program] = False
        ever = self.ledger.ever_cached
        ever[program] = max(ever.get(program, 0), tokens)
        self.evict()

    def evict(self) -> None:
        """Drop the least recently used prefixes when memory is short."""
        while sum(self.cache.values()) > self.shape.memory_tokens:
            program = next(iter(self.cache))
            tokens = self.cache.pop(program)
            if not self.used.get(program):
                self.ledger.evicted_unused += tokens

    async def chat(self, request: ChatRequest) -> AsyncIterator[Tokens | Answer]:
        """Generate for a call."""
        self.check_up()
        if self.garbage:
            self.garbage -= 1
            raise Refusal(
                RefusalCode.UPSTREAM_FAILED,
                'the engine sent garbage',
                Outcome.UNKNOWN,
            )
        self.taken += 1
        if not self.tasks.tasks:
            self.start()
        generation = Generation(request)
        self.generations[request.call] = generation
        self.ledger.saw(tag_of(request))
        self.waiting.append(generation)
        self.wake.set()
        async for item in self.follow(generation, 0):
            yield item

    async def resume(self, call: str, offset: int) -> AsyncIterator[Tokens | Answer]:
        """Go on with a stream that was cut."""
        self.check_up()
        generation = self.generations.get(call)
        if generation is None:
            raise Refusal(
                RefusalCode.UPSTREAM_FAILED,
                'the engine has no such request',
                Outcome.UNKNOWN,
            )
        async for item in self.follow(generation, offset):
            yield item

    async def follow(
        self,
        generation: Generation,
        offset: int,
    ) -> AsyncIterator[Tokens | Answer]:
        """Yield tokens as they come, and the answer; cut where due."""
        async for tokens in generation.stream.follow(offset):
            if self.cut_after is not None:
                self.cut_after -= 1
                if self.cut_after < 0:
                    self.cut_after = None
                    raise ConnectionLost('the engine cut the stream')
            yield tokens
        if generation.cancelled:
            raise Refusal(RefusalCode.CANCELLED, 'cancelled', Outcome.RAN)
        yield generation.answer()

    async def cancel(self, call: str) -> None:
        """Stop generating for a call."""
        self.check_up()
        generation = self.generations.pop(call, None)
        if generation is None:
            return
        generation.cancelled = True
        generation.stream.end()
        if generation in self.waiting:
            self.waiting.remove(generation)
        if generation in self.batch:
            self.finish(generation)

    async def list_cache(self) -> dict[str, int]:
        """Return the cached tokens by program."""
        self.check_up()
        return dict(self.cache)

    async def release_memory(self, program: str) -> None:
        """Return a program's memory."""
        self.check_up()
        self.cache.pop(program, None)

    def check_up(self) -> None:
        """Fail while the engine is down."""
        if self.down:
            raise ConnectionLost('the engine is down')


def tag_of(request: ChatRequest) -> str:
    """Read the caller's tag off the last message."""
    last = request.messages[-1].content
    words = [word for word in last.split() if word.startswith(TAG_MARK)]
    return words[0].removeprefix(TAG_MARK) if words else ''


class EngineApi:
    """The stand-in engine over HTTP."""

    def __init__(self, engine: ModelEngine) -> None:
        """Serve `engine`."""
        self.engine = engine

    def app(self) -> Starlette:
        """Build the application."""
        return Starlette(
            routes=[
                Route('/v1/chat/completions', self.chat, methods=['POST']),
                Route('/v1/requests/{call:path}', self.resume, methods=['GET']),
                Route('/v1/requests/{call:path}', self.cancel, methods=['DELETE']),
                Route('/v1/cache', self.held, methods=['GET']),
                Route('/v1/cache/{program}', self.release, methods=['DELETE']),
            ],
            exception_handlers={ConnectionLost: self.failed, Refusal: self.failed},
        )

    async def failed(self, request: Request, error: Exception) -> Response:
        """Answer a failure."""
        return JSONResponse({'error': str(error)}, status_code=503)

    async def chat(self, request: Request) -> Response:
        """Stream a completion."""
        body = await request.json()
        wanted = ChatRequest(
            body['request_id'],
            body['user'],
            [HistoryItem(one['role'], one['content']) for one in body['messages']],
            body['max_tokens'],
            body.get('priority', 0),
        )
        return StreamingResponse(
            chunks(self.engine.chat(wanted), 0),
            media_type='text/event-stream',
        )

    async def resume(self, request: Request) -> Response:
        """Go on with a stream."""
        offset = int(request.query_params.get('offset', '0'))
        items = self.engine.resume(request.path_params['call'], offset)
        return StreamingResponse(
            chunks(items, offset),
            media_type='text/event-stream',
        )

    async def cancel(self, request: Request) -> Response:
        """Cancel a request."""
        await self.engine.cancel(request.path_params['call'])
        return JSONResponse({})

    async def held(self, request: Request) -> Response:
        """List what is cached."""
        return JSONResponse(await self.engine.list_cache())

    async def release(self, request: Request) -> Response:
        """Return a program's memory."""
        await self.engine.release_memory(request.path_params['program'])
        return JSONResponse({})


async def chunks(items: AsyncIterator[Any], offset: int) -> AsyncIterator[bytes]:
    """Pack a stream as chat-completion chunks."""
    async for item in items:
        if isinstance(item, Tokens):
            yield pack(
                {
                    'offset': offset,
                    'choices': [{'delta': {'content': text}} for text in item.texts],
                }
            )
            continue
        yield pack(
            {
                'choices': [],
                'usage': {
                    'completion_tokens': item.tokens,
                    'prompt_tokens': item.prefilled,
                    'cached_tokens': 0,
                },
            }
        )
        yield b'data: [DONE]\n\n'


def pack(body: dict[str, Any]) -> bytes:
    """Pack one event."""
    return b'data: %b\n\n' % json.dumps(body).encode()
