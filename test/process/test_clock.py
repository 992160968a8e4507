"""Timeouts of a process that was paused."""

import asyncio
import time

import testtools
import uvloop

from pollenwalk.process.clock import LoopClock

TIMEOUT_MS = 500.0
PAUSE_S = 1.5
ANSWER = b'answer\n'


async def answer_during_pause(does_answer: bool) -> str:
    """Ask a server, pause this process past the timeout, and return what came of it."""
    answered = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        if does_answer:
            writer.write(ANSWER)
            await writer.drain()
        answered.set()
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    queue: asyncio.Queue[bytes] = asyncio.Queue()

    async def pass_on() -> None:
        queue.put_nowait(await reader.readline())

    passing = asyncio.ensure_future(pass_on())
    pausing = asyncio.ensure_future(pause_after(answered))
    writer.write(b'question\n')
    try:
        async with LoopClock().timeout_ms(TIMEOUT_MS):
            return (await queue.get()).decode()
    except TimeoutError:
        return 'late'
    finally:
        await pausing
        writer.close()
        passing.cancel()
        server.close()


async def pause_after(answered: asyncio.Event) -> None:
    """Pause the process, with its event loop, once an answer is on its way."""
    await answered.wait()
    time.sleep(PAUSE_S)  # noqa: ASYNC251


class PausedTimeoutTest(testtools.TestCase):
    """A timeout after a pause of the process."""

    def test_answer_that_came_during_a_pause_counts(self) -> None:
        # Guards against live peers that count as lost after a freeze of this process.
        outcome = uvloop.run(answer_during_pause(True))
        self.assertEqual(ANSWER.decode(), outcome)

    def test_silence_ends_the_block(self) -> None:
        began_s = time.monotonic()
        self.assertEqual('late', uvloop.run(answer_during_pause(False)))
        self.assertTrue(time.monotonic() - began_s < PAUSE_S + 1)

    def test_timeout_without_a_pause_is_punctual(self) -> None:
        async def wait() -> float:
            began_ms = LoopClock().now_ms()
            try:
                async with LoopClock().timeout_ms(TIMEOUT_MS):
                    await asyncio.Event().wait()
            except TimeoutError:
                return LoopClock().now_ms() - began_ms
            return 0

        took_ms = uvloop.run(wait())
        self.assertTrue(TIMEOUT_MS - 2 <= took_ms < 2 * TIMEOUT_MS, took_ms)
