"""Tests of requests between processes when the peer or the network fails."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import testtools

from pollenwalk.connection.call_messages import Settle, Tokens
from pollenwalk.connection.frame_writer import FrameWriter
from pollenwalk.connection.peer import Connection, Peer
from pollenwalk.connection.peer_messages import PROTOCOL_VERSION, Done, Hello
from pollenwalk.connection.peer_server import PeerServer
from pollenwalk.connection.sidecar_messages import Drain
from pollenwalk.connection.wire import END_KIND, Frame, encode_frames
from pollenwalk.errors import ConnectionLost, Refusal, RefusalCode
from pollenwalk.process.clock import LoopClock
from pollenwalk.process.tasks import TaskSet
from pollenwalk.program.turns import RecordBatch
from standin.link import Place
from standin.virtual.fabric import Fabric, VirtualNetwork
from standin.virtual.node import Node, NodeClock
from test.helper import on_loop, virtual

ADDRESS = 'server:1'
PLACE = Place('rimouski', 'est')


class Pair:
    """A client and a server on a virtual network."""

    def __init__(self, handler: Any) -> None:
        """Create a server that answers with `handler`, and a client of it."""
        self.fabric = Fabric()
        self.client_node = Node('client', PLACE)
        self.server_node = Node('server', PLACE)
        self.clock = NodeClock(self.client_node)
        self.network = VirtualNetwork(self.fabric, self.client_node)
        self.server = PeerServer(NodeClock(self.server_node), handler, 'boot')
        self.peer = Peer(ADDRESS, self.network, self.clock, TaskSet())

    async def start(self) -> 'Pair':
        """Make the server listen."""
        network = VirtualNetwork(self.fabric, self.server_node)
        await network.listen(ADDRESS, self.server.serve)
        return self


async def answer(hello: Hello, message: Any) -> AsyncIterator[Any]:
    """Stream tokens, refuse, hang or answer, depending on the kind of request."""
    if isinstance(message, Settle):
        for number, text in enumerate(message.calls):
            yield Tokens(number, [text])
    elif isinstance(message, Drain):
        raise Refusal(RefusalCode.STOPPING, 'leaving', retry_after_ms=7)
    elif isinstance(message, Hello):
        await asyncio.get_running_loop().create_future()
    else:
        yield Done()


class PeerTest(testtools.TestCase):
    """Tests of requests; each uses a new pair of processes."""

    @virtual
    async def test_answers_arrive_in_order(self) -> None:
        pair = await Pair(answer).start()
        texts = [str(number) for number in range(50)]
        received = [tokens.texts[0] async for tokens in pair.peer.stream(Settle(texts))]
        self.assertEqual(texts, received)

    @virtual
    async def test_refusal_is_transferred_completely(self) -> None:
        pair = await Pair(answer).start()
        try:
            await pair.peer.request(Drain(), 1000)
        except Refusal as refusal:
            received = (refusal.code, refusal.retry_after_ms, refusal.outcome)
            self.assertEqual((RefusalCode.STOPPING, 7, 'not_run'), received)
        else:
            self.fail('no refusal')

    @virtual
    async def test_nothing_listens(self) -> None:
        pair = Pair(answer)
        with testtools.ExpectedException(ConnectionLost):
            await pair.peer.request(Done(), 1000)

    @virtual
    async def test_request_times_out_during_partition(self) -> None:
        pair = await Pair(answer).start()
        await pair.peer.ensure_connected()
        pair.fabric.cut('client', 'server')
        with testtools.ExpectedException(ConnectionLost):
            await pair.peer.request(Done(), 1000)
        pair.fabric.heal()
        self.assertEqual(Done(), await pair.peer.request(Done(), 10_000))

    @virtual
    async def test_reconnecting_increases_the_epoch(self) -> None:
        pair = await Pair(answer).start()
        first = await pair.peer.ensure_connected()
        await first.channel.close()
        await pair.clock.sleep_ms(10)
        second = await pair.peer.ensure_connected()
        self.assertIsNot(first, second)
        self.assertEqual(2, pair.peer.epoch)

    @virtual
    async def test_other_protocol_version_is_refused(self) -> None:
        pair = await Pair(answer).start()
        channel = await pair.network.connect(ADDRESS)
        connection = Connection(channel, pair.clock, TaskSet())
        hello = Hello(PROTOCOL_VERSION + 1, 'other', 1, 'rimouski')
        with testtools.ExpectedException(Refusal):
            await connection.handshake(hello)
        with testtools.ExpectedException(Refusal):
            await connection.request(Done())

    @virtual
    async def test_invalid_frames_end_the_channel(self) -> None:
        for invalid in (b'', b'\xff' * 40, encode_frames([])[:0] + b'\x93'):
            pair = await Pair(answer).start()
            channel = await pair.network.connect(ADDRESS)
            await channel.send(invalid)
            with testtools.ExpectedException(ConnectionLost):
                await channel.receive()
            self.assertEqual(Done(), await pair.peer.request(Done(), 1000))

    @virtual
    async def test_request_before_handshake_ends_the_channel(self) -> None:
        pair = await Pair(answer).start()
        channel = await pair.network.connect(ADDRESS)
        connection = Connection(channel, pair.clock, TaskSet())
        connection.tasks.spawn(connection.write(), 'write')
        connection.tasks.spawn(connection.read(), 'read')
        with testtools.ExpectedException(ConnectionLost):
            await connection.request(Done())


class CountingChannel:
    """Records the sizes of what is sent."""

    def __init__(self) -> None:
        """Record nothing yet."""
        self.sizes: list[int] = []

    async def send(self, frame: bytes) -> None:
        """Record one size."""
        self.sizes.append(len(frame))


class LargeAnswerTest(testtools.TestCase):
    """Answers that take long to transfer."""

    @on_loop
    async def test_parts_arrive_before_the_whole(self) -> None:
        # Each part is larger than what is sent at once, and all are ready at once.
        part = RecordBatch(True, [b'x' * 300_000])
        channel = CountingChannel()
        writer = FrameWriter(channel, LoopClock(), 0)
        for _ in range(5):
            writer.put(Frame(1, 'RecordBatch', part))
        writer.put(Frame(1, END_KIND, None))
        running = asyncio.ensure_future(writer.run())
        await asyncio.sleep(0.05)
        running.cancel()
        self.assertEqual(6, len(channel.sizes))
        self.assertTrue(max(channel.sizes) < 400_000)
