"""Many clients that hold what they can of a gateway, at processes of their own.

Checked is that the process survives, what it holds, and that it still serves: no times,
and no share of requests, as these depend on the speed of the machine.
"""

import contextlib

import testtools

from standin.platform.host import Line, Received, ScriptedHost
from test.helper import on_loop
from test.process.test_clients_without_limits import (
    MAX_OTHER_DESCRIPTORS,
    USUAL_HEADERS,
    Client,
    Cost,
    Crowd,
    SmallSystem,
)
from test.request.test_forwarding import answers_hello

# Connections that are to be expected at the smallest gateway.
CLIENTS = 1200
# Clients of the loads whose bytes the host or the test has to send.
BUSY_CLIENTS = 200
# A gateway on a machine of 128 MB uses 35 MB at the start.
MEMORY_MB = 128
MAX_GROWTH_KIB = 93_000_000 // 1024
# A response of this size does not fit into the buffers of the operating system.
LONG_RESPONSE = b'r' * 4_194_304
PART_BYTES = 65_536
LONG_TARGET = '/p/long'
ONE_REQUEST = (
    b'POST /p/long HTTP/1.1\r\nHost: lookup.example\r\n'
    b'X-Pollenwalk-Request-Id: long\r\nX-Pollenwalk-Deadline-Ms: 2000\r\n'
    b'Content-Length: 2\r\n\r\n{}'
)
BODY_BYTES = 2_097_152
# Refused once 1,000 bytes of the body have arrived, the limit of the configuration.
TOO_LARGE = USUAL_HEADERS + b'Content-Length: 2097152\r\n\r\n' + b'b' * BODY_BYTES
NO_BODY = USUAL_HEADERS + b'Content-Length: 900\r\n\r\n'
# A header section without an end that stays below the limit of its size, and one that
# does not.
SHORT_FIELDS = USUAL_HEADERS + b'X-Field: 0123456789\r\n' * 1400
ENDLESS_FIELDS = USUAL_HEADERS + b'X-Field: 0123456789\r\n' * 50_000


class ByteReader(Client):
    """A client that reads one byte each time that it may send."""

    def send(self) -> int:
        """Send what the other side accepts, and read a byte."""
        with contextlib.suppress(OSError):
            self.socket.recv(1)
        return super().send()


class Load(Crowd):
    """A number of clients that all send the same."""

    def __init__(
        self,
        address: str,
        content: bytes,
        count: int = CLIENTS,
        kind: type[Client] = Client,
    ) -> None:
        """Connect all clients."""
        self.clients = [kind(address, content) for _ in range(count)]


async def answers_at_length(line: Line, request: Received) -> None:
    """Answer with a long response where one is asked for, and with `hello`."""
    if request.target != LONG_TARGET:
        await answers_hello(line, request)
        return
    size = len(LONG_RESPONSE)
    line.say(
        b'HTTP/1.1 200 OK\r\nX-Pollenwalk-Server-Signature: s1\r\n'
        b'Content-Length: %d\r\n\r\n' % size
    )
    for start in range(0, size, PART_BYTES):
        line.say(LONG_RESPONSE[start : start + PART_BYTES])
        await line.writer.drain()


class MachineSystem(SmallSystem):
    """A system whose gateway knows the memory of its machine."""

    def __init__(self) -> None:
        """Create a system without processes."""
        super().__init__()
        self.host = ScriptedHost('h', answers_at_length)

    def spawn(self, name: str) -> None:
        """Start a process; a gateway with the setting of its memory."""
        daemon = self.daemons[name]
        if daemon.role == 'gateway':
            section = f'{daemon.section}memory_mb = {MEMORY_MB}\n'
            self.daemons[name] = daemon._replace(section=section)
        super().spawn(name)

    async def measure(self, load: Load) -> Cost:
        """Send a load to the gateway; return what that costs."""
        before_kib = self.peak_kib('g1')
        await load.send(lambda: self.peak_kib('g1'))
        alive = self.running['g1'].poll() is None
        growth_kib = self.peak_kib('g1') - before_kib
        descriptors = self.descriptors('g1')
        answer = await self.call()
        load.close()
        return Cost(alive, growth_kib, descriptors, answer)


class ClientLoadsTest(testtools.TestCase):
    """No load of clients ends a process, and each leaves room for other clients."""

    async def check(
        self,
        content: bytes,
        count: int = CLIENTS,
        kind: type[Client] = Client,
        each: int = 1,
    ) -> None:
        """Check what a load costs.

        Args:
            content: what each client sends.
            count: number of clients.
            kind: the clients.
            each: descriptors that each client may take; two if its request may run,
                which needs a connection to a host.
        """
        system = MachineSystem()
        try:
            await system.start_all()
            address = system.daemons['g1'].address
            cost = await system.measure(Load(address, content, count, kind))
        finally:
            await system.end()
        self.assertTrue(cost.alive)
        self.assertTrue(cost.growth_kib <= MAX_GROWTH_KIB, cost)
        self.assertTrue(cost.descriptors <= count * each + MAX_OTHER_DESCRIPTORS, cost)
        self.assertTrue(cost.answer.endswith(b'hello'), cost)

    @on_loop
    async def test_bodies_that_never_come(self) -> None:
        # Guards against what is held for a request that was begun.
        await self.check(NO_BODY)

    @on_loop
    async def test_header_sections_that_do_not_end(self) -> None:
        # Guards against header sections that are held up to the limit of their size.
        await self.check(SHORT_FIELDS)

    @on_loop
    async def test_header_sections_beyond_the_limit(self) -> None:
        # Guards against clients that go on sending after they were refused.
        await self.check(ENDLESS_FIELDS)

    @on_loop
    async def test_long_responses_that_are_not_read(self) -> None:
        # Guards against responses that are complete and wait for their clients.
        await self.check(ONE_REQUEST, BUSY_CLIENTS, each=2)

    @on_loop
    async def test_long_responses_read_by_single_bytes(self) -> None:
        # Guards against clients that are not idle, but take nothing worth mentioning.
        await self.check(ONE_REQUEST, BUSY_CLIENTS, ByteReader, each=2)

    @on_loop
    async def test_early_responses_to_long_bodies(self) -> None:
        # Guards against bodies that are held though their request was refused.
        await self.check(TOO_LARGE * 2, BUSY_CLIENTS)
