"""What one more unit of work costs a process: slopes, with their residuals.

docs/CAPACITY.md multiplies these slopes by the planned size.
"""

import asyncio
import random
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from pollenwalk.connection.addresses import split_address
from pollenwalk.connection.fleet_messages import Beat, Report
from pollenwalk.connection.store_http import HttpStore
from pollenwalk.connection.wire import encode_datagram
from pollenwalk.process.acceptance import desired_key, encode_desired
from pollenwalk.version.resources import Kind, ResourceId
from standin.experiments.measure import Line, as_json, cpu_share, fit, read_process
from standin.processes import Processes

WINDOW_S = 4.0
REPORT_RATES = (0, 60, 120, 240)
STREAMS = (0, 60, 120, 240)
STEP_MS = 40.0
STREAM_TOKENS = 100
SLOTS = 512
CALL_RATES = (0, 20, 40, 80)
PROGRAMS = (0, 200, 400, 800)
TOGETHER = 40
RESOURCES = (0, 1000, 2000, 4000)
HISTORY_WORDS = 200
UDP_HEADER_BYTES = 28
SETTLE_S = 2.0


class Rig:
    """Three entries, one upstream host of each kind."""

    def __init__(self) -> None:
        """Start everything."""
        self.callers = 0
        self.processes = Processes()
        self.processes.engine_step_ms = STEP_MS
        self.processes.slots = SLOTS
        zones = ('rimouski', 'saguenay', 'envigado')
        self.processes.start_all(zones, models=1, plains=1)
        self.url = self.processes.urls[0]
        self.pid = self.processes.running['entry0'].pid

    def next_caller(self) -> str:
        """Name another caller each time, so that none meets its limits."""
        self.callers += 1
        return f'caller-{self.callers}'

    async def cpu(self, work: Callable[[], Awaitable[Any]]) -> float:
        """Return the entry's share of a core while some work runs."""
        before = read_process(self.pid)
        await work()
        return cpu_share(before, read_process(self.pid))

    async def memory(self) -> float:
        """Return the entry's resident memory once it has settled."""
        await asyncio.sleep(SETTLE_S)
        return float(read_process(self.pid).memory_bytes)


async def paced(rate: float, send: Callable[[int], Any]) -> None:
    """Call `send` at a steady rate through one window."""
    begun = time.monotonic()
    number = 0
    while time.monotonic() - begun < WINDOW_S:
        due = (time.monotonic() - begun) * rate
        while number < due:
            send(number)
            number += 1
        await asyncio.sleep(0.005)


def make_report(number: int) -> bytes:
    """Make the report of one of many sidecars."""
    return encode_datagram(
        Report(
            f'advisory-{number % 130 + 1000}',
            f'{number % 130:016x}',
            'advisory',
            '127.0.0.1:1',
            'rimouski',
            number,
            *(4, 2, 8),
            leaving=False,
            version=1 << 30,
            digest='00000000',
        ),
    )


async def report_cost(rig: Rig) -> Line:
    """Measure the entry's share of a core against reports a second."""
    target = split_address(rig.processes.peers[0])
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:

        def send(number: int) -> None:  # noqa: WPS430
            sender.sendto(make_report(number), target)

        points = []
        for rate in REPORT_RATES:
            share = await rig.cpu(lambda rate=rate: paced(rate, send))
            points.append((float(rate), share))
    return fit(points)


async def begin(rig: Rig, session: aiohttp.ClientSession) -> str:
    """Begin a program at the measured entry."""
    async with session.post(
        f'{rig.url}/v1/programs',
        json={'program': 'spares-dispatch'},
        headers={'X-Pollenwalk-Caller': rig.next_caller()},
    ) as response:
        return (await response.json())['id']


async def chat(
    rig: Rig,
    session: aiohttp.ClientSession,
    message: str,
    tokens: int,
) -> str:
    """Begin a program, make one streamed call, and give the program."""
    program = await begin(rig, session)
    async with session.post(
        f'{rig.url}/v1/programs/{program}/calls',
        json={
            'sequence': 1,
            'upstream': 'advisory',
            'operation': 'chat',
            'input': {'message': message, 'max_tokens': tokens},
        },
        headers={'Idempotency-Key': 'k', 'Accept': 'text/event-stream'},
    ) as response:
        await response.read()
    return program


async def token_cost(rig: Rig) -> Line:
    """Measure the entry's share of a core against streamed tokens a second."""
    points = []
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
    ) as session:
        for streams in STREAMS:
            begun = time.monotonic()

            async def work(  # noqa: WPS430
                count: int = streams,
                begun: float = begun,
            ) -> None:
                await asyncio.gather(
                    *(
                        chat(rig, session, 'tell me', STREAM_TOKENS)
                        for _ in range(count)
                    ),
                )
                left = WINDOW_S - (time.monotonic() - begun)
                await asyncio.sleep(max(left, 0))

            share = await rig.cpu(work)
            rate = streams * STREAM_TOKENS / (time.monotonic() - begun)
            points.append((rate, share))
    return fit(points)


async def call_cost(rig: Rig) -> Line:
    """Measure the entry's share against non-idempotent calls a second.

    Each has two commits, to the store and to both witnesses.
    """
    points = []
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
    ) as session:
        programs = [await begin(rig, session) for _ in range(CALL_RATES[-1] // 4)]
        sequences = dict.fromkeys(programs, 0)
        for rate in CALL_RATES:
            made: list[asyncio.Task[None]] = []

            def send(number: int, made: list[Any] = made) -> None:  # noqa: WPS430
                program = programs[number % len(programs)]
                sequences[program] += 1
                made.append(
                    asyncio.ensure_future(
                        reserve(rig, session, program, sequences[program]),
                    ),
                )

            async def work(  # noqa: WPS430
                rate: int = rate,
                made: list[Any] = made,
            ) -> None:
                await paced(rate, send)
                await asyncio.gather(*made)

            begun = time.monotonic()
            share = await rig.cpu(work)
            points.append((len(made) / (time.monotonic() - begun), share))
    return fit(points)


async def reserve(
    rig: Rig,
    session: aiohttp.ClientSession,
    program: str,
    sequence: int,
    note: str = '',
) -> None:
    """Make one non-idempotent call."""
    async with session.post(
        f'{rig.url}/v1/programs/{program}/calls',
        json={
            'sequence': sequence,
            'upstream': 'orders',
            'operation': 'reserve',
            'input': {'number': sequence, 'note': note},
        },
        headers={'Idempotency-Key': f'k{sequence}'},
    ) as response:
        await response.read()


async def program_memory(rig: Rig) -> Line:
    """Measure resident memory against programs with some history."""
    rng = random.Random(1)
    points = []
    made = 0
    async with aiohttp.ClientSession() as session:
        for count in PROGRAMS:
            while made < count:
                await asyncio.gather(
                    *(remember(rig, session, rng) for _ in range(TOGETHER)),
                )
                made += TOGETHER
            points.append((float(count), await rig.memory()))
    return fit(points)


def make_message(rng: random.Random) -> str:
    """Make a message of many words."""
    words = (f'{rng.getrandbits(32):08x}' for _ in range(HISTORY_WORDS))
    return ' '.join(words)


async def remember(
    rig: Rig,
    session: aiohttp.ClientSession,
    rng: random.Random,
) -> None:
    """Begin a program and make one call with a long input."""
    program = await begin(rig, session)
    await reserve(rig, session, program, 1, make_message(rng))


async def resource_memory(rig: Rig) -> Line:
    """Measure resident memory against accepted resources."""
    store = HttpStore(rig.processes.store)
    points = []
    made = 0
    for count in RESOURCES:
        for number in range(made, count):
            resource_id = ResourceId(Kind.BUDGET, f'organisation-{number}')
            body = encode_desired(resource_id, {'concurrent_programs': '50'})
            await store.put(desired_key(resource_id), body, None)
        made = count
        await wait_accepted(rig, store, count)
        points.append((float(count), await rig.memory()))
    await store.close()
    return fit(points)


async def wait_accepted(rig: Rig, store: HttpStore, count: int) -> None:
    """Wait until so many budgets have been judged."""
    while True:
        changes = await store.scan('accepted/Budget/')
        if len(changes.objects) >= count:
            return
        await asyncio.sleep(0.2)


async def measure() -> dict[str, Any]:
    """Take all slopes on one system."""
    rig = await asyncio.to_thread(Rig)
    sidecar_pid = rig.processes.running['advisory-0'].pid
    try:
        idle = read_process(sidecar_pid)
        await asyncio.sleep(WINDOW_S)
        idle_after = read_process(sidecar_pid)
        entry_bytes = await rig.memory()
        return {
            'sidecar_idle_cpu_share': cpu_share(idle, idle_after),
            'sidecar_idle_memory_bytes': idle_after.memory_bytes,
            'entry_idle_memory_bytes': entry_bytes,
            'report_bytes': len(make_report(1)) + UDP_HEADER_BYTES,
            'beat_bytes': len(encode_datagram(Beat('0' * 12, 1000))) + UDP_HEADER_BYTES,
            'entry_cpu_per_report': await report_cost(rig),
            'entry_cpu_per_call': await call_cost(rig),
            'entry_cpu_per_token': await token_cost(rig),
            'entry_bytes_per_program': await program_memory(rig),
            'entry_bytes_per_resource': await resource_memory(rig),
        }
    finally:
        await asyncio.to_thread(rig.processes.close)


def run(seed: int) -> dict[str, Any]:
    """Run the experiment; the seed changes nothing here."""
    return {'seed': seed, **as_json(asyncio.run(measure()))}
