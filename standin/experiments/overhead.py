"""What the path through pollenwalk costs, against direct calls of a stand-in."""

import asyncio
import statistics
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import aiohttp

from standin.experiments.measure import read_process
from standin.processes import Processes

PAIRS = 150
WARM_UP = 10
TOKENS = 8
STREAMS = 40
STREAM_TOKENS = 400
PLAIN_CALLS = 600
PLAIN_CALLERS = 12
MS = 1000
GOAL_ADDED_MS = 5.0
GOAL_FIRST_MS = 10.0
GOAL_TOKENS = 17_000


class Timing(NamedTuple):
    """One call's times in ms."""

    first: float
    total: float


async def timed(
    session: aiohttp.ClientSession,
    url: str,
    body: dict[str, Any],
    headers: dict[str, str],
) -> Timing:
    """Make a streamed call and time its first token and its end."""
    begun = time.perf_counter()
    first = 0.0
    async with session.post(url, json=body, headers=headers) as response:
        async for line in response.content:
            if not first and (b'content' in line or b'texts' in line):
                first = time.perf_counter()
    return Timing((first - begun) * MS, (time.perf_counter() - begun) * MS)


class Rig:
    """A small system of processes and a caller."""

    def __init__(self, coalesce_ms: float) -> None:
        """Start one entry, and a model and a plain upstream."""
        self.processes = Processes()
        self.processes.coalesce_ms = coalesce_ms
        self.processes.engine_step_ms = 1.0
        self.processes.start_all(('rimouski',), models=1, plains=1)
        self.url = self.processes.urls[0]
        self.engine = self.processes.standins['standin-advisory-0']
        self.service = self.processes.standins['standin-orders-0']
        self.entry_pid = self.processes.running['entry0'].pid
        self.sidecar_pids = [
            self.processes.running[name].pid for name in ('advisory-0', 'orders-0')
        ]
        self.number = 0

    def sidecar_cpu_s(self) -> float:
        """Return the processor time of both sidecars."""
        return sum(read_process(pid).cpu_s for pid in self.sidecar_pids)

    async def begin(self, session: aiohttp.ClientSession) -> str:
        """Begin a program."""
        async with session.post(
            f'{self.url}/v1/programs',
            json={'program': 'spares-dispatch', 'budget': 5000},
        ) as response:
            return (await response.json())['id']

    def chat(self, sequence: int, tokens: int) -> dict[str, Any]:
        """Make the body of a model call."""
        return {
            'sequence': sequence,
            'upstream': 'advisory',
            'operation': 'chat',
            'input': {'message': 'tell me', 'max_tokens': tokens},
        }

    def direct(self, tokens: int) -> dict[str, Any]:
        """Make the body of the same call at the engine itself."""
        self.number += 1
        return {
            'messages': [{'role': 'user', 'content': 'tell me'}],
            'request_id': f'direct-{self.number}',
            'user': f'direct-{self.number}',
            'max_tokens': tokens,
            'stream': True,
        }


async def pairs(rig: Rig) -> dict[str, float]:
    """Time the same call direct and through the path, in turn."""
    direct: list[Timing] = []
    through: list[Timing] = []
    async with aiohttp.ClientSession() as session:
        for number in range(PAIRS + WARM_UP):
            program = await rig.begin(session)
            direct.append(
                await timed(
                    session,
                    f'{rig.engine}/v1/chat/completions',
                    rig.direct(TOKENS),
                    {},
                ),
            )
            through.append(
                await timed(
                    session,
                    f'{rig.url}/v1/programs/{program}/calls',
                    rig.chat(1, TOKENS),
                    {'Idempotency-Key': f'k{number}', 'Accept': 'text/event-stream'},
                ),
            )
    direct, through = direct[WARM_UP:], through[WARM_UP:]
    added = [
        there.total - here.total for here, there in zip(direct, through, strict=True)
    ]
    first = [
        there.first - here.first for here, there in zip(direct, through, strict=True)
    ]
    return {
        'direct_median_ms': statistics.median(one.total for one in direct),
        'through_median_ms': statistics.median(one.total for one in through),
        'added_median_ms': statistics.median(added),
        'first_token_added_median_ms': statistics.median(first),
    }


async def cpu_of(rig: Rig, work: Callable[[], Awaitable[int]]) -> dict[str, float]:
    """Return how much one core of the entry and of the sidecar does.

    Args:
        rig: the system.
        work: does the work and counts it.

    Returns:
        Units of work for a second of processor time.
    """
    entry_before = read_process(rig.entry_pid)
    sidecar_before = rig.sidecar_cpu_s()
    units = await work()
    entry = read_process(rig.entry_pid).cpu_s - entry_before.cpu_s
    sidecar = rig.sidecar_cpu_s() - sidecar_before
    return {
        'units': units,
        'entry_us_each': entry / units * MS * MS,
        'sidecar_us_each': sidecar / units * MS * MS,
        'entry_per_core_second': units / max(entry, 1e-9),
    }


async def stream_tokens(rig: Rig) -> int:
    """Stream many tokens over many streams and count them."""
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
    ) as session:
        programs = [await rig.begin(session) for _ in range(STREAMS)]
        await asyncio.gather(
            *(
                timed(
                    session,
                    f'{rig.url}/v1/programs/{program}/calls',
                    rig.chat(1, STREAM_TOKENS),
                    {'Idempotency-Key': 'k', 'Accept': 'text/event-stream'},
                )
                for program in programs
            )
        )
    return STREAMS * STREAM_TOKENS


async def plain_calls(rig: Rig) -> int:
    """Make many plain calls and count them."""
    async with aiohttp.ClientSession() as session:

        async def caller() -> None:  # noqa: WPS430
            program = await rig.begin(session)
            for sequence in range(1, PLAIN_CALLS // PLAIN_CALLERS + 1):
                body = {
                    'sequence': sequence,
                    'upstream': 'orders',
                    'operation': 'reserve',
                    'input': {'number': sequence},
                }
                async with session.post(
                    f'{rig.url}/v1/programs/{program}/calls',
                    json=body,
                    headers={'Idempotency-Key': f'k{sequence}'},
                ) as response:
                    await response.read()

        await asyncio.gather(*(caller() for _ in range(PLAIN_CALLERS)))
    return PLAIN_CALLS


async def measure(coalesce_ms: float) -> dict[str, Any]:
    """Measure a fresh system with one window for coalescing."""
    rig = await asyncio.to_thread(Rig, coalesce_ms)
    try:
        return {
            'coalesce_ms': coalesce_ms,
            'pairs': await pairs(rig),
            'tokens': await cpu_of(rig, lambda: stream_tokens(rig)),
            'plain_calls': await cpu_of(rig, lambda: plain_calls(rig)),
        }
    finally:
        await asyncio.to_thread(rig.processes.close)


def run(seed: int) -> dict[str, Any]:
    """Run the experiment; the seed changes nothing here.

    Returns:
        The figures, with the goals beside them.
    """
    without = asyncio.run(measure(0))
    coalesced = asyncio.run(measure(4))
    return {
        'seed': seed,
        'without_coalescing': without,
        'with_coalescing': coalesced,
        'ratios': {
            'token_cost_with_to_without': (
                coalesced['tokens']['entry_us_each']
                / without['tokens']['entry_us_each']
            ),
        },
        'goals': {
            'added_median_ms': GOAL_ADDED_MS,
            'first_token_added_median_ms': GOAL_FIRST_MS,
            'tokens_per_core_second': GOAL_TOKENS,
        },
    }
