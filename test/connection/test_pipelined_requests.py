"""Tests of the slots of requests of clients that pipeline, without a network."""

import asyncio
from typing import Any

import testtools

from pollenwalk.connection.pipelined_requests import LimitedRequest, RequestSlots
from test.helper import on_loop

WHOLE = {'type': 'http.request', 'body': b'', 'more_body': False}
PART = {'type': 'http.request', 'body': b'b', 'more_body': True}
DISCONNECT = {'type': 'http.disconnect'}


class Client:
    """A client's connection on which some events arrive."""

    def __init__(self, pipelines: bool, *events: dict[str, Any]) -> None:
        """Create the connection."""
        self.pipelines = pipelines
        self.events = list(events)

    async def receive(self) -> dict[str, Any]:
        """Return the next event."""
        return self.events.pop(0)


def arrived(
    slots: RequestSlots, pipelines: bool = True
) -> tuple[LimitedRequest, asyncio.Task[Any]]:
    """Return a request whose body is complete, and the task that receives it."""
    client = Client(pipelines, WHOLE, DISCONNECT)
    request = LimitedRequest(slots, client, client.receive)
    return request, asyncio.ensure_future(request.receive())


async def settle() -> None:
    """Let all tasks run that can."""
    for _ in range(5):
        await asyncio.sleep(0)


class RequestSlotsTest(testtools.TestCase):
    """Few requests run, all others get their turn."""

    @on_loop
    async def test_waiting_requests_start_in_order(self) -> None:
        # Guards against starvation, and against more requests than the limit.
        slots = RequestSlots(2)
        requests = [arrived(slots) for _ in range(6)]
        for finished in range(6):
            await settle()
            begun = [task.done() for _, task in requests]
            self.assertEqual(
                [True] * min(finished + 2, 6), [one for one in begun if one]
            )
            self.assertTrue(all(begun[: finished + 1]))
            requests[finished][0].end()
        self.assertEqual((set(), {}), (slots.running, slots.waiting))

    @on_loop
    async def test_ordinary_clients_never_wait(self) -> None:
        slots = RequestSlots(1)
        arrived(slots)
        arrived(slots)
        await settle()
        ordinary = [arrived(slots, pipelines=False)[1] for _ in range(20)]
        await settle()
        self.assertTrue(all(task.done() for task in ordinary))
        self.assertEqual(1, len(slots.running))

    @on_loop
    async def test_client_that_leaves_while_it_waits(self) -> None:
        # Guards against a request that runs for nobody, and one that waits forever.
        slots = RequestSlots(1)
        first, _ = arrived(slots)
        await settle()
        gone, gone_task = arrived(slots)
        last, last_task = arrived(slots)
        await settle()
        gone.end()
        await settle()
        self.assertEqual(DISCONNECT, gone_task.result())
        self.assertFalse(last_task.done())
        first.end()
        await settle()
        self.assertEqual(WHOLE, last_task.result())
        self.assertEqual({last}, slots.running)

    @on_loop
    async def test_cancelled_request_frees_its_place(self) -> None:
        # Guards against a slot that a request gets in the step that cancels it.
        slots = RequestSlots(1)
        first, _ = arrived(slots)
        await settle()
        cancelled, task = arrived(slots)
        _, last_task = arrived(slots)
        await settle()
        first.end()
        task.cancel()
        await settle()
        cancelled.end()
        await settle()
        self.assertTrue(last_task.done())
        self.assertEqual(1, len(slots.running))

    @on_loop
    async def test_request_that_runs_is_counted_late(self) -> None:
        # Guards against clients that send the second request just after the first.
        slots = RequestSlots(1)
        request, _ = arrived(slots, pipelines=False)
        await settle()
        request.client_pipelines()
        _, waiting = arrived(slots)
        await settle()
        self.assertFalse(waiting.done())
        request.end()
        await settle()
        self.assertTrue(waiting.done())

    @on_loop
    async def test_slow_body_holds_no_slot(self) -> None:
        slots = RequestSlots(1)
        client = Client(True, PART, WHOLE)
        request = LimitedRequest(slots, client, client.receive)
        self.assertEqual(PART, await request.receive())
        self.assertFalse(request.needs_slot)
        self.assertEqual(WHOLE, await request.receive())
        self.assertTrue(request.needs_slot)
