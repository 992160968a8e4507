"""The store and the upstreams as one node reaches them."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from pollenwalk.connection.call_messages import Answer, Tokens
from pollenwalk.connection.upstream import ChatRequest
from pollenwalk.errors import PollenwalkError, StoreUnavailable
from pollenwalk.process.clock import MS_PER_SECOND
from pollenwalk.process.store import WATCH_TIMEOUT_MS, Changes, StoredObject
from standin.engine import ModelEngine
from standin.service import PlainService
from standin.store import MemoryStore
from standin.virtual.fabric import Fabric
from standin.virtual.node import Node

ANSWER_TIMEOUT_MS = 2000


class NodeStore:
    """The store over a path that takes time and can be cut."""

    def __init__(
        self, inner: MemoryStore, fabric: Fabric, node: Node, location: Node
    ) -> None:
        """Reach `inner`, which is at `location`, from `node`."""
        self.inner = inner
        self.fabric = fabric
        self.node = node
        self.location = location
        self.writes = 0
        self.reads = 0

    async def travel(self, source: Node, target: Node, size: int) -> None:
        """Take the time of a message; on a cut path time out instead."""
        if self.fabric.is_cut(source, target):
            await asyncio.sleep(ANSWER_TIMEOUT_MS / MS_PER_SECOND)
            await self.node.passed()
            raise StoreUnavailable('no answer in time')
        delay_ms = self.fabric.delay_ms(source, target, size)
        await asyncio.sleep(delay_ms / MS_PER_SECOND)

    async def ask(self, size: int, work: Any) -> Any:
        """Send a request and take its answer.

        The request runs on at the store when this process is killed.
        """
        await self.node.passed()
        await self.travel(self.node, self.location, size)
        try:
            answer = await asyncio.shield(self.fabric.tasks.spawn(work(), 'store'))
        except PollenwalkError:
            await self.travel_back()
            raise
        await self.travel_back()
        return answer

    async def travel_back(self) -> None:
        """Take the time of an answer."""
        await self.travel(self.location, self.node, 0)
        await self.node.passed()

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        self.reads += 1
        return await self.ask(0, lambda: self.inner.get(key))

    async def put(self, key: str, body: bytes, version: int | None) -> int:
        """Write an object."""
        self.writes += 1
        return await self.ask(len(body), lambda: self.inner.put(key, body, version))

    async def delete(self, key: str) -> None:
        """Delete an object."""
        self.writes += 1
        await self.ask(0, lambda: self.inner.delete(key))

    async def scan(self, prefix: str) -> Changes:
        """Read all objects below a prefix."""
        self.reads += 1
        return await self.ask(0, lambda: self.inner.scan(prefix))

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait_ms: int = WATCH_TIMEOUT_MS,
    ) -> Changes:
        """Wait for changes."""
        self.reads += 1
        return await self.ask(0, lambda: self.inner.watch(prefix, revision, wait_ms))


class NodeService:
    """A service as one sidecar reaches it; it runs on when that is killed."""

    def __init__(self, inner: PlainService, fabric: Fabric, node: Node) -> None:
        """Reach `inner` from `node`."""
        self.inner = inner
        self.fabric = fabric
        self.node = node

    async def invoke(
        self,
        call: str,
        operation: str,
        argument: dict[str, Any],
    ) -> dict[str, Any]:
        """Run an operation."""
        await self.node.passed()
        running = self.fabric.tasks.spawn(
            self.inner.invoke(call, operation, argument),
            'service',
        )
        try:
            output = await asyncio.shield(running)
        except PollenwalkError:
            await self.node.passed()
            raise
        await self.node.passed()
        return output


class NodeEngine:
    """An engine as one sidecar reaches it."""

    def __init__(self, inner: ModelEngine, node: Node) -> None:
        """Reach `inner` from `node`."""
        self.inner = inner
        self.node = node

    async def chat(self, request: ChatRequest) -> AsyncIterator[Tokens | Answer]:
        """Generate for a call."""
        await self.node.passed()
        async for item in self.inner.chat(request):
            await self.node.passed()
            yield item

    async def resume(self, call: str, offset: int) -> AsyncIterator[Tokens | Answer]:
        """Go on with a stream."""
        await self.node.passed()
        async for item in self.inner.resume(call, offset):
            await self.node.passed()
            yield item

    async def cancel(self, call: str) -> None:
        """Cancel a call."""
        await self.node.passed()
        await self.inner.cancel(call)

    async def list_cache(self) -> dict[str, int]:
        """Return what is cached."""
        await self.node.passed()
        return await self.inner.list_cache()

    async def release_memory(self, program: str) -> None:
        """Return a program's memory."""
        await self.node.passed()
        await self.inner.release_memory(program)
