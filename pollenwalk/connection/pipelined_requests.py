"""How many requests of clients that pipeline a process runs at a time.

Each running request has a connection to a host, so many clients that pipeline would
take as many descriptors. Their requests run a few at a time, and the others wait with
their bodies read and nothing sent. Clients that send one request at a time never wait.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

Receive = Callable[[], Awaitable[dict[str, Any]]]

# Ordinary clients send the next request after the response. Those that do send ahead
# share few connections to hosts, so that they leave most descriptors to the others.
DEFAULT_MAX_REQUESTS = 16


class RequestSlots:
    """The slots of requests that run; others wait in order of arrival.

    Attributes:
        limit: number of requests that may run at a time.
        running: requests that have a slot.
        waiting: requests that wait for one, the first one first.
    """

    def __init__(self, limit: int) -> None:
        """Create slots that are all free."""
        self.limit = limit
        self.running: set[object] = set()
        self.waiting: dict[object, asyncio.Future[None]] = {}

    async def start(self, request: object) -> None:
        """Wait until a request has a slot, or until it ends without one."""
        if request in self.running:
            return
        if not self.waiting and len(self.running) < self.limit:
            self.running.add(request)
            return
        turn = asyncio.get_running_loop().create_future()
        self.waiting[request] = turn
        await turn

    def add_running(self, request: object) -> None:
        """Count a request that already runs, even if this exceeds the limit."""
        self.running.add(request)

    def end(self, request: object) -> None:
        """Free the slot of a request, or its place among those that wait."""
        self.running.discard(request)
        turn = self.waiting.pop(request, None)
        if turn is not None and not turn.done():
            turn.set_result(None)
        self.admit()

    def admit(self) -> None:
        """Give free slots to the requests that wait."""
        while self.waiting and len(self.running) < self.limit:
            request = next(iter(self.waiting))
            turn = self.waiting.pop(request)
            self.running.add(request)
            if not turn.done():
                turn.set_result(None)

    def has(self, request: object) -> bool:
        """Return whether a request has a slot or waits for one."""
        return request in self.running or request in self.waiting


class PipeliningClient(Protocol):
    """A client's connection.

    Attributes:
        pipelines: whether the client has sent a request before the last response.
    """

    pipelines: bool


class LimitedRequest:
    """One request, whose application gets the end of the body only with a slot.

    Applications act on a request once its body is complete, so nothing has run before.

    Attributes:
        is_complete: whether the end of the body was passed on.
    """

    def __init__(
        self, slots: RequestSlots, client: PipeliningClient, receive: Receive
    ) -> None:
        """Create a request that has not been received.

        Args:
            slots: the slots of the process.
            client: the connection on which the request arrives.
            receive: the `receive` callable that the ASGI server passes.
        """
        self.slots = slots
        self.client = client
        self.receive_part = receive
        self.is_complete = False

    async def receive(self) -> dict[str, Any]:
        """Return the next ASGI event; the last one of the body waits for a slot."""
        event = await self.receive_part()
        is_part = event['type'] == 'http.request'
        if not is_part or event.get('more_body'):
            return event
        if self.client.pipelines:
            await self.slots.start(self)
            if not self.slots.has(self):
                # The client has disconnected, which the server reports next.
                return await self.receive_part()
        self.is_complete = True
        return event

    def client_pipelines(self) -> None:
        """Count this request if it runs; called when its client begins to pipeline."""
        if self.is_complete:
            self.slots.add_running(self)

    def end(self) -> None:
        """Free the slot; called when the request ends in whatever way."""
        self.slots.end(self)

    @property
    def needs_slot(self) -> bool:
        """Return whether the request has a slot or waits for one."""
        return self.slots.has(self)

    @property
    def blocks_others(self) -> bool:
        """Return whether the request has a slot that others wait for."""
        return bool(self.slots.waiting) and self in self.slots.running
