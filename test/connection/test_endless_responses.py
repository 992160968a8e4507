"""Responses of services and engines that never end, which must be cut off."""

import asyncio
from collections.abc import Awaitable
from typing import Any

import testtools

from pollenwalk.connection.engine_http import HttpEngine
from pollenwalk.connection.service_http import HttpService
from pollenwalk.errors import ConnectionLost, Outcome, Refusal
from standin.platform.host import Received, ScriptedHost, chunk
from test.helper import on_loop
from test.request.test_endless_answers import (
    ANSWER_LIMIT_S,
    IN_TIME,
    EndlessScript,
    describe_close,
)


def json_head(_: Received) -> bytes:
    """Return the head of a response in chunks."""
    return (
        b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n'
    )


async def error_of(work: Awaitable[Any]) -> Exception | None:
    """Return the error that work ends with in time; None if there is none."""
    try:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            await work
    except (ConnectionLost, Refusal, TimeoutError) as error:
        return error
    return None


class EndlessResponsesTest(testtools.TestCase):
    """Tests of bodies without end that are read as a whole."""

    @on_loop
    async def test_endless_response_of_service(self) -> None:
        script = EndlessScript(json_head, chunk(b'x' * 1000))
        host = ScriptedHost('i-1', script)
        service = HttpService(f'http://{(await host.start()).address}')
        error = await error_of(service.invoke('c1', 'add', {}))
        self.assertIsInstance(error, Refusal)
        self.assertEqual(Outcome.UNKNOWN, error.outcome)
        self.assertEqual(IN_TIME, await describe_close(script))
        await service.close()
        host.stop()

    @on_loop
    async def test_endless_response_of_engine(self) -> None:
        script = EndlessScript(json_head, chunk(b'x' * 1000))
        host = ScriptedHost('i-1', script)
        engine = HttpEngine(f'http://{(await host.start()).address}')
        self.assertIsInstance(await error_of(engine.list_cache()), ConnectionLost)
        self.assertEqual(IN_TIME, await describe_close(script))
        await engine.close()
        host.stop()
